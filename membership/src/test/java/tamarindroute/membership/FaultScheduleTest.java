package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays every schedule with two seeds each. */
class FaultScheduleTest {

  static List<String> schedules() throws IOException {
    return FaultSchedule.names();
  }

  @ParameterizedTest
  @MethodSource("schedules")
  void scheduleHolds(String name) {
    for (long seed : List.of(1L, 2L)) {
      FaultSchedule.Outcome outcome = new FaultSchedule(name).play(seed, system -> system);
      assertThat(outcome.unmet()).as("%s, seed %d", name, seed).isEmpty();
      assertThat(outcome.checker().violations).as("%s, seed %d", name, seed).isEmpty();
    }
  }
}
