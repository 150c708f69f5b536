package tamarindroute.versioning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.versioning.RolloutModel.Defect;
import tamarindroute.versioning.RolloutModel.Result;

/** Two members that may both believe they lead and a cache that flaps, explored exhaustively. */
class VersionRolloutTest {

  @Test
  void aVersionIsSettledOnlyAfterLastingSupportAndNobodyUsesADisallowedOne() {
    Result result = new RolloutModel(Defect.NONE).explore(new RolloutState.Budget(1, 2, 1));
    assertThat(result.breach()).isNull();
    assertThat(result.states()).isGreaterThan(1000);
    assertThat(result.settled()).as("states in which the version was settled").isPositive();
    assertThat(result.takenBack()).as("states in which a trial was taken back").isPositive();
    assertThat(result.stuck()).as("states that do not recover").isZero();
  }

  @Test
  void eachSeededDefectIsFound() {
    for (Defect defect :
        List.of(Defect.IGNORES_ENTRY_NUMBER, Defect.IGNORES_SILENCE, Defect.IGNORES_LOST_CONTACT)) {
      Result result = new RolloutModel(defect).explore(new RolloutState.Budget(2, 2, 1));
      assertThat(result.breach()).as(defect.name()).isNotNull();
    }
  }
}
