package tamarindroute.rig;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import tamarindroute.rig.check.Checkers;
import tamarindroute.rig.play.ScheduleExecution;
import tamarindroute.rig.schedule.Schedule;

/** Runs schedules and reports which of their expectations do not hold; also from the shell. */
public final class ScheduleRunner {

  /** Holds a folder for each schedule, with its journal and its processes' settings. */
  private static final Path OUTPUT = Path.of("rig/target/played");

  private ScheduleRunner() {}

  static List<String> failures(Path file) throws Exception {
    Schedule schedule = Schedule.read(file);
    Path folder = OUTPUT.resolve(schedule.file().replace(".txt", ""));
    return Checkers.failures(schedule, ScheduleExecution.execute(schedule, folder));
  }

  /** Runs the schedules in the named files; exits with 1 if one fails. */
  public static void main(String[] files) throws Exception {
    boolean allHold = true;
    for (String file : files) {
      long startNanos = System.nanoTime();
      List<String> failures = failures(Path.of(file));
      long seconds = Duration.ofNanos(System.nanoTime() - startNanos).toSeconds();
      String result = failures.isEmpty() ? "holds   " : "broken  ";
      System.out.println(result + file + ", " + seconds + " s");
      failures.forEach(System.out::println);
      allHold &= failures.isEmpty();
    }
    System.exit(allHold ? 0 : 1);
  }
}
