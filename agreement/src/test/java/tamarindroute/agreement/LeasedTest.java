package tamarindroute.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

class LeasedTest {

  private static final Duration LEASE = Duration.ofSeconds(10);
  private static final Member SELF = new Member(new Address("m", 1), 3);
  private static final Member LEADER = new Member(new Address("v1", 1), 1);

  private static Duration at(long millis) {
    return Duration.ofMillis(millis);
  }

  private static Answer whole(Leased asked, View view) {
    return new Answer(
        asked.number(),
        true,
        Optional.of(LEADER),
        LEASE,
        view.group(),
        Optional.of(view),
        List.of());
  }

  /**
   * However long the answer took, the lease is over a hundredth before it has lasted its span from
   * the asking.
   */
  @Property(seed = "31", tries = 500)
  void heldFromTheAskingAndGivenUpAHundredthEarly(
      @ForAll @IntRange(max = 20_000) int asked, @ForAll @IntRange(max = 30_000) int later) {
    Leased leased = Leased.none(SELF).asked(at(asked));
    leased = leased.answered(whole(leased, View.first(1)));
    assertThat(leased.held(at(asked + later)).isPresent()).isEqualTo(later < 9_900);
  }

  @Test
  void answersToOtherAskingsAndFormerLivesCountNothing() {
    Leased first = Leased.none(SELF).asked(at(0));
    Leased second = first.asked(at(5_000));
    assertThat(second.answered(whole(first, View.first(1)))).isEqualTo(second);
    Leased answered = second.answered(whole(second, View.first(1)));
    assertThat(answered.answered(whole(second, View.first(1)))).as("doubled").isEqualTo(answered);
    Leased anew = Leased.none(new Member(SELF.address(), 4)).asked(at(0));
    assertThat(anew.answered(whole(first, View.first(1)))).isEqualTo(anew);
  }

  @Test
  void commandsLeadOnFromWhatIsHeldAndOtherwiseTheWholeIsAskedFor() {
    View view = View.first(1);
    Command put = new Command.Put("a", 0, "t", new byte[] {1});
    Leased leased = Leased.none(SELF).asked(at(0));
    leased = leased.answered(whole(leased, view)).asked(at(2_500));
    Leased next =
        leased.answered(
            new Answer(
                leased.number(), true, Optional.empty(), LEASE, 1, Optional.empty(), List.of(put)));
    assertThat(next.held(at(3_000))).contains(Ledger.apply(view, put).view());
    Leased asked = next.asked(at(5_000));
    Leased wrong =
        asked.answered(
            new Answer(
                asked.number(), true, Optional.empty(), LEASE, 1, Optional.empty(), List.of(put)));
    assertThat(wrong.held(at(5_000))).as("it does not lead on").isEmpty();
    assertThat(wrong.view()).isEmpty();
    Leased back = asked.answered(whole(asked, view));
    assertThat(back.held(at(5_000))).as("back within a group").isEmpty();
  }

  @Test
  void asksTheLeaderAsToldAndTheNextWhenNobodyAnswers() {
    List<Address> voters = List.of(new Address("v0", 1), LEADER.address(), new Address("v2", 1));
    Leased leased = Leased.none(new Member(SELF.address(), 0));
    assertThat(leased.due(at(0), LEASE)).isTrue();
    assertThat(leased.whom(voters)).isEqualTo(voters.get(0));
    leased = leased.asked(at(0));
    Leased told = leased.answered(Answer.elsewhere(leased.number(), Optional.of(LEADER)));
    assertThat(told.whom(voters)).isEqualTo(LEADER.address());
    assertThat(told.due(at(100), LEASE)).isFalse();
    assertThat(told.due(at(250), LEASE)).isTrue();
    assertThat(leased.due(at(999), LEASE)).isFalse();
    assertThat(leased.due(at(1_000), LEASE)).isTrue();
    assertThat(leased.asked(at(1_000)).whom(voters)).isEqualTo(voters.get(1));
    Leased held = leased.answered(whole(leased, View.first(1)));
    assertThat(held.due(at(2_499), LEASE)).isFalse();
    assertThat(held.due(at(2_500), LEASE)).isTrue();
  }
}
