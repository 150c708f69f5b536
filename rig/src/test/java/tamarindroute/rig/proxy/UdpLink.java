package tamarindroute.rig.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** Datagrams from one process to another, and answers to where they came from. */
final class UdpLink implements Proxies.Ready {

  /**
   * What may be on the way of one link: at 1,000 datagrams a second and the longest delays in use
   * some 2 s.
   */
  private static final int MOST = 2048;

  private final Proxies proxies;
  private final DatagramChannel channel;
  private final InetSocketAddress target;
  private final Way there;
  private final Way back;
  private final ByteBuffer buffer = ByteBuffer.allocate(65_536);
  private SocketAddress source;
  private int under;

  UdpLink(Proxies proxies, DatagramChannel channel, InetSocketAddress target, Way there, Way back) {
    this.proxies = proxies;
    this.channel = channel;
    this.target = target;
    this.there = there;
    this.back = back;
  }

  @Override
  public void ready() throws IOException {
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
        pass(back, bytes, source);
      } else {
        source = from;
        pass(there, bytes, target);
      }
    }
  }

  private void pass(Way way, byte[] bytes, SocketAddress to) {
    if (to == null || way.cut() || way.lost()) {
      return;
    }
    send(way, bytes, to);
    if (way.doubled()) {
      send(way, bytes, to);
    }
  }

  private void send(Way way, byte[] bytes, SocketAddress to) {
    long delay = way.delayNanos();
    if (delay == 0) {
      write(bytes, to);
    } else if (under < MOST) {
      under++;
      proxies.after(
          delay,
          () -> {
            under--;
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
