package tamarindroute.rig.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.rig.check.Verdict.Breach;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.schedule.Schedule;

/** All checkers by their names in schedules. */
public final class Checkers {

  private static final int MAX_REPORTED_BREACHES = 5;
  private static final int EXCERPT_LINES = 20;

  private static final Map<String, Checker> BY_NAME =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry("requests-answered", new RequestsAnsweredChecker()),
              Map.entry("at-most-once", new AtMostOnceChecker()),
              Map.entry("drains-respected", new DrainsRespectedChecker()),
              Map.entry("slow-start-respected", new SlowStartChecker()),
              Map.entry("no-false-faulty", new NoFalseFaultyChecker()),
              Map.entry("crashes-detected", new CrashesDetectedChecker()),
              Map.entry("isolation-reported", new IsolationReportedChecker()),
              Map.entry("incarnations-ordered", new IncarnationsOrderedChecker()),
              Map.entry("membership-converges", new MembershipConvergesChecker()),
              Map.entry("no-flapping", new NoFlappingChecker()),
              Map.entry("no-unexpected-exit", new NoUnexpectedExitChecker()),
              Map.entry("logs", new LogTextChecker(true)),
              Map.entry("does-not-log", new LogTextChecker(false))));

  private Checkers() {}

  /** The names of all checkers, sorted. */
  static List<String> names() {
    return List.copyOf(BY_NAME.keySet());
  }

  static Verdict check(String name, List<JournalEntry> journal, List<String> arguments) {
    Checker checker = BY_NAME.get(name);
    if (checker == null) {
      throw new IllegalArgumentException(
          "there is no checker " + name + " among " + BY_NAME.keySet());
    }
    return checker.check(journal, arguments);
  }

  /** A description of each expectation of a schedule that does not hold. */
  public static List<String> failures(Schedule schedule, List<JournalEntry> journal) {
    List<String> failures = new ArrayList<>();
    for (Schedule.Expectation expectation : schedule.expectations()) {
      Verdict verdict = check(expectation.checker(), journal, expectation.arguments());
      problem(expectation, verdict, journal)
          .ifPresent(
              problem -> failures.add(location(schedule, expectation, verdict) + ": " + problem));
    }
    return failures;
  }

  private static String location(
      Schedule schedule, Schedule.Expectation expectation, Verdict verdict) {
    return "%s:%d: %s (seed %d, %d judged)"
        .formatted(
            schedule.file(),
            expectation.line(),
            expectation.checker(),
            schedule.seed(),
            verdict.judged());
  }

  private static Optional<String> problem(
      Schedule.Expectation expectation, Verdict verdict, List<JournalEntry> journal) {
    boolean broken = !verdict.breaches().isEmpty();
    if (verdict.judged() == 0) {
      return Optional.of("there was nothing to judge");
    }
    if (expectation.breach() && !broken) {
      return Optional.of("the seeded defect was not found");
    }
    if (!expectation.breach() && broken) {
      return Optional.of(describe(verdict.breaches(), journal));
    }
    return Optional.empty();
  }

  private static String describe(List<Breach> breaches, List<JournalEntry> journal) {
    StringBuilder text = new StringBuilder(breaches.size() + " breaches\n");
    breaches.stream()
        .limit(MAX_REPORTED_BREACHES)
        .forEach(
            breach ->
                text.append("  at ")
                    .append(breach.at().toMillis())
                    .append(" ms: ")
                    .append(breach.description())
                    .append('\n'));
    return text.append(Journal.excerpt(journal, breaches.get(0).at(), EXCERPT_LINES)).toString();
  }
}
