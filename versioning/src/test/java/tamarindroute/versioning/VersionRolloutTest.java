package tamarindroute.versioning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.versioning.RolloutModel.Defect;
import tamarindroute.versioning.RolloutModel.Result;

/**
 * Guards against a fleet version that is settled although a cache does not support it, and against
 * the use of schema versions that the agreed fleet version does not allow. Both can happen if two
 * members believe that they are the leader, proposals are delayed, a cache repeatedly gains and
 * loses support, or a member is out of contact. {@link RolloutModel} explores all such sequences
 * within a budget.
 */
class VersionRolloutTest {

  @Test
  void versionIsSettledOnlyAfterLastingSupportAndOnlyAllowedVersionsAreUsed() {
    Result result = new RolloutModel(Defect.NONE).explore(new RolloutState.Budget(1, 2, 1));
    assertThat(result.breach()).isNull();
    assertThat(result.states()).isGreaterThan(1000);
    assertThat(result.settled()).as("states in which the version was settled").isPositive();
    assertThat(result.reverted()).as("states in which a trial was reverted").isPositive();
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
