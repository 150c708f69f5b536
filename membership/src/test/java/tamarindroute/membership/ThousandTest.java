package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A thousand members, a fifth of all messages lost each way, ten killed, twenty stopped for up to
 * what is stated.
 */
class ThousandTest {

  @Test
  void theDeadAreKnownToAllWithinTenPeriodsAndNobodyElseIsHeldAway() {
    int count = 1_000;
    Sim sim = new Sim(Settings.USUAL, count, 28).acquainted();
    sim.loss = 0.2;
    sim.doubled = 0.05;
    sim.delayMax = Duration.ofMillis(60).toNanos();
    Checker checker = new Checker(sim, Settings.USUAL.pause());
    Map<Address, Set<Integer>> known = new HashMap<>();
    sim.observers.add(
        (node, actions) ->
            actions.forEach(
                action -> {
                  if (action instanceof Action.Became became
                      && became.standing() == Standing.AWAY) {
                    known.computeIfAbsent(became.about().address(), a -> new HashSet<>()).add(node);
                  }
                }));
    sim.run(Duration.ofSeconds(2));
    for (int i = 10; i < 20; i++) {
      sim.kill(i);
    }
    for (int i = 20; i < 40; i++) {
      int place = i;
      Duration span = Duration.ofMillis(150L * (i - 19));
      sim.after(
          Duration.ofMillis(100L * (i - 20)),
          () -> {
            checker.stopped(place, span);
            sim.stop(place, span);
          });
    }
    sim.run(Settings.USUAL.period().multipliedBy(10));
    assertThat(checker.breaches).isEmpty();
    assertThat(known.keySet()).hasSize(10);
    assertThat(known.values()).allSatisfy(who -> assertThat(who).hasSize(count - 10));
  }
}
