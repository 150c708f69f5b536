package tamarindroute.rig;

import java.nio.file.Path;
import java.util.List;
import tamarindroute.rig.check.Checkers;
import tamarindroute.rig.play.Play;
import tamarindroute.rig.schedule.Schedule;

/**
 * Plays schedules and says what of their expectations does not hold; also by hand, as docs/rig.md
 * tells.
 */
public final class Schedules {

  /** Under it each schedule leaves its journal and its processes' settings. */
  private static final Path PLAYED = Path.of("rig/target/played");

  private Schedules() {}

  static List<String> failures(Path file) throws Exception {
    Schedule schedule = Schedule.read(file);
    return Checkers.failures(
        schedule, Play.play(schedule, PLAYED.resolve(schedule.file.replace(".txt", ""))));
  }

  /** The schedules' files. */
  public static void main(String[] files) throws Exception {
    boolean all = true;
    for (String file : files) {
      long start = System.nanoTime();
      List<String> found = failures(Path.of(file));
      System.out.println(
          (found.isEmpty() ? "holds   " : "broken  ")
              + file
              + ", "
              + (System.nanoTime() - start) / 1_000_000_000
              + " s");
      found.forEach(System.out::println);
      all &= found.isEmpty();
    }
    System.exit(all ? 0 : 1);
  }
}
