package tamarindroute.gateway;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds ports for programs that a test starts. They are below those that the system gives to
 * outgoing connections: one of these could take the port before the program listens on it.
 */
public final class FreePort {

  private static final int FIRST = 20_000;

  /** Linux gives connections ports from 32,768 up. */
  private static final int COUNT = 12_000;

  /** A random start, since several test runs may share the machine. */
  private static final AtomicInteger NEXT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

  private FreePort() {}

  /** A port that nothing listens on, and that this process was not given before. */
  public static int find() throws IOException {
    while (true) {
      int port = FIRST + NEXT.getAndIncrement() % COUNT;
      try (ServerSocket free = new ServerSocket(port)) {
        return free.getLocalPort();
      } catch (BindException e) {
        // In use; the next one may be free.
      }
    }
  }
}
