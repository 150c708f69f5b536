package tamarindroute.net;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import tamarindroute.log.Log;

/**
 * While the buffer pool is short of capacity: lets whoever waits for it try again, and closes the
 * clients that take none of the bytes that hold the buffers. A client that takes them, however many
 * they are, is never closed. Confined to the event loop.
 */
final class BufferShortageMonitor {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * Checks after which a client that has taken nothing is closed. Counted, not timed: a pause of
   * this process must not look like one of its clients. Two seconds, since the operating system
   * reports what a client takes in steps of over a megabyte, for which a slow client needs one.
   */
  private static final int CHECKS_PER_WINDOW = 20;

  private final Scheduler scheduler;
  private final BufferPool bufferPool;
  private final Supplier<Collection<Connection>> clients;

  /** The bytes sent by the start of the window to each client that had others left to take. */
  private final Map<Connection, Long> sentAtWindowStart = new HashMap<>();

  private boolean active;
  private int checks;

  private BufferShortageMonitor(
      Scheduler scheduler, BufferPool bufferPool, Supplier<Collection<Connection>> clients) {
    this.scheduler = scheduler;
    this.bufferPool = bufferPool;
    this.clients = clients;
  }

  /**
   * Starts to monitor a pool.
   *
   * @param clients the connections of all clients
   */
  static void start(
      Scheduler scheduler, BufferPool bufferPool, Supplier<Collection<Connection>> clients) {
    bufferPool.onShortage(new BufferShortageMonitor(scheduler, bufferPool, clients)::onShortage);
  }

  private void onShortage() {
    if (!active) {
      active = true;
      startWindow();
      scheduler.schedule(CHECK_INTERVAL, this::check);
    }
  }

  private void startWindow() {
    checks = 0;
    sentAtWindowStart.clear();
    for (Connection client : clients.get()) {
      if (client.unsentBytes() > 0) {
        sentAtWindowStart.put(client, client.outbound().sent());
      }
    }
  }

  private void check() {
    if (bufferPool.hasCapacity()) {
      active = false;
      sentAtWindowStart.clear();
    } else {
      checks++;
      if (checks == CHECKS_PER_WINDOW) {
        closeStalledClients();
        startWindow();
      }
      scheduler.schedule(CHECK_INTERVAL, this::check);
    }
    bufferPool.notifyWaiting();
  }

  private void closeStalledClients() {
    for (Connection client : List.copyOf(clients.get())) {
      Long sentBefore = sentAtWindowStart.get(client);
      if (sentBefore != null && sentBefore == client.outbound().sent()) {
        Log.info(
            "client-slow", "closing the client, bytes it does not take: " + client.unsentBytes());
        client.close(CloseReason.CLOSED_LOCALLY, false);
      }
    }
  }
}
