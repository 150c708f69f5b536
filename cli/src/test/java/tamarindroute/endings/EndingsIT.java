package tamarindroute.endings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A few plays with fixed seeds, in which every kind of fault is met: the program between scripted
 * clients, caches and a feed that end things badly, judged by the journal alone. Many more seeds:
 * see Runner.
 */
class EndingsIT {

  private static final long PLAY_MS = 2500;

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void everyEndPaysWhatItOwes(long seed) throws Exception {
    Journal journal = Play.play(seed, EnumSet.allOf(Fault.class), folder, PLAY_MS);
    List<Check.Breach> breaches = Judge.judge(journal);
    assertThat(breaches).as(() -> Judge.told(journal, breaches)).isEmpty();
    // A play in which little happens judges nothing.
    assertThat(journal.of(Journal.Kind.SENT)).hasSizeGreaterThan(50);
    assertThat(journal.of(Journal.Kind.ANSWERED)).hasSizeGreaterThan(30);
  }
}
