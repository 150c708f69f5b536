package tamarindroute.rig.check;

import java.time.Duration;
import java.util.List;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.schedule.ScheduleTime;

/**
 * logs PROCESS from TIME to TIME TEXT: a process prints a line with this text in that time of the
 * run; does-not-log: it prints none.
 */
final class LogTextChecker implements Checker {

  private static final int PROCESS = 0;
  private static final int FROM = 2;
  private static final int TO = 4;
  private static final int TEXT = 5;

  private final boolean wanted;

  LogTextChecker(boolean wanted) {
    this.wanted = wanted;
  }

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    String process = arguments.get(PROCESS);
    String text = String.join(" ", arguments.subList(TEXT, arguments.size()));
    Duration start = startOf(journal);
    Duration from = start.plus(ScheduleTime.parse(arguments.get(FROM)));
    Duration to = start.plus(ScheduleTime.parse(arguments.get(TO)));
    Verdict verdict = new Verdict();
    verdict.countJudged();
    List<JournalEntry> found =
        journal.stream()
            .filter(entry -> entry.isFrom(process) && entry.text().contains(text))
            .filter(entry -> entry.at().compareTo(from) >= 0 && entry.at().compareTo(to) <= 0)
            .toList();
    if (wanted && found.isEmpty()) {
      verdict.addBreach(to, process + " has not printed in its time: " + text);
    }
    if (!wanted) {
      found.forEach(entry -> verdict.addBreach(entry.at(), entry.toString()));
    }
    return verdict;
  }

  private static Duration startOf(List<JournalEntry> journal) {
    return journal.stream()
        .filter(entry -> entry.text().equals(Journal.RUN_BEGINS))
        .findFirst()
        .map(JournalEntry::at)
        .orElseThrow(() -> new IllegalArgumentException("no entry: " + Journal.RUN_BEGINS));
  }
}
