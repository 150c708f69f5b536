package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Runs a thousand members with 20% loss. Ten are killed and twenty are paused for up to the
 * tolerated time. Guards against failures that are detected too late and against false failure
 * reports in large groups.
 */
class ThousandMembersTest {

  @Test
  void failedMembersAreKnownToAllWithinTenPeriodsAndNoOthersAreDeclaredFaulty() {
    int count = 1_000;
    MembershipSimulator simulator =
        new MembershipSimulator(MembershipSettings.DEFAULTS, count, 28).startJoined();
    simulator.lossProbability = 0.2;
    simulator.duplicationProbability = 0.05;
    simulator.maxDelayNanos = Duration.ofMillis(60).toNanos();
    InvariantChecker checker =
        new InvariantChecker(simulator, MembershipSettings.DEFAULTS.toleratedPause());
    Map<Address, Set<Integer>> observersByAddress = new HashMap<>();
    simulator.observers.add(
        (node, actions) ->
            actions.forEach(action -> recordFaulty(node, action, observersByAddress)));
    simulator.run(Duration.ofSeconds(2));
    for (int i = 10; i < 20; i++) {
      simulator.kill(i);
    }
    for (int i = 20; i < 40; i++) {
      int index = i;
      Duration duration = Duration.ofMillis(150L * (i - 19));
      simulator.schedule(
          Duration.ofMillis(100L * (i - 20)),
          () -> {
            checker.onPause(index, duration);
            simulator.pause(index, duration);
          });
    }
    simulator.run(MembershipSettings.DEFAULTS.probePeriod().multipliedBy(10));
    assertThat(checker.violations).isEmpty();
    assertThat(observersByAddress.keySet()).hasSize(10);
    assertThat(observersByAddress.values())
        .allSatisfy(observers -> assertThat(observers).hasSize(count - 10));
  }

  private static void recordFaulty(
      int node, Action action, Map<Address, Set<Integer>> observersByAddress) {
    if (action instanceof Action.StateChanged change && change.state() == MemberState.FAULTY) {
      observersByAddress
          .computeIfAbsent(change.member().address(), address -> new HashSet<>())
          .add(node);
    }
  }
}
