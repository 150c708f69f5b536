package tamarindroute.endings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Watches how long this machine lets the test and the program wait for a turn, by the system's own
 * account of waiting threads, so that a busy machine is told from a slow program. It must never
 * count time in which the program ran.
 */
final class HoldUps {

  private static final long EVERY_MS = 50;

  /** What adds up within this counts as one. */
  private static final long WITHIN = 300 * Journal.MS;

  private static final double WORTH_A_LINE_MS = 20;

  private final World world;
  private final Path tasks;
  private final Map<String, ArrayDeque<Look>> waited = new HashMap<>();

  private record Look(long at, long waited) {}

  HoldUps(World world, long pid) {
    this.world = world;
    this.tasks = Path.of("/proc/" + pid + "/task");
  }

  void watch() {
    while (!world.over) {
      long before = System.nanoTime();
      World.sleep(EVERY_MS);
      double worst = (System.nanoTime() - before) / 1e6 - EVERY_MS;
      worst = Math.max(worst, ofProgram());
      if (worst > WORTH_A_LINE_MS) {
        world.journal.add(
            Journal.Kind.STALL, "", "machine", "ms", String.format(Locale.ROOT, "%.0f", worst));
      }
    }
  }

  /** The longest that one of the program's threads waited lately. */
  private double ofProgram() {
    double worst = 0;
    try (Stream<Path> threads = Files.list(tasks)) {
      for (Path thread : (Iterable<Path>) threads::iterator) {
        Look now =
            new Look(
                System.nanoTime(),
                Long.parseLong(Files.readString(thread.resolve("schedstat")).split("\\s+")[1]));
        ArrayDeque<Look> looks = waited.computeIfAbsent(thread.toString(), t -> new ArrayDeque<>());
        looks.add(now);
        while (now.at - looks.peek().at > WITHIN) {
          looks.poll();
        }
        worst = Math.max(worst, (now.waited - looks.peek().waited) / 1e6);
      }
    } catch (IOException | RuntimeException e) {
      // A thread ended, or the system keeps no such account: then nothing more is allowed for.
    }
    return worst;
  }
}
