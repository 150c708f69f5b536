package tamarindroute.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.IntSupplier;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import tamarindroute.dns.DnsFixture;

/**
 * Simulates resolvers that cache answers for their TTL while one of a location's caches is gone for
 * 30 s and restarts cold. Compares the load on that cache, in proportion to the load that would
 * overload it, by the name server's steering, by round-robin and by weighted round-robin, where the
 * cache has twice the weight of the others. Times are seconds of simulated time.
 */
public final class ColdRestartSimulation {

  private static final int EDGES = 6;
  private static final int RESOLVERS = 300;
  private static final Path DEFAULT_PLOT = Path.of("docs/plots/dns-cold-restart.png");

  /** A common TTL, and one short enough that clients soon leave a drained cache. */
  private static final double[] FIXED_TTLS = {30, 2};

  private static final double STEP = 0.1;
  private static final double STEADY_FROM = 60;
  private static final double REMOVED_AT = 100;
  private static final double RESTARTED_AT = 130;
  private static final double DURATION = 220;

  /** Half of a step, for the comparison of times. */
  private static final double TOLERANCE = 0.05;

  /** The cache that is gone for a while. */
  private static final int RESTARTED_CACHE = 0;

  private final DnsFixture.Fleet fleet;
  private final CacheSelection selection;
  private final TimeToLive timeToLive;
  private final Random random = new Random(6);

  /** The cached answer of each resolver; -1 for none. */
  private final int[] cachedBy = new int[RESOLVERS];

  private final double[] expiresAt = new double[RESOLVERS];
  private final double[] queriesAt = new double[RESOLVERS];
  private final List<Double> times = new ArrayList<>();
  private final List<Double> loadRatios = new ArrayList<>();
  private double worstRatio;
  private double shareError;
  private int shareSamples;
  private int unserved;
  private double recoveredAfter = -1;

  /** Chooses the cache of an answer. */
  private interface CacheSelection {
    /** The chosen cache; -1 if the query is rejected. */
    int cacheAt(double now);
  }

  /** Determines the TTL of an answer. */
  private interface TimeToLive {
    double seconds();
  }

  private ColdRestartSimulation(
      DnsFixture.Fleet fleet, CacheSelection selection, TimeToLive timeToLive) {
    this.fleet = fleet;
    this.selection = selection;
    this.timeToLive = timeToLive;
  }

  /** Runs all variants and draws a plot into the file that the argument names. */
  public static void main(String[] arguments) throws Exception {
    Path file = arguments.length > 0 ? Path.of(arguments[0]) : DEFAULT_PLOT;
    Files.createDirectories(file.toAbsolutePath().getParent());
    XYChart chart = createChart();
    DnsFixture.Fleet single = new DnsFixture.Fleet(EDGES, 1);
    run(chart, "steering, 1 instance", single, now -> single.choose(0, now), single::ttl);
    DnsFixture.Fleet four = new DnsFixture.Fleet(EDGES, 4);
    Random instances = new Random(8);
    run(
        chart,
        "steering, 4 instances",
        four,
        now -> four.choose(instances.nextInt(4), now),
        four::ttl);
    for (double ttl : FIXED_TTLS) {
      runRoundRobin(chart, ttl);
      runWeightedRoundRobin(chart, ttl);
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    System.out.println("plot: " + file);
  }

  private static XYChart createChart() {
    XYChart chart =
        new XYChartBuilder()
            .width(1000)
            .height(560)
            .title("Load steered to a cache that restarted cold at 0 s (simulated)")
            .xAxisTitle("seconds after its start")
            .yAxisTitle("load in proportion to the overload limit")
            .build();
    chart.getStyler().setMarkerSize(0);
    chart.getStyler().setDecimalPattern("0.##");
    return chart;
  }

  private static void runRoundRobin(XYChart chart, double ttl) {
    DnsFixture.Fleet fleet = new DnsFixture.Fleet(EDGES, 1);
    int[] turn = {0};
    IntSupplier next = () -> turn[0]++ % EDGES;
    String name = "round-robin, TTL " + (int) ttl + " s";
    run(chart, name, fleet, now -> nextReady(fleet, next), () -> ttl);
  }

  private static void runWeightedRoundRobin(XYChart chart, double ttl) {
    DnsFixture.Fleet fleet = new DnsFixture.Fleet(EDGES, 1);
    fleet.weigh(RESTARTED_CACHE, 2);
    int[] turn = {0};
    // The restarted cache has index 0 and two places in the rotation.
    IntSupplier next = () -> Math.max(0, turn[0]++ % (EDGES + 1) - 1);
    String name = "weighted round-robin, TTL " + (int) ttl + " s";
    run(chart, name, fleet, now -> nextReady(fleet, next), () -> ttl);
  }

  /** The next cache of a rotation that is ready; -1 if there is none. */
  private static int nextReady(DnsFixture.Fleet fleet, IntSupplier next) {
    for (int i = 0; i < 2 * EDGES; i++) {
      int cache = next.getAsInt();
      if (fleet.ready(cache)) {
        return cache;
      }
    }
    return -1;
  }

  private static void run(
      XYChart chart,
      String name,
      DnsFixture.Fleet fleet,
      CacheSelection selection,
      TimeToLive timeToLive) {
    ColdRestartSimulation simulation = new ColdRestartSimulation(fleet, selection, timeToLive);
    simulation.run();
    chart.addSeries(name, simulation.times, simulation.loadRatios).setMarker(SeriesMarkers.NONE);
    System.out.printf(
        "simulated, %s: at the worst %.2f of what overloads the cold cache, nine tenths of its "
            + "share after %.0f s, %d queries rejected; mean error of a steady share %.4f%n",
        name,
        simulation.worstRatio,
        simulation.recoveredAfter,
        simulation.unserved,
        simulation.shareError / simulation.shareSamples);
  }

  private void run() {
    for (int i = 0; i < RESOLVERS; i++) {
      cachedBy[i] = -1;
      queriesAt[i] = random.nextDouble() * 20;
    }
    for (double now = 0; now < DURATION; now += STEP) {
      fleet.heard(now);
      if (Math.abs(now - REMOVED_AT) < TOLERANCE) {
        fleet.gone(RESTARTED_CACHE, now);
      } else if (Math.abs(now - RESTARTED_AT) < TOLERANCE) {
        fleet.back(RESTARTED_CACHE, now);
      }
      int[] load = refreshResolvers(now);
      if (now > STEADY_FROM && now < REMOVED_AT - 1) {
        recordShares(load);
      }
      if (now >= RESTARTED_AT) {
        recordRestartedCache(now, load);
      }
    }
  }

  /** Lets resolvers query that are due, and returns the number of resolvers by cache. */
  private int[] refreshResolvers(double now) {
    int[] load = new int[EDGES];
    for (int i = 0; i < RESOLVERS; i++) {
      if (cachedBy[i] >= 0 && expiresAt[i] <= now) {
        cachedBy[i] = -1;
      }
      if (queriesAt[i] <= now) {
        query(i, now);
      }
      if (cachedBy[i] >= 0) {
        load[cachedBy[i]]++;
      }
    }
    return load;
  }

  private void query(int resolver, double now) {
    int cache = selection.cacheAt(now);
    double ttl = cache < 0 ? 0.2 : Math.max(0.1, timeToLive.seconds());
    cachedBy[resolver] = cache;
    expiresAt[resolver] = now + ttl;
    queriesAt[resolver] = expiresAt[resolver] + random.nextDouble();
    if (cache < 0) {
      unserved++;
    }
  }

  private void recordShares(int[] load) {
    double total = Arrays.stream(load).sum();
    for (int i = 0; i < EDGES; i++) {
      shareError += Math.abs(load[i] / total - fleet.share(i));
    }
    shareSamples += EDGES;
  }

  private void recordRestartedCache(double now, int[] load) {
    int ownLoad = load[RESTARTED_CACHE];
    double ratio = ownLoad / fleet.bound(RESTARTED_CACHE, now);
    times.add(Math.round((now - RESTARTED_AT) * 10) / 10.0);
    loadRatios.add(ratio);
    worstRatio = Math.max(worstRatio, ratio);
    double fairLoad = fleet.share(RESTARTED_CACHE) * Arrays.stream(load).sum();
    if (recoveredAfter < 0 && ownLoad >= 0.9 * fairLoad) {
      recoveredAfter = now - RESTARTED_AT;
    }
  }
}
