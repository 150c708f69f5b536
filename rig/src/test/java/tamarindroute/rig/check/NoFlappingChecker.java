package tamarindroute.rig.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.rig.check.MemberLog.StateReport;
import tamarindroute.rig.journal.JournalEntry;

/** no-flapping MOST: no member reports the same incarnation as faulty more often than so. */
final class NoFlappingChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    int most = Integer.parseInt(arguments.get(0));
    Verdict verdict = new Verdict();
    Map<String, Integer> counts = new HashMap<>();
    for (StateReport report : new MemberLog(journal).reports()) {
      verdict.countJudged();
      if (report.isFaulty()) {
        String key = report.pair() + " " + report.incarnation();
        if (counts.merge(key, 1, Integer::sum) > most) {
          verdict.addBreach(
              report.at(),
              report.reporter() + " reports " + report.subject() + " as faulty once more");
        }
      }
    }
    return verdict;
  }
}
