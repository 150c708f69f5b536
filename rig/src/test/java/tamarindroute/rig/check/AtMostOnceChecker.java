package tamarindroute.rig.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.rig.journal.JournalEntry;

/**
 * at-most-once: a non-idempotent request is executed once at most, by all caches together, and is
 * not attempted again once it may have been.
 */
final class AtMostOnceChecker implements Checker {

  /** The request class of non-idempotent requests. */
  private static final String NON_IDEMPOTENT = "once";

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    Verdict verdict = new Verdict();
    Map<String, JournalEntry> executed = new HashMap<>();
    for (JournalEntry entry : journal) {
      if (!entry.text().startsWith("ASK ") || !entry.has("lane", NON_IDEMPOTENT)) {
        continue;
      }
      verdict.countJudged();
      String request = entry.require("rid");
      JournalEntry before = executed.get(request);
      if (before != null) {
        verdict.addBreach(
            entry.at(),
            "sent to %s though %s may have executed it: %s"
                .formatted(entry.source(), before.source(), entry.text()));
      }
      if (entry.has("executed", "true")) {
        executed.put(request, entry);
      }
    }
    return verdict;
  }
}
