package tamarindroute.rig.play;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds ports for processes that are free for datagrams and connections. They lie below the
 * ephemeral range, from 32768: a port of that range that was free may be a proxy's by the time the
 * process listens.
 */
final class PortAllocator {

  private static final int FIRST = 20_000;
  private static final int COUNT = 12_000;

  /** Spreads the starting points of several programs that run at once. */
  private static final int SPREAD = 331;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * SPREAD % COUNT));

  private PortAllocator() {}

  static int allocate() throws IOException {
    for (int attempt = 0; attempt < COUNT; attempt++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IOException("no port from " + FIRST + " to " + (FIRST + COUNT - 1) + " is free");
  }

  private static boolean isFree(int port) {
    InetAddress host = Loopback.host();
    try (ServerSocket stream = new ServerSocket(port, 1, host);
        DatagramSocket datagrams = new DatagramSocket(port, host)) {
      return stream.isBound() && datagrams.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
