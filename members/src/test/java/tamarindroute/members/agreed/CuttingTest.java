package tamarindroute.members.agreed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.View;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Standing;

class CuttingTest {

  private static final Member SELF = member(0, 1);
  private final Map<Member, Standing> others = new HashMap<>();
  private View view = View.first(7);
  private Cutting cutting = Cutting.none(Duration.ZERO);
  private final List<Command.Cut> cuts = new ArrayList<>();
  private long millis;

  private static Member member(int i, long birth) {
    return new Member(new Address("10.0." + i / 200 + "." + i % 200, 1), birth);
  }

  /** Steps each quarter of a second; a cut is agreed at once. */
  private void run(Duration span) {
    for (long end = millis + span.toMillis(); millis < end; millis += 250) {
      Cutting.Step step = cutting.step(view, SELF, others, Duration.ofMillis(millis));
      cutting = step.next();
      step.cut()
          .ifPresent(
              cut -> {
                Ledger.Step agreed = Ledger.apply(view, cut);
                assertThat(agreed.refusal()).isEqualTo(Optional.empty());
                view = agreed.view();
                cuts.add(cut);
              });
    }
  }

  @Example
  void manyThatComeAndGoTogetherAreOneCut() {
    IntStream.rangeClosed(1, 50).forEach(i -> others.put(member(i, 1), Standing.ALIVE));
    run(Duration.ofSeconds(3));
    assertThat(cuts).hasSize(1);
    assertThat(view.members()).hasSize(51);
    // Found dead one after the other, a few each quarter of a second.
    for (int i = 1; i <= 30; i++) {
      others.put(member(i, 1), i % 2 == 0 ? Standing.AWAY : Standing.LEFT);
      run(Duration.ofMillis(i % 5 == 0 ? 250 : 0));
    }
    run(Duration.ofSeconds(3));
    assertThat(cuts).hasSize(2);
    assertThat(cuts.get(1).out()).hasSize(30);
    assertThat(view.members()).hasSize(21).contains(SELF);
  }

  @Example
  void whoFlapsNeitherGetsInNorHoldsOthersUp() {
    others.put(member(1, 1), Standing.ALIVE);
    for (int i = 0; i < 40; i++) {
      others.put(member(2, 1), i % 2 == 0 ? Standing.ALIVE : Standing.SUSPECT);
      others.put(member(3, 1), i % 2 == 1 ? Standing.ALIVE : Standing.SUSPECT);
      run(Duration.ofMillis(500));
    }
    assertThat(view.members()).containsExactly(SELF, member(1, 1));
    assertThat(cuts).hasSize(1);
  }

  @Example
  void aLaterLifeTakesTheEarliersPlaceAndWhoNobodyKnowsGoesAfterLong() {
    others.put(member(1, 1), Standing.ALIVE);
    others.put(member(2, 1), Standing.ALIVE);
    run(Duration.ofSeconds(3));
    others.remove(member(1, 1));
    others.remove(member(2, 1));
    others.put(member(1, 9), Standing.ALIVE);
    run(Duration.ofSeconds(3));
    assertThat(view.members()).containsExactly(SELF, member(1, 9), member(2, 1));
    run(Duration.ofSeconds(25));
    assertThat(view.members()).as("not yet").contains(member(2, 1));
    run(Duration.ofSeconds(5));
    assertThat(view.members()).containsExactly(SELF, member(1, 9));
    assertThat(cuts).hasSize(3);
  }

  /**
   * Whatever membership holds: no cut is refused, they keep their distance, the view ends as what
   * it holds.
   */
  @Property(seed = "30", tries = 200)
  void cutsAreAlwaysSoundBoundedAndEndWhereMembershipIs(@ForAll @IntRange(max = 1 << 30) int seed) {
    Random random = new Random(seed);
    others.clear();
    cuts.clear();
    view = View.first(7);
    millis = 0;
    cutting = Cutting.none(Duration.ZERO);
    for (int turn = 0; turn < 60; turn++) {
      int place = 1 + random.nextInt(6);
      long birth = 1 + random.nextInt(3);
      others.put(member(place, birth), Standing.values()[random.nextInt(5)]);
      if (random.nextInt(4) == 0) {
        others.remove(member(place, birth));
      }
      run(Duration.ofMillis(250L * random.nextInt(12)));
    }
    assertThat(cuts.size()).isLessThanOrEqualTo((int) (millis / Cutting.BETWEEN.toMillis()) + 1);
    others.replaceAll((one, standing) -> one.birth() == 3 ? Standing.ALIVE : Standing.AWAY);
    run(Duration.ofSeconds(70));
    List<Member> alive = new ArrayList<>(List.of(SELF));
    others.forEach(
        (one, standing) -> {
          if (standing == Standing.ALIVE) {
            alive.add(one);
          }
        });
    assertThat(view.members()).containsExactlyInAnyOrderElementsOf(alive);
  }
}
