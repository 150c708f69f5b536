package tamarindroute.rig.play;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for processes, free for datagrams and connections. They lie below those that the machine
 * gives out by itself, from 32768: one of those that was free a moment ago is at times a proxy's
 * when the process comes to listen on it.
 */
final class Ports {

  private static final int FIRST = 20_000;
  private static final int COUNT = 12_000;

  /** Plays of several programs at once begin at places of their own. */
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 331 % COUNT));

  private Ports() {}

  static int free() throws IOException {
    InetAddress home = InetAddress.getByName("127.0.0.1");
    IOException last = null;
    for (int tries = 0; tries < COUNT; tries++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      try (ServerSocket free = new ServerSocket(port, 1, home);
          DatagramSocket too = new DatagramSocket(port, home)) {
        return free.getLocalPort();
      } catch (IOException e) {
        last = e;
      }
    }
    throw new IOException("no port is free", last);
  }
}
