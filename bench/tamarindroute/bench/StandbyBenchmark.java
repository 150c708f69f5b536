package tamarindroute.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import tamarindroute.host.EventLoop;
import tamarindroute.net.DatagramTransport;
import tamarindroute.vrrp.Election;
import tamarindroute.vrrptransport.VrrpEndpoint;

/**
 * Measures the takeover of an address: on sockets the time from one gateway's end to the other's
 * takeover, by advertisement interval; and {@link ElectionSimulation}.
 */
public final class StandbyBenchmark {

  private static final InetAddress SHARED_ADDRESS = InetAddress.getLoopbackAddress();
  private static final int ACTIVE_PRIORITY = 200;
  private static final int BACKUP_PRIORITY = 100;
  private static final double[] LOSS_RATES = {0.01, 0.05, 0.2};
  private static final int SIMULATED_INTERVALS = 1_000_000;

  private StandbyBenchmark() {}

  /** Runs all measurements. */
  public static void main(String[] arguments) throws Exception {
    measureTakeover(Duration.ofMillis(10), 100);
    measureTakeover(Duration.ofMillis(100), 30);
    measureTakeover(Duration.ofSeconds(1), 5);
    for (double loss : LOSS_RATES) {
      ElectionSimulation.run(loss, SIMULATED_INTERVALS);
    }
    System.exit(0);
  }

  /** One gateway of a pair, on an event loop of its own. */
  private static final class Gateway {

    private final EventLoop eventLoop = new EventLoop();
    private final DatagramTransport datagrams = new DatagramTransport(eventLoop);

    /** When it took the address, by {@link System#nanoTime}; 0 while it does not hold it. */
    private final AtomicLong takenAt = new AtomicLong();

    void start(InetSocketAddress own, InetSocketAddress peer, int priority, Duration interval)
        throws Exception {
      CountDownLatch started = new CountDownLatch(1);
      eventLoop.execute(
          () -> {
            startEndpoint(own, peer, priority, interval);
            started.countDown();
          });
      if (!started.await(5, TimeUnit.SECONDS)) {
        throw new IOException("a gateway did not start");
      }
    }

    private void startEndpoint(
        InetSocketAddress own, InetSocketAddress peer, int priority, Duration interval) {
      VrrpEndpoint endpoint = new VrrpEndpoint(eventLoop, datagrams, own, List.of(peer), null, 1);
      endpoint.add(
          1,
          priority,
          List.of(SHARED_ADDRESS),
          new Election.Settings(VrrpEndpoint.tieBreaker(own), interval, true, Duration.ZERO),
          new AddressHolder());
      try {
        endpoint.start();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private final class AddressHolder implements VrrpEndpoint.AddressHolder {

      @Override
      public void onTaken() {
        takenAt.set(System.nanoTime());
      }

      @Override
      public void onReleased(Election.ReleaseReason why) {
        takenAt.set(0);
      }
    }

    /** Stops its thread for good and closes its socket, as if its process were killed. */
    void kill() {
      eventLoop.execute(
          () -> {
            while (true) {
              LockSupport.park();
            }
          });
      datagrams.shutDown();
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }
  }

  private static void measureTakeover(Duration interval, int rounds) throws Exception {
    Histogram histogram = Histograms.upToSeconds(60);
    Random random = new Random(1);
    for (int round = 0; round < rounds; round++) {
      histogram.recordValue(takeoverNanos(interval, random));
    }
    System.out.printf(
        "sockets, interval %d ms, %d kills: taken over after p50 %.1f, p99 %.1f, max %.1f ms%n",
        interval.toMillis(),
        rounds,
        Histograms.millis(histogram, 50),
        Histograms.millis(histogram, 99),
        Histograms.maxMillis(histogram));
  }

  /** Kills the active gateway at a random time and waits for the other's takeover. */
  private static long takeoverNanos(Duration interval, Random random) throws Exception {
    InetSocketAddress activeAddress = freeAddress();
    InetSocketAddress backupAddress = freeAddress();
    Gateway active = new Gateway();
    Gateway backup = new Gateway();
    active.start(activeAddress, backupAddress, ACTIVE_PRIORITY, interval);
    backup.start(backupAddress, activeAddress, BACKUP_PRIORITY, interval);
    while (active.takenAt.get() == 0 || backup.takenAt.get() != 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    TimeUnit.NANOSECONDS.sleep((long) (interval.toNanos() * (2 + random.nextDouble())));
    long killedAt = System.nanoTime();
    active.kill();
    while (backup.takenAt.get() < killedAt) {
      TimeUnit.MICROSECONDS.sleep(200);
    }
    long nanos = backup.takenAt.get() - killedAt;
    backup.kill();
    return nanos;
  }
}
