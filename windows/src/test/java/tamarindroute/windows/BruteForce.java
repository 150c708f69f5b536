package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The earliest end of any plan for a few caches, by trying all starts of all of them. */
final class BruteForce {
    private final World world;
    private final List<String> caches;
    private final int length;
    private int best = Integer.MAX_VALUE;

    BruteForce(World world, List<String> caches, int length) {
        this.world = world;
        this.caches = caches;
        this.length = length;
    }

    /** In bins; the largest integer when there is no plan. */
    int end() {
        place(0, new ArrayList<>(), 0);
        return best;
    }

    private void place(int next, List<World.Held> placed, int end) {
        if (next == caches.size()) {
            best = Math.min(best, end);
            return;
        }
        int warm = world.span(world.rules().warmUp());
        for (int start = 0; start + length + warm <= world.bins() && start + length < best; start++) {
            Duration from = world.time(start);
            placed.add(new World.Held(caches.get(next), from, from.plus(world.bin().multipliedBy(length))));
            // More windows never mend what lacks: a bad part is a bad whole.
            if (NaiveChecker.harm(world, List.of(), placed).isEmpty()) {
                place(next + 1, placed, Math.max(end, start + length));
            }
            placed.remove(placed.size() - 1);
        }
    }
}
