package tamarindroute.rig.check;

import java.time.Duration;
import java.util.List;
import tamarindroute.rig.check.MemberLog.StateReport;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.schedule.ScheduleTime;

/**
 * no-false-faulty LAG [tolerating PAUSE]: no member reports another as faulty that it could reach
 * during the whole time LAG before, also over others, and that was not paused for longer than is
 * tolerated. LAG is the longest that an update may take to spread, pauses and the rig's lateness
 * included.
 */
final class NoFalseFaultyChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    Duration lag = ScheduleTime.parse(arguments.get(0));
    Duration tolerated =
        arguments.size() > 2 ? ScheduleTime.parse(arguments.get(2)) : Duration.ZERO;
    Verdict verdict = new Verdict();
    Reachability reachability = new Reachability(journal);
    ProcessTimeline timeline = new ProcessTimeline(journal);
    MemberLog log = new MemberLog(journal);
    for (StateReport report : log.reports()) {
      verdict.countJudged();
      if (!report.isFaulty() || isOutdated(report, log, timeline)) {
        continue;
      }
      Duration to = report.at();
      Duration from = to.compareTo(lag) > 0 ? to.minus(lag) : Duration.ZERO;
      boolean paused =
          timeline.pausedWithin(report.subject(), from, to).compareTo(tolerated) > 0
              || timeline.pausedWithin(report.reporter(), from, to).compareTo(tolerated) > 0;
      boolean down = timeline.downWithin(report.subject(), from, to);
      if (!paused
          && !down
          && reachability.connected(report.reporter(), report.subject(), from, to)) {
        verdict.addBreach(
            to,
            "%s reports %s as faulty, which it could reach all the time"
                .formatted(report.reporter(), report.subject()));
      }
    }
    return verdict;
  }

  /** A report on an earlier incarnation, which has ended. */
  private static boolean isOutdated(StateReport report, MemberLog log, ProcessTimeline timeline) {
    return report.incarnation() < log.lastIncarnation(report.subject())
        && timeline.downWithin(report.subject(), Duration.ZERO, report.at());
  }
}
