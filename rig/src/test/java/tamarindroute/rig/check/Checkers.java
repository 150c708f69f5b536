package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tamarindroute.rig.check.Verdict.Breach;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.Line;
import tamarindroute.rig.schedule.Schedule;

/** All checkers by the names that schedules call them by. */
public final class Checkers {

  /** Breaches that are told of one checker, and lines around the first. */
  private static final int TOLD = 5;

  private static final int AROUND = 20;

  private static final Map<String, Checker> ALL =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry("views-kept", GatewayChecks::viewsKept),
              Map.entry("effects-once", GatewayChecks::effectsOnce),
              Map.entry("drains-kept", GatewayChecks::drainsKept),
              Map.entry("cold-share-kept", GatewayChecks::coldShareKept),
              Map.entry("no-false-away", MemberChecks::noFalseAway),
              Map.entry("killed-known", MemberChecks::killedKnown),
              Map.entry("cut-off-told", MemberChecks::cutOffTold),
              Map.entry("lives-in-order", MemberChecks::livesInOrder),
              Map.entry("all-agree", MemberChecks::allAgree),
              Map.entry("no-flapping", MemberChecks::noFlapping),
              Map.entry("none-ends", ProcessChecks::noneEnds),
              Map.entry("says", ProcessChecks::says),
              Map.entry("silent", ProcessChecks::silent)));

  private Checkers() {}

  public static List<String> names() {
    return List.copyOf(ALL.keySet());
  }

  public static Verdict check(String name, List<Line> journal, List<String> words) {
    Checker checker = ALL.get(name);
    if (checker == null) {
      throw new IllegalArgumentException("there is no checker " + name + " among " + ALL.keySet());
    }
    return checker.check(journal, words);
  }

  /**
   * What of a schedule's expectations does not hold, each with its seed and the lines around; empty
   * if all hold.
   */
  public static List<String> failures(Schedule schedule, List<Line> journal) {
    List<String> failures = new ArrayList<>();
    for (Schedule.Expectation expected : schedule.expectations) {
      Verdict verdict = check(expected.name(), journal, expected.words());
      String where =
          schedule.file
              + ":"
              + expected.line()
              + ": "
              + expected.name()
              + " (seed "
              + schedule.seed
              + ", "
              + verdict.judged
              + " judged)";
      if (verdict.judged == 0) {
        failures.add(where + ": nothing was there to judge");
      } else if (expected.breach() && verdict.violations.isEmpty()) {
        failures.add(where + ": the seeded defect was not found");
      } else if (!expected.breach() && !verdict.violations.isEmpty()) {
        failures.add(where + ": " + told(verdict.violations, journal));
      }
    }
    return failures;
  }

  private static String told(List<Breach> violations, List<Line> journal) {
    StringBuilder text = new StringBuilder(violations.size() + " breaches\n");
    violations.stream()
        .limit(TOLD)
        .forEach(
            breach ->
                text.append("  at ")
                    .append(breach.at().toMillis())
                    .append(" ms: ")
                    .append(breach.what())
                    .append('\n'));
    return text.append(Journal.excerpt(journal, violations.get(0).at(), AROUND)).toString();
  }

  /** 1.5s or 200ms. */
  static Duration time(String word) {
    boolean millis = word.endsWith("ms");
    double value = Double.parseDouble(word.substring(0, word.length() - (millis ? 2 : 1)));
    return Duration.ofNanos(Math.round(value * (millis ? 1e6 : 1e9)));
  }
}
