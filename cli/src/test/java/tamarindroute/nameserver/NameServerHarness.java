package tamarindroute.nameserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tamarindroute.example.ToyServer;

/**
 * Runs name servers as processes between simulated resolvers, control feed, caches and upstream
 * servers on loopback, and ends all after each test.
 */
@Timeout(90)
abstract class NameServerHarness {

  static final String ZONE = "<zone name=\"sheds.example.\" file=\"sheds.zone\"/>\n";
  static final String UNLIMITED = "<limits answers-per-second=\"0\"/>\n";

  /** Settings of a name server that steers one location and has no rate limit. */
  static final String STEERING = ZONE + steering(1) + UNLIMITED;

  /** The name of the steered location. */
  static final String SHED_3 = "shed-3.sheds.example";

  /** The port of all caches in the list. */
  static final int CACHE_PORT = 5050;

  private static final long AWAIT_SECONDS = 15;
  private static final long POLL_MS = 50;

  @TempDir Path folder;

  ToyServer.Feed feed;

  private final List<AutoCloseable> resources = new ArrayList<>();

  @BeforeEach
  final void startFeed() throws IOException {
    feed = closeLater(new ToyServer.Feed(0));
  }

  @AfterEach
  final void closeAll() throws Exception {
    for (int i = resources.size() - 1; i >= 0; i--) {
      resources.get(i).close();
    }
  }

  /** Closes a resource after the test. */
  final <T extends AutoCloseable> T closeLater(T resource) {
    resources.add(resource);
    return resource;
  }

  /** Starts a name server that is the only instance. */
  final NameServerProcess startNameServer(int edges, String dnsElements) throws Exception {
    return startNameServer(edges, 1, "", dnsElements);
  }

  /**
   * Starts a name server.
   *
   * @param edges number of caches in the list
   * @param instances number of name servers that share the caches
   * @param instanceAttributes further attributes of the element instance
   * @param dnsElements content of the element dns
   */
  final NameServerProcess startNameServer(
      int edges, int instances, String instanceAttributes, String dnsElements) throws Exception {
    NameServerProcess nameServer =
        new NameServerProcess(
            folder.resolve("n" + resources.size()),
            feed.port(),
            edges,
            CACHE_PORT,
            instances,
            instanceAttributes,
            dnsElements);
    nameServer.start();
    return closeLater(nameServer);
  }

  /**
   * The element that steers shed-3.
   *
   * @param carries the load that one answer carries
   */
  static String steering(double carries) {
    return "<steer zone=\"sheds.example.\" carries=\""
        + carries
        + "\"><location label=\"shed-3\" place=\"shed\"/>"
        + "<profile label=\"clip\" name=\"clip\"/></steer>\n";
  }

  /** Publishes a change of one cache. */
  final void publish(int cache, String state, long startedMillis) {
    feed.publish(NameServerProcess.endpointEvent(cache, CACHE_PORT, state, startedMillis));
  }

  /** A condition that may fail to be determined. */
  interface Condition {
    boolean holds() throws Exception;
  }

  /** Waits until a condition holds. */
  static void await(Condition condition) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
    while (!condition.holds()) {
      assertThat(System.nanoTime()).as("in time").isLessThan(deadline);
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }
}
