package tamarindroute.rig.play;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.proxy.DeterministicRandom;

/**
 * Clients that send at a constant rate, to each gateway in turn, whatever is answered. Each request
 * and each answer is recorded.
 */
final class ClientLoad implements Closeable {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long POLL_MILLIS = 10;

  private final Journal journal;
  private final List<GatewayConnection> connections;
  private final DeterministicRandom random;

  /** Null before the start. */
  private Future<?> sending;

  private volatile boolean finished;
  private int count;

  ClientLoad(Journal journal, long seed, Map<String, InetSocketAddress> gateways) {
    this.journal = journal;
    random = new DeterministicRandom(seed, "clients");
    connections =
        gateways.entrySet().stream()
            .map(gateway -> new GatewayConnection(journal, gateway.getKey(), gateway.getValue()))
            .toList();
  }

  /** Sends so many requests per second. */
  void start(ScheduledExecutorService timer, double rate) {
    long intervalNanos = (long) (NANOS_PER_SECOND / rate);
    sending = timer.scheduleAtFixedRate(this::sendNext, 0, intervalNanos, TimeUnit.NANOSECONDS);
  }

  private void sendNext() {
    if (finished) {
      return;
    }
    GatewayConnection connection = connections.get(count % connections.size());
    count++;
    connection.send(ClientRequest.random(count, random));
  }

  /** Sends no more, and waits for the answers to open requests up to a timeout. */
  void finish(long timeoutMillis) throws InterruptedException {
    finished = true;
    sending.cancel(false);
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (connections.stream().anyMatch(GatewayConnection::hasOpenRequests)
        && System.nanoTime() < endNanos) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    journal.add("client", "finished");
  }

  @Override
  public void close() throws IOException {
    finished = true;
    for (GatewayConnection connection : connections) {
      connection.close();
    }
  }
}
