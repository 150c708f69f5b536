package tamarindroute.members;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** One direction of a link, which can lose datagrams or be blocked; duplicates each datagram. */
final class LossyProxy implements AutoCloseable {

  private static final int MAX_DATAGRAM_BYTES = 5_000;

  private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
  private final Random random;
  private final InetSocketAddress destination;
  volatile boolean blocked;
  volatile int lossPercent;
  final AtomicInteger forwardedCount = new AtomicInteger();

  LossyProxy(InetSocketAddress destination, long seed) throws IOException {
    this.destination = destination;
    this.random = new Random(seed);
    Thread thread = new Thread(this::forwardAll, "lossy-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void forwardAll() {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
    try {
      while (true) {
        packet.setLength(MAX_DATAGRAM_BYTES);
        socket.receive(packet);
        if (!blocked && random.nextInt(100) >= lossPercent) {
          forward(packet);
        }
      }
    } catch (IOException e) {
      // The socket was closed at the end of the test.
    }
  }

  private void forward(DatagramPacket packet) throws IOException {
    forwardedCount.incrementAndGet();
    packet.setSocketAddress(destination);
    socket.send(packet);
    socket.send(packet);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
  }

  @Override
  public void close() {
    socket.close();
  }
}
