package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;

/**
 * Measures the requests that reach cold caches. A cache that N requests of mean size overload
 * within the window has to get less than N + 2 sqrt(N) + 2 requests in every window. The excess
 * over N allows for random scatter.
 */
final class ColdStartMeter {

  private final double meanTransferTime;
  private final Map<Long, Deque<Double>> arrivalTimesInWindow = new HashMap<>();
  private final Map<Long, Double> peakShares = new HashMap<>();

  ColdStartMeter(double meanTransferTime) {
    this.meanTransferTime = meanTransferTime;
  }

  /** Clears the arrivals of the current windows. */
  void clearWindows() {
    arrivalTimesInWindow.clear();
  }

  /**
   * Returns the highest number of arrivals in a window by {@link Cache#stableId}, as a share of the
   * limit; empty if nothing arrived at a cold cache.
   */
  Map<Long, Double> peakShares() {
    return peakShares;
  }

  /** Counts an attempt or a fill at a cache if the cache is cold. */
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
        arrivalTimesInWindow.computeIfAbsent(cache.stableId, id -> new ArrayDeque<>());
    arrivals.add(now);
    while (arrivals.peek() <= Math.max(startedAt, now - ColdStartFleet.WINDOW_SECONDS)) {
      arrivals.remove();
    }
    double age =
        (Math.max(0, now - ColdStartFleet.WINDOW_SECONDS - startedAt) + now - startedAt) / 2;
    double initial = start.initialCapacity();
    double warmth = initial + (1 - initial) * age / warmAfter;
    double overload = overloadRequests(start, cache.weight, warmth);
    double limit = overload + 2 * Math.sqrt(overload) + 2;
    peakShares.merge(cache.stableId, arrivals.size() / limit, Math::max);
  }

  /** Returns the number of requests of mean size that overload a cache within the window. */
  private double overloadRequests(PolicySettings.ColdStart start, double weight, double warmth) {
    return start.overloadMultiple()
        * ColdStartFleet.WINDOW_SECONDS
        * weight
        / meanTransferTime
        * warmth;
  }
}
