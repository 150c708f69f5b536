package tamarindroute.rig.play;

import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tamarindroute.example.ToyServer;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.JournalEntry;

/** Waits until processes are ready for a run. */
final class Readiness {

  /** Sixteen processes that start at once on two cores take some 15 s. */
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private static final long HEALTH_INTERVAL_MILLIS = 50;
  private static final long CONNECTIVITY_INTERVAL_MILLIS = 20;

  private final Journal journal;

  Readiness(Journal journal) {
    this.journal = journal;
  }

  /** Waits until a stub prints that it is ready. */
  void awaitStub(ManagedProcess process) throws IOException, InterruptedException {
    boolean ready =
        journal.await(
            entry -> entry.isFrom(process.name()) && entry.text().equals("ready"), TIMEOUT);
    if (!ready) {
      throw new IOException("process " + process.name() + " did not start");
    }
  }

  /** Waits until a gateway reports the health GREEN. */
  void awaitGateway(ManagedProcess process) throws IOException, InterruptedException {
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (System.nanoTime() < endNanos && process.isAlive()) {
      if (isHealthy(process)) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(HEALTH_INTERVAL_MILLIS);
    }
    throw new IOException(
        "gateway "
            + process.name()
            + " did not start: "
            + journal.entries().stream()
                .filter(entry -> entry.isFrom(process.name()))
                .map(JournalEntry::toString)
                .toList());
  }

  private static boolean isHealthy(ManagedProcess process) throws IOException {
    try (ToyServer.Client client = new ToyServer.Client(Loopback.address(process.port()))) {
      client.send("RPC.HEALTH", 1, "");
      return new String(client.readResponse().get(1), StandardCharsets.UTF_8).equals("GREEN");
    } catch (SocketException e) {
      // It doesn't listen yet.
      return false;
    }
  }

  /** Waits until each member has reported every other as alive and itself as connected. */
  void awaitMembers(Map<String, Integer> ports) throws IOException, InterruptedException {
    for (String member : ports.keySet()) {
      for (Map.Entry<String, Integer> other : ports.entrySet()) {
        if (!member.equals(other.getKey())) {
          awaitAlive(member, other.getKey(), Loopback.text(other.getValue()));
        }
      }
      awaitConnected(member);
    }
  }

  private void awaitAlive(String reporter, String subject, String address)
      throws IOException, InterruptedException {
    boolean reported =
        journal.await(
            entry ->
                entry.isFrom(reporter)
                    && entry.text().endsWith(" alive")
                    && entry.text().contains(" " + address + "#"),
            TIMEOUT);
    if (!reported) {
      throw new IOException("member " + reporter + " has not met " + subject);
    }
  }

  private void awaitConnected(String member) throws IOException, InterruptedException {
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!journal.lastText(member, "connectivity").endsWith("connected")) {
      if (System.nanoTime() > endNanos) {
        throw new IOException("member " + member + " is not connected");
      }
      TimeUnit.MILLISECONDS.sleep(CONNECTIVITY_INTERVAL_MILLIS);
    }
  }
}
