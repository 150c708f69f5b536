package tamarindroute.windows;

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

  /** What lacks in a bin, by which caches are in, out and cold there. */
  private final Map<Integer, List<String>> lacks = new HashMap<>();

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
   * Cover once gone is gone, and so is room of those placed; one that is yet to be placed may still
   * leave its load.
   */
  private boolean fits(int from, int to, int placed) {
    for (int bin = from; bin < to; bin++) {
      for (String lack : lacks(bin, placed)) {
        String cache = lack.startsWith("room ") ? lack.split(" ")[1] : "";
        if (!caches.subList(placed, caches.size()).contains(cache)) {
          return false;
        }
      }
    }
    return true;
  }

  private List<String> lacks(int bin, int placed) {
    int key = bin;
    for (int c = 0; c < caches.size(); c++) {
      int into = bin - starts[c];
      int standing = c >= placed || into < 0 || into >= length + warm ? 0 : into < length ? 1 : 2;
      key = key * 3 + standing;
    }
    List<String> known = lacks.get(key);
    if (known == null) {
      List<ScheduledOutage> windows = new ArrayList<>();
      for (int c = 0; c < placed; c++) {
        Duration start = input.timeOf(starts[c]);
        windows.add(
            new ScheduledOutage(
                caches.get(c), start, start.plus(input.binLength().multipliedBy(length))));
      }
      known = List.copyOf(NaiveChecker.breaches(input, windows, bin).keySet());
      lacks.put(key, known);
    }
    return known;
  }
}
