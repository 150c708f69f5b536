package tamarindroute.endings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A few plays with fixed seeds, in which every kind of fault is met: the program between scripted clients, caches and a
 * feed that end things badly, judged by the journal alone. Many more seeds: see Runner.
 */
class EndingsIT {

    /** Faults that the program does not bear yet. */
    static final Set<Fault> NOT_YET_ON = EnumSet.noneOf(Fault.class);
    /** Checks that the program does not pass yet. */
    static final Set<Class<? extends Check>> NOT_YET_JUDGED = Set.of();

    private static final long PLAY_MS = 2500;

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void everyEndPaysWhatItOwes(long seed) throws Exception {
        Set<Fault> faults = EnumSet.allOf(Fault.class);
        faults.removeAll(NOT_YET_ON);
        Journal journal = Play.play(seed, faults, folder, PLAY_MS);
        List<Check.Breach> breaches = Judge.judge(journal).stream().filter(b -> NOT_YET_JUDGED.stream()
                .noneMatch(c -> c.getSimpleName().equals(b.check()))).toList();
        assertThat(breaches).as(() -> Judge.told(journal, breaches)).isEmpty();
        // A play in which little happens judges nothing.
        assertThat(journal.of(Journal.Kind.SENT)).hasSizeGreaterThan(50);
        assertThat(journal.of(Journal.Kind.ANSWERED)).hasSizeGreaterThan(30);
    }
}
