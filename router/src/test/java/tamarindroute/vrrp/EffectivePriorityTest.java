package tamarindroute.vrrp;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a shared address that moves back and forth because a condition of a gateway comes
 * and goes, and against a cold standby that preempts a healthy gateway.
 */
class EffectivePriorityTest {

  private static final EffectivePriority.TrackedState HEALTHY =
      new EffectivePriority.TrackedState(true, true, 1);
  private static final EffectivePriority.TrackedState HALF_REACHABLE =
      new EffectivePriority.TrackedState(true, true, 0.5);
  private static final EffectivePriority.TrackedState COLD =
      new EffectivePriority.TrackedState(true, false, 1);
  private static final EffectivePriority.TrackedState WITHOUT_LIST =
      new EffectivePriority.TrackedState(false, true, 1);

  @Test
  void priorityFallsAtOnceAndRisesAfterADelay() {
    EffectivePriority priority = EffectivePriority.of(100);
    priority =
        priority
            .withTrackedState(HEALTHY, Duration.ZERO)
            .withTrackedState(HEALTHY, Duration.ofSeconds(9));
    assertThat(priority.current()).isEqualTo(1);
    priority = priority.withTrackedState(HEALTHY, Duration.ofSeconds(10));
    assertThat(priority.current()).isEqualTo(100);
    EffectivePriority cold =
        EffectivePriority.of(200)
            .withTrackedState(COLD, Duration.ZERO)
            .withTrackedState(COLD, Duration.ofSeconds(60));
    assertThat(cold.current())
        .as("a cold standby, whatever its configured priority")
        .isLessThan(priority.current());
    priority = priority.withTrackedState(HALF_REACHABLE, Duration.ofSeconds(11));
    assertThat(priority.current()).isEqualTo(50);
    for (int i = 0; i < 100; i++) {
      // A condition that changes each second never lasts long enough to raise the priority.
      priority =
          priority.withTrackedState(
              i % 2 == 0 ? HEALTHY : HALF_REACHABLE, Duration.ofSeconds(12 + i));
      assertThat(priority.current()).isEqualTo(50);
    }
    assertThat(priority.withTrackedState(WITHOUT_LIST, Duration.ofSeconds(200)).current())
        .isEqualTo(1);
  }
}
