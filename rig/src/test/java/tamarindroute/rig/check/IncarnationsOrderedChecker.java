package tamarindroute.rig.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.rig.check.MemberLog.StateReport;
import tamarindroute.rig.journal.JournalEntry;

/** incarnations-ordered: no member reports an earlier incarnation as a member after a later one. */
final class IncarnationsOrderedChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    Verdict verdict = new Verdict();
    Map<String, Integer> latestByPair = new HashMap<>();
    for (StateReport report : new MemberLog(journal).reports()) {
      if (!report.isMember()) {
        continue;
      }
      verdict.countJudged();
      int latest = latestByPair.merge(report.pair(), report.incarnation(), Math::max);
      if (report.incarnation() < latest) {
        verdict.addBreach(
            report.at(),
            "%s reports incarnation %d of %s as %s after incarnation %d"
                .formatted(
                    report.reporter(),
                    report.incarnation(),
                    report.subject(),
                    report.state(),
                    latest));
      }
    }
    return verdict;
  }
}
