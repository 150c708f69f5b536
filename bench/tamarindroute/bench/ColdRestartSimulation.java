package tamarindroute.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import tamarindroute.dns.DnsFixture;

/**
 * In simulated time: resolvers that keep answers for their TTL steer a location's load; one of its
 * caches is gone for 30 s and comes back cold. What reaches it, as a part of what pushes it over,
 * by steering, by plain round-robin and by weighted round-robin (the cache has twice the others'
 * weight there); and the error of the shares in the calm before.
 */
public final class ColdRestartSimulation {

  private static final int EDGES = 6;
  private static final int RESOLVERS = 300;

  /** As such servers are commonly set up, and so short that a drain's clients are soon gone. */
  private static final double[] FIXED_TTLS = {30, 2};

  private static final double REMOVED_AT = 100;
  private static final double RESTARTED_AT = 130;
  private static final double DURATION = 220;

  private ColdRestartSimulation() {}

  public static void main(String[] arguments) throws Exception {
    Path file = Path.of(arguments.length > 0 ? arguments[0] : "docs/plots/dns-cold-restart.png");
    Files.createDirectories(file.toAbsolutePath().getParent());
    XYChart chart =
        new XYChartBuilder()
            .width(1000)
            .height(560)
            .title("Load steered to a cache that came back cold at 0 s (simulated)")
            .xAxisTitle("seconds after its start")
            .yAxisTitle("part of the load that pushes it over")
            .build();
    chart.getStyler().setMarkerSize(0);
    chart.getStyler().setDecimalPattern("0.##");
    DnsFixture.Fleet one = new DnsFixture.Fleet(EDGES, 1);
    DnsFixture.Fleet four = new DnsFixture.Fleet(EDGES, 4);
    run(chart, "steering, 1 instance", one, now -> one.choose(0, now), one::ttl);
    Random which = new Random(8);
    run(chart, "steering, 4 instances", four, now -> four.choose(which.nextInt(4), now), four::ttl);
    for (double ttl : FIXED_TTLS) {
      DnsFixture.Fleet plain = new DnsFixture.Fleet(EDGES, 1);
      int[] turn = {0};
      run(
          chart,
          "round-robin, TTL " + (int) ttl + " s",
          plain,
          now -> listed(plain, ignored -> turn[0]++ % EDGES),
          () -> ttl);
      DnsFixture.Fleet weighted = new DnsFixture.Fleet(EDGES, 1);
      weighted.weigh(0, 2);
      int[] place = {0};
      run(
          chart,
          "weighted round-robin, TTL " + (int) ttl + " s",
          weighted,
          now -> listed(weighted, ignored -> Math.max(0, place[0]++ % (EDGES + 1) - 1)),
          () -> ttl);
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    System.out.println("plot: " + file);
  }

  /** The next in turn that is on the list. */
  private static int listed(DnsFixture.Fleet fleet, IntUnaryOperator next) {
    for (int i = 0; i < 2 * EDGES; i++) {
      int cache = next.applyAsInt(0);
      if (fleet.ready(cache)) {
        return cache;
      }
    }
    return -1;
  }

  private interface CacheSelection {
    int cache(double now);
  }

  private interface TimeToLive {
    double seconds();
  }

  private static void run(
      XYChart chart,
      String name,
      DnsFixture.Fleet fleet,
      CacheSelection choosing,
      TimeToLive keeping) {
    Random random = new Random(6);
    int[] keeps = new int[RESOLVERS];
    double[] expires = new double[RESOLVERS];
    double[] wakes = new double[RESOLVERS];
    for (int i = 0; i < RESOLVERS; i++) {
      keeps[i] = -1;
      wakes[i] = random.nextDouble() * 20;
    }
    List<Double> times = new ArrayList<>();
    List<Double> parts = new ArrayList<>();
    double worst = 0;
    double error = 0;
    int samples = 0;
    int unserved = 0;
    double whole = -1;
    for (double now = 0; now < DURATION; now += 0.1) {
      fleet.heard(now);
      if (Math.abs(now - REMOVED_AT) < 0.05) {
        fleet.gone(0, now);
      } else if (Math.abs(now - RESTARTED_AT) < 0.05) {
        fleet.back(0, now);
      }
      int[] load = new int[EDGES];
      for (int i = 0; i < RESOLVERS; i++) {
        if (keeps[i] >= 0 && expires[i] <= now) {
          keeps[i] = -1;
        }
        if (wakes[i] <= now) {
          keeps[i] = choosing.cache(now);
          double ttl = keeps[i] < 0 ? 0.2 : Math.max(0.1, keeping.seconds());
          expires[i] = now + ttl;
          wakes[i] = expires[i] + random.nextDouble();
          unserved += keeps[i] < 0 ? 1 : 0;
        }
        if (keeps[i] >= 0) {
          load[keeps[i]]++;
        }
      }
      if (now > 60 && now < REMOVED_AT - 1) {
        double all = Arrays.stream(load).sum();
        for (int i = 0; i < EDGES; i++) {
          error += Math.abs(load[i] / all - fleet.share(i));
        }
        samples += EDGES;
      }
      if (now >= RESTARTED_AT) {
        double part = load[0] / fleet.bound(0, now);
        times.add(Math.round((now - RESTARTED_AT) * 10) / 10.0);
        parts.add(part);
        worst = Math.max(worst, part);
        double fair = fleet.share(0) * Arrays.stream(load).sum();
        whole = whole < 0 && load[0] >= 0.9 * fair ? now - RESTARTED_AT : whole;
      }
    }
    chart.addSeries(name, times, parts).setMarker(SeriesMarkers.NONE);
    System.out.printf(
        "simulated, %s: at the worst %.2f of what pushes the cold cache over, nine tenths of its "
            + "share after %.0f s, %d questions turned away; mean error of a share in the calm %.4f%n",
        name, worst, whole, unserved, error / samples);
  }
}
