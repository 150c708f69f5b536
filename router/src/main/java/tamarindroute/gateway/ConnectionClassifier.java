package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Function;
import tamarindroute.host.EventLoop;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.protocol.CacheProtocol;
import tamarindroute.protocol.ClientProtocol;

/**
 * Handles a new connection until its first bytes show its kind, then delegates to the handler for
 * that kind: a client, the warm-up client, or a connection to the warm-up's cache.
 */
final class ConnectionClassifier implements ConnectionHandler {

  private final WarmUp warmUp;
  private final Connection connection;
  private final Function<Connection, ConnectionHandler> clientHandler;
  private final Runnable cancelTimer;

  /** Null until the first bytes are received. */
  private ConnectionHandler handler;

  ConnectionClassifier(
      WarmUp warmUp,
      EventLoop eventLoop,
      Connection connection,
      Function<Connection, ConnectionHandler> clientHandler) {
    this.warmUp = warmUp;
    this.connection = connection;
    this.clientHandler = clientHandler;
    this.cancelTimer = eventLoop.schedule(FrameTimeout.LIMIT, this::closeIfUnclassified);
  }

  private void closeIfUnclassified() {
    if (handler == null) {
      connection.closeIfUnused();
    }
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    if (handler == null && !classify(bytes)) {
      return;
    }
    handler.onReceived(bytes);
  }

  /** Chooses the handler. Returns false if the warm-up is done and its connection was closed. */
  private boolean classify(ByteBuffer bytes) {
    String frame = StandardCharsets.ISO_8859_1.decode(bytes.duplicate()).toString();
    boolean toCache = CacheProtocol.isRequestFrame(frame);
    boolean fromWarmUpClient = ClientProtocol.isCallFrameOf(WarmUp.MARKER, frame);
    if ((toCache || fromWarmUpClient) && warmUp.isDone()) {
      connection.close(CloseReason.CLOSED_LOCALLY, false);
      return false;
    }
    if (toCache) {
      handler = new WarmUpCache(connection, warmUp);
    } else {
      handler =
          fromWarmUpClient ? warmUp.acceptClient(connection) : clientHandler.apply(connection);
    }
    return true;
  }

  @Override
  public void onInputClosed() {
    closeIfUnclassified();
    if (handler != null) {
      handler.onInputClosed();
    }
  }

  @Override
  public void onListenerClosed() {
    closeIfUnclassified();
    if (handler != null) {
      handler.onListenerClosed();
    }
  }

  @Override
  public Duration idleSince() {
    return handler == null ? Duration.ZERO : handler.idleSince();
  }

  @Override
  public void onIdle() {
    closeIfUnclassified();
    if (handler != null) {
      handler.onIdle();
    }
  }

  @Override
  public void onClosed(CloseReason reason) {
    cancelTimer.run();
    if (handler != null) {
      handler.onClosed(reason);
    }
  }
}
