package tamarindroute.rig.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tamarindroute.rig.journal.JournalEntry;

/**
 * Each checker finds its breach in a small journal, and nothing in the same journal without it. The
 * first line of a file is what follows "expect". Lines after "!" are in the broken journal only,
 * lines after "+" in the sound one.
 */
class CheckersTest {

  private static final Path BREACHES = Path.of("rig/src/test/resources/breaches");
  private static final String BROKEN_ONLY = "!";
  private static final String SOUND_ONLY = "+";

  private static List<String> expectation(List<String> file) {
    return Arrays.asList(file.get(0).split(" ", -1));
  }

  private static Verdict verdict(List<String> file, String excluded, String included) {
    List<JournalEntry> journal = new ArrayList<>();
    for (String line : file.subList(1, file.size())) {
      if (!line.startsWith(excluded) && !line.isBlank()) {
        journal.add(JournalEntry.parse(line.startsWith(included) ? line.substring(1) : line));
      }
    }
    List<String> words = expectation(file);
    return Checkers.check(words.get(0), journal, words.subList(1, words.size()));
  }

  @Test
  void eachCheckerFindsItsSeededDefectAndNoneWithoutIt() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(BREACHES)) {
      files = all.sorted().toList();
    }
    TreeSet<String> tested = new TreeSet<>();
    for (Path path : files) {
      List<String> file = Files.readAllLines(path);
      Verdict broken = verdict(file, SOUND_ONLY, BROKEN_ONLY);
      Verdict sound = verdict(file, BROKEN_ONLY, SOUND_ONLY);
      assertThat(broken.breaches()).as(path + ", broken").isNotEmpty();
      assertThat(sound.breaches()).as(path + ", sound").isEmpty();
      assertThat(sound.judged()).as(path + ", sound").isPositive();
      tested.add(expectation(file).get(0));
    }
    assertThat(tested).containsExactlyElementsOf(Checkers.names());
  }
}
