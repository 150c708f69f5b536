package tamarindroute.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.faultinjection.InvariantCheck.Violation;

/**
 * A few scenarios with fixed seeds in which all kinds of faults are active. {@link SeedRunner} runs
 * more seeds.
 */
class FaultInjectionIT {

  private static final long RUN_MS = 2500;

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void invariantsHoldUnderInjectedFaults(long seed) throws Exception {
    Journal journal = ScenarioRun.execute(seed, EnumSet.allOf(Fault.class), folder, RUN_MS);
    List<Violation> violations = InvariantChecks.violations(journal);
    assertThat(violations).as(() -> InvariantChecks.describe(journal, violations)).isEmpty();
    // Where little happens, the checks prove little.
    assertThat(journal.eventsOf(EventKind.REQUEST_SENT)).hasSizeGreaterThan(50);
    assertThat(journal.eventsOf(EventKind.RESPONSE_RECEIVED)).hasSizeGreaterThan(30);
  }
}
