package tamarindroute.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the earliest end of all plans for a few caches, by trying all combinations of their starts.
 * The result is the optimum with which plans of the planner are compared.
 */
final class BruteForce {
  private final PlanningInput input;
  private final List<String> caches;
  private final int length;
  private final int warmUp;
  private final int[] starts;

  /** Cached shortages, by bin and by which caches are in service, out of service and cold in it. */
  private final Map<Integer, List<NaiveChecker.Breach>> shortages = new HashMap<>();

  private int earliestEnd = Integer.MAX_VALUE;

  BruteForce(PlanningInput input, List<String> caches, int length) {
    this.input = input;
    this.caches = caches;
    this.length = length;
    warmUp = input.binsCovering(input.rules().warmUp());
    starts = new int[caches.size()];
  }

  /** Returns the earliest end in bins, or {@link Integer#MAX_VALUE} if there is no plan. */
  int earliestEnd() {
    place(0, 0);
    return earliestEnd;
  }

  private void place(int next, int end) {
    if (next == caches.size()) {
      earliestEnd = fits(0, input.binCount(), next) ? Math.min(earliestEnd, end) : earliestEnd;
      return;
    }
    for (int start = 0;
        start + length + warmUp <= input.binCount() && start + length < earliestEnd;
        start++) {
      starts[next] = start;
      if (fits(start, start + length + warmUp, next + 1)) {
        place(next + 1, Math.max(end, start + length));
      }
    }
  }

  /**
   * Whether the placed caches cause no shortage that later placements can't remove. A key range
   * without coverage stays uncovered. A cache without capacity stays overloaded, unless it is still
   * to be placed: its load may then move to other caches.
   */
  private boolean fits(int from, int to, int placed) {
    for (int bin = from; bin < to; bin++) {
      for (NaiveChecker.Breach shortage : shortages(bin, placed)) {
        boolean mayBePlacedLater =
            shortage.kind() == Shortage.Kind.CAPACITY
                && caches.subList(placed, caches.size()).contains(shortage.subject());
        if (!mayBePlacedLater) {
          return false;
        }
      }
    }
    return true;
  }

  private List<NaiveChecker.Breach> shortages(int bin, int placed) {
    int key = bin;
    for (int cache = 0; cache < caches.size(); cache++) {
      int offset = bin - starts[cache];
      boolean unaffected = cache >= placed || offset < 0 || offset >= length + warmUp;
      int state = unaffected ? 0 : offset < length ? 1 : 2;
      key = key * 3 + state;
    }
    List<NaiveChecker.Breach> cached = shortages.get(key);
    if (cached == null) {
      List<ScheduledOutage> outages = new ArrayList<>();
      for (int cache = 0; cache < placed; cache++) {
        Duration start = input.timeOf(starts[cache]);
        outages.add(
            new ScheduledOutage(
                caches.get(cache), start, start.plus(input.binLength().multipliedBy(length))));
      }
      cached = List.copyOf(NaiveChecker.breaches(input, outages, bin).keySet());
      shortages.put(key, cached);
    }
    return cached;
  }
}
