package tamarindroute.rig.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** Forwards datagrams from one process to another, and the answers to their sender. */
final class UdpProxy implements ProxyLoop.ReadyHandler {

  /** Delayed datagrams of one proxy: some 2 s at 1,000 datagrams per second. */
  private static final int MAX_DELAYED = 2048;

  private static final int MAX_DATAGRAM_BYTES = 65_536;

  private final ProxyLoop loop;
  private final DatagramChannel channel;
  private final InetSocketAddress target;
  private final Link forward;
  private final Link backward;
  private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

  /** The sender of the last datagram; null before the first. */
  private SocketAddress source;

  private int delayed;

  UdpProxy(
      ProxyLoop loop,
      DatagramChannel channel,
      InetSocketAddress target,
      Link forward,
      Link backward) {
    this.loop = loop;
    this.channel = channel;
    this.target = target;
    this.forward = forward;
    this.backward = backward;
  }

  @Override
  public void onReady() throws IOException {
    while (true) {
      buffer.clear();
      SocketAddress from;
      try {
        from = channel.receive(buffer);
      } catch (IOException e) {
        // An earlier datagram found no receiver: on a real link the sender would not notice.
        continue;
      }
      if (from == null) {
        return;
      }
      buffer.flip();
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      if (from.equals(target)) {
        forwardDatagram(backward, bytes, source);
      } else {
        source = from;
        forwardDatagram(forward, bytes, target);
      }
    }
  }

  private void forwardDatagram(Link link, byte[] bytes, SocketAddress to) {
    if (to == null || link.isCut() || link.isLost()) {
      return;
    }
    send(link, bytes, to);
    if (link.isDuplicated()) {
      send(link, bytes, to);
    }
  }

  private void send(Link link, byte[] bytes, SocketAddress to) {
    long delayNanos = link.delayNanos();
    if (delayNanos == 0) {
      write(bytes, to);
    } else if (delayed < MAX_DELAYED) {
      delayed++;
      loop.schedule(
          delayNanos,
          () -> {
            delayed--;
            write(bytes, to);
          });
    }
  }

  private void write(byte[] bytes, SocketAddress to) {
    try {
      channel.send(ByteBuffer.wrap(bytes), to);
    } catch (IOException e) {
      // Datagrams may be lost.
    }
  }
}
