package tamarindroute.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.Timeout;

/** Plays every schedule there is. */
class PlayIT {

    private static final Path SCHEDULES = Path.of("rig/src/test/resources/schedules");

    @TestFactory
    @Timeout(120)
    Stream<DynamicTest> eachScheduleIsPlayedAndItsExpectationsHold() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(SCHEDULES)) {
            files = all.filter(file -> file.toString().endsWith(".txt")).sorted().toList();
        }
        assertThat(files).isNotEmpty();
        return files.stream().map(file -> DynamicTest.dynamicTest(file.getFileName().toString(),
                () -> assertThat(Schedules.failures(file)).isEmpty()));
    }
}
