package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.example.ToyServer;

/**
 * Few descriptors and many idle clients: the feed, the listener and the caches keep their share.
 */
@Timeout(60)
class DescriptorExhaustionIT extends GatewayHarness {

  /** Samples in a row, 10 ms apart, within the shares: all clients have been accepted or closed. */
  private static final int STABLE_SAMPLES = 10;

  private long openDescriptors() throws IOException {
    try (Stream<Path> all = Files.list(Path.of("/proc/" + gateway.pid() + "/fd"))) {
      return all.count();
    }
  }

  /** Connects idle clients; returns the most descriptors that the program had open meanwhile. */
  private long connect(List<Socket> idle, int count) throws IOException {
    long most = 0;
    for (int i = 0; i < count; i++) {
      Socket socket = new Socket();
      idle.add(socket);
      socket.connect(address, 2000);
      most = Math.max(most, openDescriptors());
    }
    return most;
  }

  private static void close(List<Socket> idle) throws IOException {
    for (Socket socket : idle) {
      socket.close();
    }
  }

  /** Returns when the open descriptors have stayed within a bound for a while, or after 5 s. */
  private void awaitStable(long most) throws Exception {
    int stableSamples = 0;
    for (int i = 0; i < 500 && stableSamples < STABLE_SAMPLES; i++) {
      stableSamples = openDescriptors() > most ? 0 : stableSamples + 1;
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  private void assertTenServed(String objectPrefix) throws IOException {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 10; tag++) {
        assertThat(status(call(client, String.valueOf(tag), objectPrefix + tag))).isEqualTo("ACK");
      }
    }
  }

  /**
   * Idle clients use up the listener's share while the feed is down; after its return a drain is
   * known and clients are served.
   */
  @ParameterizedTest
  @ValueSource(ints = {256, 128})
  void idleClientsLeaveDescriptorsForFeedListenerAndCaches(int limit) throws Exception {
    descriptors = limit;
    restartWithMinimumMemory();
    long atRest = openDescriptors();
    // Both sides share what is not reserved for the program's own 64.
    int side = (limit - 64) / 2;
    List<Socket> idle = new ArrayList<>();
    int port = feed.port();
    feed.close();
    awaitLogged("feed-lost");
    try {
      long most = connect(idle, 2 * limit);
      // A client that connects among so many others may be closed.
      awaitStable(atRest + side);
      assertThat(openDescriptors()).isBetween((long) side, atRest + side);
      assertTenServed("a");
      feed = new ToyServer.Feed(port);
      nextCommand(feed.asked, "GET /v1/events?SUB=");
      feed.tell(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
      nextCommand(feed.asked, "GET /v1/events?SUB=2");
      first.seen.clear();
      assertTenServed("b");
      assertThat(first.seen).isEmpty();
      assertThat(most).isLessThan(limit);
      assertThat(Files.readString(folder.resolve("out.log")))
          .doesNotContain("Too many open files", "defect");
    } finally {
      close(idle);
    }
  }

  /**
   * The machine's limit is lower than the configured one: connections wait to be accepted and
   * nothing ends.
   */
  @Test
  void listenerRecoversWhenDescriptorsAreFreeAgain() throws Exception {
    int limit = 60;
    gateway.destroyForcibly().waitFor();
    descriptors = limit;
    launch();
    List<Socket> idle = new ArrayList<>();
    connect(idle, 2 * limit);
    for (int i = 0; i < 200 && openDescriptors() < limit - 1; i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(openDescriptors()).as("none is left").isGreaterThanOrEqualTo(limit - 1);
    close(idle);
    assertTenServed("a");
  }
}
