package tamarindroute.rig.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** Datagrams from one process to another, and answers to where they came from. */
final class UdpProxy implements ProxyNetwork.ReadyHandler {

  /**
   * What may be on the way of one link: at 1,000 datagrams a second and the longest delays in use
   * some 2 s.
   */
  private static final int MAX_DELAYED = 2048;

  private final ProxyNetwork proxies;
  private final DatagramChannel channel;
  private final InetSocketAddress target;
  private final Link forward;
  private final Link backward;
  private final ByteBuffer buffer = ByteBuffer.allocate(65_536);
  private SocketAddress source;
  private int delayed;

  UdpProxy(
      ProxyNetwork proxies,
      DatagramChannel channel,
      InetSocketAddress target,
      Link forward,
      Link backward) {
    this.proxies = proxies;
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
        // The machine tells here that an earlier datagram found nobody: on a real way nothing would
        // be heard.
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
    long delay = link.delayNanos();
    if (delay == 0) {
      write(bytes, to);
    } else if (delayed < MAX_DELAYED) {
      delayed++;
      proxies.schedule(
          delay,
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
      // Lost, as datagrams may be.
    }
  }
}
