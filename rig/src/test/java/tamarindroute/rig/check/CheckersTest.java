package tamarindroute.rig.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tamarindroute.rig.journal.Line;

/**
 * Each checker finds its breach in a small journal, and nothing in the same journal without it. The
 * first line of a file is what stands behind "expect". Lines after "!" stand in the broken journal
 * alone, lines after "+" in the sound one.
 */
class CheckersTest {

  private static final Path BREACHES = Path.of("rig/src/test/resources/breaches");

  private static Verdict verdict(List<String> file, String left, String kept) {
    List<Line> journal = new ArrayList<>();
    for (String line : file.subList(1, file.size())) {
      if (!line.startsWith(left) && !line.isBlank()) {
        journal.add(Line.parse(line.startsWith(kept) ? line.substring(1) : line));
      }
    }
    List<String> words = List.of(file.get(0).split(" "));
    return Checkers.check(words.get(0), journal, words.subList(1, words.size()));
  }

  @Test
  void eachCheckerFindsItsSeededDefectAndNoneWithoutIt() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(BREACHES)) {
      files = all.sorted().toList();
    }
    TreeSet<String> shown = new TreeSet<>();
    for (Path path : files) {
      List<String> file = Files.readAllLines(path);
      Verdict broken = verdict(file, "+", "!");
      Verdict sound = verdict(file, "!", "+");
      assertThat(broken.violations).as(path + ", broken").isNotEmpty();
      assertThat(sound.violations).as(path + ", sound").isEmpty();
      assertThat(sound.judged).as(path + ", sound").isPositive();
      shown.add(file.get(0).split(" ")[0]);
    }
    assertThat(shown).containsExactlyElementsOf(Checkers.names());
  }
}
