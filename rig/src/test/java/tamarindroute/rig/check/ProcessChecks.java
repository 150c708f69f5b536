package tamarindroute.rig.check;

import java.time.Duration;
import java.util.List;
import tamarindroute.rig.journal.Line;

/** What is asked of any process, whatever it is. */
final class ProcessChecks {

  private ProcessChecks() {}

  /** No process ends unless the rig ended it. */
  static Verdict noneEnds(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    for (Line line : journal) {
      if (line.by("rig") && line.text().startsWith("process ")) {
        verdict.judged++;
        if (line.text().contains(" ended ") && line.text().endsWith("meant=false")) {
          verdict.breach(line.at(), line.text());
        }
      }
    }
    return verdict;
  }

  /** says 2 from 1s to 3s TEXT: process 2 prints a line with this text in that time of the play. */
  static Verdict says(List<Line> journal, List<String> words) {
    return judge(journal, words, true);
  }

  /** silent 2 from 1s to 3s TEXT: it prints none such. */
  static Verdict silent(List<Line> journal, List<String> words) {
    return judge(journal, words, false);
  }

  private static Verdict judge(List<Line> journal, List<String> words, boolean wanted) {
    Duration start =
        journal.stream()
            .filter(line -> line.text().equals("the play begins"))
            .findFirst()
            .map(Line::at)
            .orElseThrow();
    Duration from = start.plus(Checkers.time(words.get(2)));
    Duration to = start.plus(Checkers.time(words.get(4)));
    String text = String.join(" ", words.subList(5, words.size()));
    Verdict verdict = new Verdict();
    verdict.judged = 1;
    List<Line> found =
        journal.stream()
            .filter(
                line ->
                    line.by(words.get(0))
                        && line.text().contains(text)
                        && line.at().compareTo(from) >= 0
                        && line.at().compareTo(to) <= 0)
            .toList();
    if (wanted && found.isEmpty()) {
      verdict.breach(to, words.get(0) + " has not said in its time: " + text);
    }
    if (!wanted) {
      found.forEach(line -> verdict.breach(line.at(), line.toString()));
    }
    return verdict;
  }
}
