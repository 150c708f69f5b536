package tamarindroute.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The earliest end of any plan for a few caches, by trying all starts of all of them. */
final class BruteForce {
  private final PlanningInput input;
  private final List<String> caches;
  private final int length;
  private final int warm;
  private final int[] starts;

  /** What shortages in a bin, by which caches are in, out and cold there. */
  private final Map<Integer, List<NaiveChecker.Breach>> shortages = new HashMap<>();

  private int best = Integer.MAX_VALUE;

  BruteForce(PlanningInput input, List<String> caches, int length) {
    this.input = input;
    this.caches = caches;
    this.length = length;
    warm = input.binsCovering(input.rules().warmUp());
    starts = new int[caches.size()];
  }

  /** In bins; the largest integer when there is no plan. */
  int end() {
    place(0, 0);
    return best;
  }

  private void place(int next, int end) {
    if (next == caches.size()) {
      best = fits(0, input.binCount(), next) ? Math.min(best, end) : best;
      return;
    }
    for (int start = 0;
        start + length + warm <= input.binCount() && start + length < best;
        start++) {
      starts[next] = start;
      if (fits(start, start + length + warm, next + 1)) {
        place(next + 1, Math.max(end, start + length));
      }
    }
  }

  /**
   * A range without cover stays so, as does a cache without capacity, unless it is yet to be
   * placed: then its own load may still move elsewhere.
   */
  private boolean fits(int from, int to, int placed) {
    for (int bin = from; bin < to; bin++) {
      for (NaiveChecker.Breach shortage : shortages(bin, placed)) {
        boolean mayGoOutToo =
            shortage.kind() == Shortage.Kind.CAPACITY
                && caches.subList(placed, caches.size()).contains(shortage.subject());
        if (!mayGoOutToo) {
          return false;
        }
      }
    }
    return true;
  }

  private List<NaiveChecker.Breach> shortages(int bin, int placed) {
    int key = bin;
    for (int c = 0; c < caches.size(); c++) {
      int into = bin - starts[c];
      int state = c >= placed || into < 0 || into >= length + warm ? 0 : into < length ? 1 : 2;
      key = key * 3 + state;
    }
    List<NaiveChecker.Breach> known = shortages.get(key);
    if (known == null) {
      List<ScheduledOutage> windows = new ArrayList<>();
      for (int c = 0; c < placed; c++) {
        Duration start = input.timeOf(starts[c]);
        windows.add(
            new ScheduledOutage(
                caches.get(c), start, start.plus(input.binLength().multipliedBy(length))));
      }
      known = List.copyOf(NaiveChecker.breaches(input, windows, bin).keySet());
      shortages.put(key, known);
    }
    return known;
  }
}
