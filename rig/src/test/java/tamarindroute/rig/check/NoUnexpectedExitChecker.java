package tamarindroute.rig.check;

import java.util.List;
import java.util.Optional;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.journal.ProcessEvent;

/** no-unexpected-exit: no process ends unless the rig ended it. */
final class NoUnexpectedExitChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    Verdict verdict = new Verdict();
    journal.stream()
        .map(ProcessEvent::parse)
        .flatMap(Optional::stream)
        .forEach(event -> add(event, verdict));
    return verdict;
  }

  private static void add(ProcessEvent event, Verdict verdict) {
    verdict.countJudged();
    if (event.kind() == ProcessEvent.Kind.EXITED && event.entry().has("expected", "false")) {
      verdict.addBreach(event.at(), event.entry().text());
    }
  }
}
