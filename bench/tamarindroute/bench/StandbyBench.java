package tamarindroute.bench;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import tamarindroute.host.EventLoop;
import tamarindroute.net.DatagramTransport;
import tamarindroute.standby.VrrpEndpoint;
import tamarindroute.vrrp.Election;

/**
 * Measures elections: on sockets the time from a gateway's death to the other's taking of the
 * address, by interval; in simulated time how often a living one is taken for dead under loss, and
 * for how long both act then.
 */
public final class StandbyBench {

  private static final InetAddress SHARED = InetAddress.getLoopbackAddress();

  private StandbyBench() {}

  public static void main(String[] arguments) throws Exception {
    takeOver(Duration.ofMillis(10), 100);
    takeOver(Duration.ofMillis(100), 30);
    takeOver(Duration.ofMillis(1000), 5);
    for (double loss : new double[] {0.01, 0.05, 0.2}) {
      underLoss(loss, 1_000_000);
    }
    System.exit(0);
  }

  /** One gateway of a pair, on a thread of its own. */
  private static final class Gateway {
    final EventLoop eventLoop = new EventLoop();
    final DatagramTransport datagrams = new DatagramTransport(eventLoop);
    final AtomicLong took = new AtomicLong();
    final AtomicBoolean dead = new AtomicBoolean();

    void start(InetSocketAddress own, InetSocketAddress peer, int priority, Duration interval)
        throws Exception {
      CountDownLatch started = new CountDownLatch(1);
      eventLoop.execute(
          () -> {
            VrrpEndpoint endpoint =
                new VrrpEndpoint(eventLoop, datagrams, own, List.of(peer), null, 1);
            endpoint.add(
                1,
                priority,
                List.of(SHARED),
                new Election.Settings(VrrpEndpoint.tieBreaker(own), interval, true, Duration.ZERO),
                new VrrpEndpoint.AddressHolder() {
                  @Override
                  public void onTaken() {
                    took.set(System.nanoTime());
                  }

                  @Override
                  public void onReleased(Election.ReleaseReason why) {
                    took.set(0);
                  }
                });
            try {
              endpoint.start();
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            started.countDown();
          });
      if (!started.await(5, TimeUnit.SECONDS)) {
        throw new IOException("a gateway did not start");
      }
    }

    /** Its thread stands still for good and its socket is gone, as a killed process's. */
    void kill() {
      eventLoop.execute(
          () -> {
            while (true) {
              java.util.concurrent.locks.LockSupport.park();
            }
          });
      datagrams.shutDown();
    }
  }

  private static InetSocketAddress free() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }
  }

  private static void takeOver(Duration interval, int rounds) throws Exception {
    Histogram histogram = new Histogram(TimeUnit.SECONDS.toNanos(60), 3);
    Random random = new Random(1);
    for (int round = 0; round < rounds; round++) {
      InetSocketAddress one = free();
      InetSocketAddress other = free();
      Gateway first = new Gateway();
      Gateway second = new Gateway();
      first.start(one, other, 200, interval);
      second.start(other, one, 100, interval);
      while (first.took.get() == 0 || second.took.get() != 0) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      TimeUnit.NANOSECONDS.sleep((long) (interval.toNanos() * (2 + random.nextDouble())));
      long killed = System.nanoTime();
      first.kill();
      while (second.took.get() < killed) {
        TimeUnit.MICROSECONDS.sleep(200);
      }
      histogram.recordValue(second.took.get() - killed);
      second.kill();
    }
    System.out.printf(
        "sockets, interval %d ms, %d kills: taken over after p50 %.1f, p99 %.1f, max %.1f ms%n",
        interval.toMillis(),
        rounds,
        histogram.getValueAtPercentile(50) / 1e6,
        histogram.getValueAtPercentile(99) / 1e6,
        histogram.getMaxValue() / 1e6);
  }

  private record Due(Duration at, int to, Election.Event event) {}

  /**
   * Two routers of priorities 200 and 100 whose advertisements are lost at random, each by itself.
   */
  private static void underLoss(double loss, int intervals) {
    Duration interval = Duration.ofMillis(100);
    Duration way = Duration.ofMillis(1);
    Random random = new Random(7);
    int[] priorities = {200, 100};
    List<Election.Settings> settings =
        List.of(
            new Election.Settings(2, interval, true, Duration.ZERO),
            new Election.Settings(1, interval, true, Duration.ZERO));
    List<Election.State> states = new ArrayList<>();
    PriorityQueue<Due> queue = new PriorityQueue<>(Comparator.comparing(Due::at));
    for (int i = 0; i < 2; i++) {
      states.add(Election.initial(priorities[i], settings.get(i)));
      queue.add(new Due(Duration.ZERO, i, new Election.Startup()));
    }
    Duration end = interval.multipliedBy(intervals);
    int falseTakeOvers = 0;
    Duration both = Duration.ZERO;
    Duration longest = Duration.ZERO;
    Duration since = null;
    while (!queue.isEmpty() && queue.peek().at.compareTo(end) < 0) {
      Due next = queue.poll();
      Election.State before = states.get(next.to);
      if (next.event instanceof Election.Tick
          && (Election.nextDeadline(before) == null
              || Election.nextDeadline(before).compareTo(next.at) > 0)) {
        continue;
      }
      Election.Step step = Election.next(before, next.event, next.at, settings.get(next.to));
      states.set(next.to, step.state());
      if (next.to == 1
          && before.role() == Election.Role.BACKUP
          && step.state().role() == Election.Role.ACTIVE
          && states.get(0).role() == Election.Role.ACTIVE) {
        falseTakeOvers++;
      }
      for (Election.Action action : step.actions()) {
        if (action instanceof Election.SendAdvertisement advertise && random.nextDouble() >= loss) {
          queue.add(
              new Due(
                  next.at.plus(way),
                  1 - next.to,
                  new Election.AdvertisementReceived(
                      advertise.priority(), settings.get(next.to).tieBreaker(), interval)));
        }
      }
      Duration due = Election.nextDeadline(step.state());
      if (due != null) {
        queue.add(
            new Due(
                due.compareTo(next.at) > 0 ? due : next.at.plusNanos(1),
                next.to,
                new Election.Tick()));
      }
      boolean together =
          Election.mayAct(states.get(0), next.at) && Election.mayAct(states.get(1), next.at);
      if (together && since == null) {
        since = next.at;
      } else if (!together && since != null) {
        Duration span = next.at.minus(since);
        both = both.plus(span);
        longest = span.compareTo(longest) > 0 ? span : longest;
        since = null;
      }
    }
    System.out.printf(
        "simulated, %.0f%% lost, interval 100 ms, %d intervals: %d false take-overs, both active for "
            + "%.3f s in all, %.1f ms at the longest%n",
        loss * 100, intervals, falseTakeOvers, both.toNanos() / 1e9, longest.toNanos() / 1e6);
  }
}
