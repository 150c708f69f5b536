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

class ViewLeaseTest {

  private static final Duration LEASE = Duration.ofSeconds(10);
  private static final Member SELF = new Member(new Address("m", 1), 3);
  private static final Member LEADER = new Member(new Address("v1", 1), 1);

  private static Duration at(long millis) {
    return Duration.ofMillis(millis);
  }

  private static ViewResponse fullViewResponse(ViewLease asked, MembershipView view) {
    return new ViewResponse(
        asked.requestNumber(),
        true,
        Optional.of(LEADER),
        LEASE,
        view.groupId(),
        Optional.of(view),
        List.of());
  }

  /**
   * However long the answer took, the lease is over a hundredth before it has lasted its span from
   * the asking.
   */
  @Property(seed = "31", tries = 500)
  void leaseRunsFromRequestAndExpiresOnePercentEarly(
      @ForAll @IntRange(max = 20_000) int asked, @ForAll @IntRange(max = 30_000) int later) {
    ViewLease leased = ViewLease.initial(SELF).requestSent(at(asked));
    leased = leased.onResponse(fullViewResponse(leased, MembershipView.initial(1)));
    assertThat(leased.validView(at(asked + later)).isPresent()).isEqualTo(later < 9_900);
  }

  @Test
  void ignoresResponsesToOtherRequestsAndOtherIncarnations() {
    ViewLease first = ViewLease.initial(SELF).requestSent(at(0));
    ViewLease second = first.requestSent(at(5_000));
    assertThat(second.onResponse(fullViewResponse(first, MembershipView.initial(1))))
        .isEqualTo(second);
    ViewLease answered = second.onResponse(fullViewResponse(second, MembershipView.initial(1)));
    assertThat(answered.onResponse(fullViewResponse(second, MembershipView.initial(1))))
        .as("doubled")
        .isEqualTo(answered);
    ViewLease anew = ViewLease.initial(new Member(SELF.address(), 4)).requestSent(at(0));
    assertThat(anew.onResponse(fullViewResponse(first, MembershipView.initial(1)))).isEqualTo(anew);
  }

  @Test
  void replaysCommandsOnHeldViewOrRequestsFullView() {
    MembershipView view = MembershipView.initial(1);
    Command put = new Command.Put("a", 0, "t", new byte[] {1});
    ViewLease leased = ViewLease.initial(SELF).requestSent(at(0));
    leased = leased.onResponse(fullViewResponse(leased, view)).requestSent(at(2_500));
    ViewLease next =
        leased.onResponse(
            new ViewResponse(
                leased.requestNumber(),
                true,
                Optional.empty(),
                LEASE,
                1,
                Optional.empty(),
                List.of(put)));
    assertThat(next.validView(at(3_000))).contains(ViewTransitions.apply(view, put).view());
    ViewLease asked = next.requestSent(at(5_000));
    ViewLease wrong =
        asked.onResponse(
            new ViewResponse(
                asked.requestNumber(),
                true,
                Optional.empty(),
                LEASE,
                1,
                Optional.empty(),
                List.of(put)));
    assertThat(wrong.validView(at(5_000))).as("it does not lead on").isEmpty();
    assertThat(wrong.view()).isEmpty();
    ViewLease back = asked.onResponse(fullViewResponse(asked, view));
    assertThat(back.validView(at(5_000))).as("back within a group").isEmpty();
  }

  @Test
  void requestsFromHintedLeaderAndRotatesVotersWhenUnanswered() {
    List<Address> voters = List.of(new Address("v0", 1), LEADER.address(), new Address("v2", 1));
    ViewLease leased = ViewLease.initial(new Member(SELF.address(), 0));
    assertThat(leased.isRequestDue(at(0), LEASE)).isTrue();
    assertThat(leased.nextVoter(voters)).isEqualTo(voters.get(0));
    leased = leased.requestSent(at(0));
    ViewLease told =
        leased.onResponse(ViewResponse.notLeader(leased.requestNumber(), Optional.of(LEADER)));
    assertThat(told.nextVoter(voters)).isEqualTo(LEADER.address());
    assertThat(told.isRequestDue(at(100), LEASE)).isFalse();
    assertThat(told.isRequestDue(at(250), LEASE)).isTrue();
    assertThat(leased.isRequestDue(at(999), LEASE)).isFalse();
    assertThat(leased.isRequestDue(at(1_000), LEASE)).isTrue();
    assertThat(leased.requestSent(at(1_000)).nextVoter(voters)).isEqualTo(voters.get(1));
    ViewLease held = leased.onResponse(fullViewResponse(leased, MembershipView.initial(1)));
    assertThat(held.isRequestDue(at(2_499), LEASE)).isFalse();
    assertThat(held.isRequestDue(at(2_500), LEASE)).isTrue();
  }
}
