package tamarindroute.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.CallFields;
import tamarindroute.protocol.ClientProtocol;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.RespReader;

/** Client of the warm-up: keeps calls open until the given number of them is answered. */
final class WarmUpClient implements ConnectionHandler {

  /** Number of calls that are open at a time. */
  private static final int CONCURRENCY = 16;

  private static final int OBJECT_COUNT = 500;

  /** Coprime to {@link #OBJECT_COUNT}, so that the calls reach all objects. */
  private static final int OBJECT_STEP = 7;

  private static final double BUDGET_MILLIS = 1000;
  private static final int PURGE_GROUP = 1;
  private static final double KILOBYTES = 100;

  private final List<String> requestClassNames;
  private final int requestCount;
  private final Runnable whenFinished;
  private final RespReader reader =
      new RespReader(
          ClientProtocol.RESPONSE_ARGUMENTS, ClientProtocol.MAX_ARGUMENT_BYTES, WarmUp.BODY_LENGTH);
  private Connection connection;
  private int sentCount;
  private int completedRequests;

  /**
   * Creates a client that is not yet connected.
   *
   * @param whenFinished called when {@code requestCount} requests are answered or the connection
   *     fails, possibly more than once
   */
  WarmUpClient(List<String> requestClassNames, int requestCount, Runnable whenFinished) {
    this.requestClassNames = requestClassNames;
    this.requestCount = requestCount;
    this.whenFinished = whenFinished;
  }

  void connect(SocketTransport transport, InetSocketAddress address) {
    connection = transport.connect(address, this);
  }

  void close() {
    connection.close(CloseReason.CLOSED_LOCALLY, false);
  }

  /** Returns the number of requests that were answered. */
  int completedRequests() {
    return completedRequests;
  }

  @Override
  public void onOpened() {
    for (int i = 0; i < CONCURRENCY; i++) {
      sendCall();
    }
  }

  private void sendCall() {
    String objectId = id(sentCount * OBJECT_STEP % OBJECT_COUNT);
    sentCount++;
    String requestId = id(sentCount);
    String requestClass = requestClassNames.get(sentCount % requestClassNames.size());
    CallFields fields =
        new CallFields(
            requestId,
            objectId,
            requestId + requestId,
            null,
            BUDGET_MILLIS,
            0,
            PURGE_GROUP,
            KILOBYTES);
    connection.write(
        ClientProtocol.encodeCall(
            Integer.toString(sentCount), requestClass, WarmUp.MARKER, fields));
  }

  /** Returns the id of a number, in 16 hexadecimal digits. */
  private static String id(int number) {
    return Long.toHexString(0x1000_0000_0000_0000L + number);
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    try {
      RespReader.Step step = reader.next(bytes);
      while (step != RespReader.Step.NEED_MORE_BYTES) {
        if (step == RespReader.Step.END) {
          onResponse();
        }
        step = reader.next(bytes);
      }
    } catch (MalformedMessageException e) {
      whenFinished.run();
    }
  }

  private void onResponse() {
    completedRequests++;
    if (completedRequests >= requestCount) {
      whenFinished.run();
    } else {
      sendCall();
    }
  }

  @Override
  public void onClosed(CloseReason reason) {
    whenFinished.run();
  }
}
