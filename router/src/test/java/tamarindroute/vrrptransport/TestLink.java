package tamarindroute.vrrptransport;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Forwards datagrams between two addresses until it is interrupted. Each end sees the other end at
 * an address of the link, as behind a router that translates addresses.
 */
final class TestLink implements AutoCloseable {

  private static final int MAX_DATAGRAM_BYTES = 2000;

  private final List<InetSocketAddress> addresses;
  private final int firstEnd;
  private final DatagramSocket atFirstEnd =
      new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
  private final DatagramSocket atSecondEnd =
      new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
  private volatile boolean interrupted;

  /**
   * Creates a link that forwards.
   *
   * @param addresses of all processes of the test
   * @param firstEnd index of one end's address
   * @param secondEnd index of the other end's address
   */
  TestLink(List<InetSocketAddress> addresses, int firstEnd, int secondEnd) throws IOException {
    this.addresses = addresses;
    this.firstEnd = firstEnd;
    forward(atFirstEnd, atSecondEnd, secondEnd);
    forward(atSecondEnd, atFirstEnd, firstEnd);
  }

  /** Returns the address at which one end of the link, given by its index, finds the other. */
  InetSocketAddress remoteAddressSeenBy(int end) {
    DatagramSocket socket = end == firstEnd ? atFirstEnd : atSecondEnd;
    return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
  }

  private void forward(DatagramSocket in, DatagramSocket out, int receiver) {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  DatagramPacket packet =
                      new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
                  in.receive(packet);
                  if (!interrupted) {
                    out.send(
                        new DatagramPacket(
                            packet.getData(), packet.getLength(), addresses.get(receiver)));
                  }
                }
              } catch (IOException e) {
                // The test closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  void interrupt() {
    interrupted = true;
  }

  void restore() {
    interrupted = false;
  }

  @Override
  public void close() {
    atFirstEnd.close();
    atSecondEnd.close();
  }
}
