package tamarindroute.forms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.forms.SmallWorld.Defect;
import tamarindroute.forms.SmallWorld.Found;

/**
 * Two gateways that may both believe to lead, a cache that flaps, explored until nothing new can
 * happen.
 */
class RolloutTest {

  @Test
  void aLevelRisesOnlyWhenAllHaveSaidSoForLongAndNobodyUsesTooMuch() {
    Found found = new SmallWorld(Defect.NONE).explore(new SmallWorld.Budget(1, 2, 1));
    assertThat(found.breach()).isNull();
    assertThat(found.states()).isGreaterThan(1000);
    assertThat(found.settled()).as("worlds in which the level was settled").isPositive();
    assertThat(found.takenBack()).as("worlds in which a trial was taken back").isPositive();
    assertThat(found.stuck()).as("worlds that do not heal").isZero();
  }

  @Test
  void eachSeededDefectIsFound() {
    for (Defect defect : List.of(Defect.ANY_NUMBER, Defect.FLAPS_UNSEEN, Defect.CUT_OFF_GOES_ON)) {
      Found found = new SmallWorld(defect).explore(new SmallWorld.Budget(2, 2, 1));
      assertThat(found.breach()).as(defect.name()).isNotNull();
    }
  }
}
