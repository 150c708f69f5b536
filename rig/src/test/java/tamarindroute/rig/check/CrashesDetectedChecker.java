package tamarindroute.rig.check;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.rig.check.MemberLog.StateReport;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.journal.ProcessEvent;
import tamarindroute.rig.schedule.ScheduleTime;

/**
 * crashes-detected BOUND: each member that stays with the majority reports within the bound that an
 * incarnation has ended, as faulty, as left, or by a later incarnation.
 */
final class CrashesDetectedChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    return new Run(journal, ScheduleTime.parse(arguments.get(0))).verdict();
  }

  private static final class Run {
    private final Verdict verdict = new Verdict();
    private final Duration bound;
    private final Reachability reachability;
    private final ProcessTimeline timeline;
    private final MemberLog log;
    private final Map<String, Integer> starts = new HashMap<>();

    Run(List<JournalEntry> journal, Duration bound) {
      this.bound = bound;
      reachability = new Reachability(journal);
      timeline = new ProcessTimeline(journal);
      log = new MemberLog(journal);
      journal.forEach(entry -> ProcessEvent.parse(entry).ifPresent(this::add));
    }

    Verdict verdict() {
      return verdict;
    }

    private void add(ProcessEvent event) {
      switch (event.kind()) {
        case STARTED -> starts.merge(event.process(), 1, Integer::sum);
        case KILLED, TERMINATED -> onEnd(event);
        case PAUSED, RESUMED, THROTTLED, UNTHROTTLED, EXITED -> {
          // No incarnation ends by these.
        }
      }
    }

    private void onEnd(ProcessEvent event) {
      Duration latest = event.at().plus(bound);
      for (String other : reachability.processes()) {
        if (other.equals(event.process()) || !canDetect(other, event.at(), latest)) {
          continue;
        }
        verdict.countJudged();
        if (!hasDetected(other, event, latest)) {
          verdict.addBreach(
              latest,
              "%s has not reported after %d ms that %s has ended"
                  .formatted(other, bound.toMillis(), event.process()));
        }
      }
    }

    private boolean canDetect(String process, Duration from, Duration to) {
      return to.compareTo(timeline.end()) <= 0
          && !timeline.downWithin(process, from, to)
          && timeline.pausedWithin(process, from, to).isZero()
          && reachability.withMajority(process, from, to);
    }

    private boolean hasDetected(String reporter, ProcessEvent event, Duration latest) {
      int incarnation = starts.get(event.process());
      return log.reports().stream()
          .filter(report -> report.reporter().equals(reporter))
          .filter(report -> report.subject().equals(event.process()))
          .filter(report -> report.at().compareTo(event.at()) >= 0)
          .filter(report -> report.at().compareTo(latest) <= 0)
          .anyMatch(report -> endsIncarnation(report, incarnation));
    }

    private static boolean endsIncarnation(StateReport report, int incarnation) {
      return report.incarnation() > incarnation
          || (report.incarnation() == incarnation && report.isGone());
    }
  }
}
