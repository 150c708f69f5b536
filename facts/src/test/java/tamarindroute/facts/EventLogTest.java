package tamarindroute.facts;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.facts.FactSamples.FEED;
import static tamarindroute.facts.FactSamples.event;
import static tamarindroute.facts.FactSamples.payload;
import static tamarindroute.facts.FactSamples.seconds;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventLogTest {

  /** The feed's state after a number is all changes up to it; a snapshot holds it whole. */
  @Property(seed = "7", tries = 500)
  void updatesFollowTheFeedAndNeverGoBackwards(
      @ForAll @IntRange(max = 12) int applied,
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0.3, max = 1) double receivedShare) {
    Random random = new Random(seed);
    EventLog log = new EventLog(FEED);
    long highestKnown = 0;
    List<Integer> numbers = new ArrayList<>(List.of(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12));
    Collections.shuffle(numbers, random);
    Set<Long> snapshots = new HashSet<>();
    Set<Long> changes = new HashSet<>();
    for (int number : numbers) {
      if (random.nextDouble() < receivedShare) {
        boolean isSnapshot = random.nextInt(5) == 0;
        String text = isSnapshot ? "all of " + number : "" + number;
        log.add(event(number, isSnapshot, text), seconds(0));
        (isSnapshot ? snapshots : changes).add((long) number);
        highestKnown = Math.max(highestKnown, number);
      }
    }
    long latestSnapshot = snapshots.stream().mapToLong(number -> number).max().orElse(0);
    EventLog.Updates updates = log.updatesAfter(applied, seconds(1));
    long state = applyUpdates(updates, applied, latestSnapshot);

    long lowestMissing = Long.MAX_VALUE;
    for (long number = state + 1;
        number <= highestKnown && lowestMissing == Long.MAX_VALUE;
        number++) {
      boolean isHeld = changes.contains(number) && number > latestSnapshot;
      lowestMissing = isHeld ? Long.MAX_VALUE : number;
    }
    assertThat(updates.firstMissing()).isEqualTo(state < highestKnown ? state + 1 : 0);
    assertThat(state >= highestKnown || lowestMissing == state + 1)
        .as("updates end only at a missing event")
        .isTrue();
  }

  /** Checks that updates continue from a state, and returns the number of the state after them. */
  private static long applyUpdates(EventLog.Updates updates, long applied, long latestSnapshot) {
    long state = applied;
    if (updates.snapshot() != null) {
      long number = updates.snapshot().number();
      assertThat(number).isGreaterThan(state).isEqualTo(latestSnapshot);
      assertThat(updates.snapshot().payload()).isEqualTo(payload("all of " + number));
      state = number;
    }
    for (EventLog.PendingEvent change : updates.changes()) {
      state++;
      assertThat(change.number()).isEqualTo(state);
      assertThat(change.payload()).isEqualTo(payload("" + state));
    }
    return state;
  }

  @Test
  void conflictingPayloadsAreWithheldUntilNextSnapshot() {
    EventLog log = new EventLog(FEED);
    log.add(event(1, true, "all"), seconds(0));
    log.add(event(2, false, "drain a"), seconds(0));
    log.add(event(2, false, "drain b"), seconds(0));
    log.add(event(2, false, "drain a"), seconds(0));
    log.add(event(3, false, "purge"), seconds(0));

    assertThat(log.updatesAfter(1, seconds(1))).isEqualTo(new EventLog.Updates(null, List.of(), 2));
    assertThat(log.conflictingNumbers()).containsExactly(2L);
    log.add(event(3, true, "all"), seconds(0));
    assertThat(log.updatesAfter(1, seconds(1)).snapshot().number()).isEqualTo(3);
    assertThat(log.conflictingNumbers()).isEmpty();
    log.add(new Fact.Event(FEED, 1, 1, true, payload("next generation")), seconds(0));
    log.add(event(4, false, "of the previous generation"), seconds(0));
    assertThat(log.contiguousUpTo()).isEqualTo(1);
  }
}
