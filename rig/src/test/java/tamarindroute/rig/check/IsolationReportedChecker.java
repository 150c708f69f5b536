package tamarindroute.rig.check;

import java.time.Duration;
import java.util.List;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.schedule.ScheduleTime;

/**
 * isolation-reported BOUND: a member that receives from nobody, or that nobody receives from,
 * reports within the bound that it is isolated.
 */
final class IsolationReportedChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    Duration bound = ScheduleTime.parse(arguments.get(0));
    Verdict verdict = new Verdict();
    Reachability reachability = new Reachability(journal);
    MemberLog log = new MemberLog(journal);
    for (String process : reachability.processes()) {
      boolean before = false;
      for (Duration at : reachability.changes()) {
        boolean isolated = reachability.isolated(process, at, at);
        Duration latest = at.plus(bound);
        if (isolated && !before && reachability.isolated(process, at, latest)) {
          verdict.countJudged();
          if (!hasReported(log, process, at, latest)) {
            verdict.addBreach(
                latest,
                process
                    + " has not reported after "
                    + bound.toMillis()
                    + " ms that it is isolated");
          }
        }
        before = isolated;
      }
    }
    return verdict;
  }

  private static boolean hasReported(
      MemberLog log, String process, Duration from, Duration latest) {
    return log.connectivity().stream()
        .filter(MemberLog.ConnectivityReport::isIsolated)
        .filter(report -> report.reporter().equals(process))
        .anyMatch(report -> report.at().compareTo(from) >= 0 && report.at().compareTo(latest) <= 0);
  }
}
