package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs each fault schedule with two seeds. Guards against false failure reports, missed failures
 * and failed recovery in the situations that the schedules describe.
 */
class FaultScheduleTest {

  static List<String> schedules() throws IOException {
    return FaultSchedule.names();
  }

  @ParameterizedTest
  @MethodSource("schedules")
  void scheduleHolds(String name) {
    for (long seed : List.of(1L, 2L)) {
      FaultSchedule.Outcome outcome = new FaultSchedule(name).run(seed, system -> system);
      assertThat(outcome.unmetExpectations()).as("%s, seed %d", name, seed).isEmpty();
      assertThat(outcome.checker().violations).as("%s, seed %d", name, seed).isEmpty();
    }
  }
}
