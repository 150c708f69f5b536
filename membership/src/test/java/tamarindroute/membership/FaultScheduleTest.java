package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every schedule, with two seeds each. */
class FaultScheduleTest {

  static Stream<String> schedules() throws java.io.IOException {
    try (Stream<Path> files = Files.list(Path.of("membership/src/test/resources/schedules"))) {
      return files
          .map(file -> file.getFileName().toString().replace(".txt", ""))
          .sorted()
          .toList()
          .stream();
    }
  }

  @ParameterizedTest
  @MethodSource("schedules")
  void scheduleHolds(String name) {
    for (long seed : List.of(1L, 2L)) {
      FaultSchedule.Outcome outcome = new FaultSchedule(name).play(seed, machine -> machine);
      assertThat(outcome.unmet()).as("%s, seed %d", name, seed).isEmpty();
      assertThat(outcome.checker().violations).as("%s, seed %d", name, seed).isEmpty();
    }
  }
}
