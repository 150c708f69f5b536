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
final class TcpLink implements Proxies.Ready {

  private final Proxies proxies;
  private final InetSocketAddress target;
  private final Way there;
  private final SocketChannel caller;
  private final SocketChannel called;
  private final SelectionKey callerKey;
  private final SelectionKey calledKey;
  private final Pump up;
  private final Pump down;
  private boolean asked;
  private boolean connected;

  TcpLink(
      Proxies proxies,
      Selector selector,
      SocketChannel caller,
      InetSocketAddress target,
      Way there,
      Way back)
      throws IOException {
    this.proxies = proxies;
    this.target = target;
    this.there = there;
    this.caller = caller;
    called = SocketChannel.open();
    for (SocketChannel channel : new SocketChannel[] {caller, called}) {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }
    up = new Pump(proxies, caller, called, there);
    down = new Pump(proxies, called, caller, back);
    callerKey = caller.register(selector, 0, this);
    calledKey = called.register(selector, 0, this);
    settle();
  }

  @Override
  public void ready() {
    if (callerKey.isValid() && callerKey.isReadable()) {
      up.read(this::settle);
    }
    if (calledKey.isValid() && connected && calledKey.isReadable()) {
      down.read(this::settle);
    }
    settle();
  }

  /** Asks the other end, sends what may go, and says what to wait for. */
  void settle() {
    if (!caller.isOpen() && !called.isOpen()) {
      return;
    }
    try {
      if (!asked && !there.cut()) {
        asked = true;
        connected = called.connect(target);
      } else if (asked && !connected) {
        connected = called.finishConnect();
      }
    } catch (IOException e) {
      // Refused: the caller hears of it by the way back.
      connected = true;
      down.reset(this::settle);
    }
    if (connected && called.isConnected() && !up.flush()
        || !down.flush()
        || up.done() && down.done()) {
      close();
      return;
    }
    interest(
        callerKey,
        (up.wantsRead() ? SelectionKey.OP_READ : 0)
            | (down.wantsWrite() ? SelectionKey.OP_WRITE : 0));
    interest(
        calledKey,
        !asked
            ? 0
            : !connected
                ? SelectionKey.OP_CONNECT
                : (down.wantsRead() ? SelectionKey.OP_READ : 0)
                    | (up.wantsWrite() ? SelectionKey.OP_WRITE : 0));
  }

  /** An end that refused has no key any more. */
  private static void interest(SelectionKey key, int operations) {
    if (key.isValid()) {
      key.interestOps(operations);
    }
  }

  /** Resets both ends; after orderly ends nothing is left that a reset could take away. */
  void close() {
    if (up.done() && down.done()) {
      quietly(caller);
      quietly(called);
    }
    Pump.reset(caller);
    Pump.reset(called);
    proxies.forget(this);
  }

  private static void quietly(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // Already gone.
    }
  }
}
