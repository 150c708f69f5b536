package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;

/**
 * Measures what reaches cold caches. A cache that N requests of mean size overload within the
 * window has to get less than N + 2 sqrt(N) + 2 of them in every window.
 */
final class ColdStartMeter {

  private final double meanTransferTime;
  private final Map<Long, Deque<Double>> arrivalsInWindow = new HashMap<>();
  private final Map<Long, Double> peakShares = new HashMap<>();

  ColdStartMeter(double meanTransferTime) {
    this.meanTransferTime = meanTransferTime;
  }

  /** Forgets the arrivals in current windows. */
  void clearWindows() {
    arrivalsInWindow.clear();
  }

  /**
   * Returns, by cache, the greatest share of the limit that arrived in a window; empty if nothing
   * arrived at a cold cache.
   */
  Map<Long, Double> peakShares() {
    return peakShares;
  }

  /** Counts an attempt or a fill at a cache, if that is cold. */
  void onArrival(Cache cache, double now) {
    if (cache.startedAt == null || cache.tier == Cache.Tier.ORIGIN) {
      return;
    }
    PolicySettings.ColdStart start =
        cache.tier == Cache.Tier.EDGE ? ColdStartFleet.EDGE_START : ColdStartFleet.PARENT_START;
    double startedAt = seconds(cache.startedAt);
    double warmAfter = seconds(start.warmAfter());
    if (now > startedAt + warmAfter) {
      return;
    }
    Deque<Double> arrivals =
        arrivalsInWindow.computeIfAbsent(cache.stableId, id -> new ArrayDeque<>());
    arrivals.add(now);
    while (arrivals.peek() <= Math.max(startedAt, now - ColdStartFleet.WINDOW)) {
      arrivals.remove();
    }
    double age = (Math.max(0, now - ColdStartFleet.WINDOW - startedAt) + now - startedAt) / 2;
    double initial = start.initialCapacity();
    double warmth = initial + (1 - initial) * age / warmAfter;
    double overload = overloadRequests(start, cache.weight, warmth);
    double limit = overload + 2 * Math.sqrt(overload) + 2;
    peakShares.merge(cache.stableId, arrivals.size() / limit, Math::max);
  }

  /** Returns the mean requests within the window that overload a cache. */
  private double overloadRequests(PolicySettings.ColdStart start, double weight, double warmth) {
    return start.overloadMultiple() * ColdStartFleet.WINDOW * weight / meanTransferTime * warmth;
  }
}
