package tamarindroute.rig.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * One connection through a proxy. The kernel accepts it before the other end is contacted: over a
 * link that is cut it comes up and stays silent. If the other end refuses, it is reset.
 */
final class TcpProxy implements ProxyLoop.ReadyHandler {

  private final InetSocketAddress target;
  private final Link forward;
  private final SocketChannel caller;
  private final SocketChannel callee;
  private final SelectionKey callerKey;
  private final SelectionKey calleeKey;
  private final StreamPipe toCallee;
  private final StreamPipe toCaller;
  private final Consumer<TcpProxy> onClosed;
  private boolean connecting;

  /** True also after the other end has refused. */
  private boolean connected;

  TcpProxy(
      ProxyLoop loop,
      SocketChannel caller,
      InetSocketAddress target,
      Link forward,
      Link backward,
      Consumer<TcpProxy> onClosed)
      throws IOException {
    this.target = target;
    this.forward = forward;
    this.caller = caller;
    this.onClosed = onClosed;
    callee = SocketChannel.open();
    configure(caller);
    configure(callee);
    toCallee = new StreamPipe(loop, caller, callee, forward);
    toCaller = new StreamPipe(loop, callee, caller, backward);
    callerKey = loop.register(caller, 0, this);
    calleeKey = loop.register(callee, 0, this);
    advance();
  }

  private static void configure(SocketChannel channel) throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  @Override
  public void onReady() {
    if (callerKey.isValid() && callerKey.isReadable()) {
      toCallee.read(this::advance);
    }
    if (calleeKey.isValid() && connected && calleeKey.isReadable()) {
      toCaller.read(this::advance);
    }
    advance();
  }

  /** Connects to the other end, sends what is due, and sets what to wait for. */
  void advance() {
    if (!caller.isOpen() && !callee.isOpen()) {
      return;
    }
    connect();
    if (!flush() || (toCallee.isDone() && toCaller.isDone())) {
      close();
      return;
    }
    setInterest(callerKey, callerInterest());
    setInterest(calleeKey, calleeInterest());
  }

  private void connect() {
    try {
      if (!connecting && !forward.isCut()) {
        connecting = true;
        connected = callee.connect(target);
      } else if (connecting && !connected) {
        connected = callee.finishConnect();
      }
    } catch (IOException e) {
      // Refused: the reset reaches the caller over the opposite link.
      connected = true;
      toCaller.reset(this::advance);
    }
  }

  /** Sends what is due in both directions; false if the connection is to be reset. */
  private boolean flush() {
    boolean forwardIntact = !connected || !callee.isConnected() || toCallee.flush();
    return forwardIntact && toCaller.flush();
  }

  private int callerInterest() {
    return (toCallee.wantsRead() ? SelectionKey.OP_READ : 0)
        | (toCaller.wantsWrite() ? SelectionKey.OP_WRITE : 0);
  }

  private int calleeInterest() {
    if (!connecting) {
      return 0;
    }
    if (!connected) {
      return SelectionKey.OP_CONNECT;
    }
    return (toCaller.wantsRead() ? SelectionKey.OP_READ : 0)
        | (toCallee.wantsWrite() ? SelectionKey.OP_WRITE : 0);
  }

  /** The key of an end that refused is no longer valid. */
  private static void setInterest(SelectionKey key, int operations) {
    if (key.isValid()) {
      key.interestOps(operations);
    }
  }

  /** Resets both ends, unless both directions have ended in order. */
  void close() {
    if (toCallee.isDone() && toCaller.isDone()) {
      closeQuietly(caller);
      closeQuietly(callee);
    }
    StreamPipe.reset(caller);
    StreamPipe.reset(callee);
    onClosed.accept(this);
  }

  private static void closeQuietly(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // It is closed all the same.
    }
  }
}
