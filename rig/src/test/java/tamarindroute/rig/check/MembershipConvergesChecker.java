package tamarindroute.rig.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tamarindroute.rig.check.MemberLog.StateReport;
import tamarindroute.rig.journal.JournalEntry;

/**
 * membership-converges: in the end each running member's last reports name all that run as members,
 * in their last incarnations, and no others.
 */
final class MembershipConvergesChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    return new Run(journal).verdict();
  }

  private static final class Run {
    private final Verdict verdict = new Verdict();
    private final ProcessTimeline timeline;
    private final MemberLog log;
    private final Map<String, StateReport> lastByPair = new HashMap<>();

    Run(List<JournalEntry> journal) {
      timeline = new ProcessTimeline(journal);
      log = new MemberLog(journal);
      log.reports().forEach(this::add);
      Set<String> processes = new Reachability(journal).processes();
      for (String reporter : processes) {
        if (!timeline.downAtEnd(reporter)) {
          processes.stream()
              .filter(subject -> !subject.equals(reporter))
              .forEach(subject -> checkPair(reporter, subject));
        }
      }
    }

    Verdict verdict() {
      return verdict;
    }

    /** A late report on an earlier incarnation changes nothing, unless the reporter restarted. */
    private void add(StateReport report) {
      StateReport before = lastByPair.get(report.pair());
      if (before == null
          || report.incarnation() >= before.incarnation()
          || timeline.downWithin(report.reporter(), before.at(), report.at())) {
        lastByPair.put(report.pair(), report);
      }
    }

    private void checkPair(String reporter, String subject) {
      verdict.countJudged();
      StateReport last = lastByPair.get(reporter + " " + subject);
      boolean member =
          last != null && last.isMember() && last.incarnation() == log.lastIncarnation(subject);
      boolean running = !timeline.downAtEnd(subject);
      if (running != member) {
        verdict.addBreach(
            timeline.end(),
            "%s in the end has %s as %s, which %s"
                .formatted(
                    reporter,
                    subject,
                    member ? "a member" : "no member",
                    running ? "runs" : "does not run"));
      }
    }
  }
}
