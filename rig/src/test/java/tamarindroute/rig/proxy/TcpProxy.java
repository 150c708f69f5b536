package tamarindroute.rig.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * One connection through a proxy. The machine accepts it for the proxy before the other end is
 * asked: a way that is cut shows as a connection that stays silent. An end that refuses resets it.
 */
final class TcpProxy implements ProxyNetwork.ReadyHandler {

  private final ProxyNetwork proxies;
  private final InetSocketAddress target;
  private final Link forward;
  private final SocketChannel caller;
  private final SocketChannel callee;
  private final SelectionKey callerKey;
  private final SelectionKey calleeKey;
  private final StreamPipe toCallee;
  private final StreamPipe toCaller;
  private boolean connecting;
  private boolean connected;

  TcpProxy(
      ProxyNetwork proxies,
      Selector selector,
      SocketChannel caller,
      InetSocketAddress target,
      Link forward,
      Link backward)
      throws IOException {
    this.proxies = proxies;
    this.target = target;
    this.forward = forward;
    this.caller = caller;
    callee = SocketChannel.open();
    for (SocketChannel channel : new SocketChannel[] {caller, callee}) {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }
    toCallee = new StreamPipe(proxies, caller, callee, forward);
    toCaller = new StreamPipe(proxies, callee, caller, backward);
    callerKey = caller.register(selector, 0, this);
    calleeKey = callee.register(selector, 0, this);
    advance();
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

  /** Asks the other end, sends what may go, and says what to wait for. */
  void advance() {
    if (!caller.isOpen() && !callee.isOpen()) {
      return;
    }
    try {
      if (!connecting && !forward.isCut()) {
        connecting = true;
        connected = callee.connect(target);
      } else if (connecting && !connected) {
        connected = callee.finishConnect();
      }
    } catch (IOException e) {
      // Refused: the caller hears of it by the way back.
      connected = true;
      toCaller.reset(this::advance);
    }
    if (connected && callee.isConnected() && !toCallee.flush()
        || !toCaller.flush()
        || toCallee.isDone() && toCaller.isDone()) {
      close();
      return;
    }
    interest(
        callerKey,
        (toCallee.wantsRead() ? SelectionKey.OP_READ : 0)
            | (toCaller.wantsWrite() ? SelectionKey.OP_WRITE : 0));
    interest(
        calleeKey,
        !connecting
            ? 0
            : !connected
                ? SelectionKey.OP_CONNECT
                : (toCaller.wantsRead() ? SelectionKey.OP_READ : 0)
                    | (toCallee.wantsWrite() ? SelectionKey.OP_WRITE : 0));
  }

  /** An end that refused has no key any more. */
  private static void interest(SelectionKey key, int operations) {
    if (key.isValid()) {
      key.interestOps(operations);
    }
  }

  /** Resets both ends; after orderly ends nothing is left that a reset could take away. */
  void close() {
    if (toCallee.isDone() && toCaller.isDone()) {
      closeQuietly(caller);
      closeQuietly(callee);
    }
    StreamPipe.reset(caller);
    StreamPipe.reset(callee);
    proxies.remove(this);
  }

  private static void closeQuietly(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // Already gone.
    }
  }
}
