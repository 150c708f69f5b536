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

/**
 * View lease of a non-voting member. Guards against a member that acts on a view after its lease:
 * because the lease is counted from the wrong time, because a response is taken for that to another
 * request, or because commands are applied to a view that they do not apply to.
 */
class ViewLeaseTest {

  private static final Duration LEASE = Duration.ofSeconds(10);
  private static final Member SELF = new Member(new Address("m", 1), 3);
  private static final Member LEADER = new Member(new Address("v1", 1), 1);

  private static Duration at(long millis) {
    return Duration.ofMillis(millis);
  }

  private static ViewResponse fullViewResponse(ViewLease lease, MembershipView view) {
    return new ViewResponse(
        lease.requestNumber(),
        true,
        Optional.of(LEADER),
        LEASE,
        view.groupId(),
        Optional.of(view),
        List.of());
  }

  /**
   * However late the response arrives, the lease ends one hundredth of its duration before the full
   * duration has passed since the request was sent.
   */
  @Property(seed = "31", tries = 500)
  void leaseRunsFromRequestAndExpiresOnePercentEarly(
      @ForAll @IntRange(max = 20_000) int requestMillis,
      @ForAll @IntRange(max = 30_000) int elapsedMillis) {
    ViewLease lease = ViewLease.initial(SELF).requestSent(at(requestMillis));
    lease = lease.onResponse(fullViewResponse(lease, MembershipView.initial(1)));
    assertThat(lease.validView(at(requestMillis + elapsedMillis)).isPresent())
        .isEqualTo(elapsedMillis < 9_900);
  }

  @Test
  void ignoresResponsesToOtherRequestsAndOtherIncarnations() {
    ViewLease first = ViewLease.initial(SELF).requestSent(at(0));
    ViewLease second = first.requestSent(at(5_000));
    assertThat(second.onResponse(fullViewResponse(first, MembershipView.initial(1))))
        .isEqualTo(second);
    ViewLease current = second.onResponse(fullViewResponse(second, MembershipView.initial(1)));
    assertThat(current.onResponse(fullViewResponse(second, MembershipView.initial(1))))
        .as("duplicate")
        .isEqualTo(current);
    ViewLease restarted = ViewLease.initial(new Member(SELF.address(), 4)).requestSent(at(0));
    assertThat(restarted.onResponse(fullViewResponse(first, MembershipView.initial(1))))
        .isEqualTo(restarted);
  }

  @Test
  void replaysCommandsOnHeldViewOrRequestsFullView() {
    MembershipView view = MembershipView.initial(1);
    Command put = new Command.Put("a", 0, "t", new byte[] {1});
    ViewLease lease = ViewLease.initial(SELF).requestSent(at(0));
    lease = lease.onResponse(fullViewResponse(lease, view)).requestSent(at(2_500));
    ViewLease next =
        lease.onResponse(
            new ViewResponse(
                lease.requestNumber(),
                true,
                Optional.empty(),
                LEASE,
                1,
                Optional.empty(),
                List.of(put)));
    assertThat(next.validView(at(3_000))).contains(ViewTransitions.apply(view, put).view());
    ViewLease pending = next.requestSent(at(5_000));
    ViewLease afterMismatch =
        pending.onResponse(
            new ViewResponse(
                pending.requestNumber(),
                true,
                Optional.empty(),
                LEASE,
                1,
                Optional.empty(),
                List.of(put)));
    assertThat(afterMismatch.validView(at(5_000))).as("commands that do not apply").isEmpty();
    assertThat(afterMismatch.view()).isEmpty();
    ViewLease afterOlderView = pending.onResponse(fullViewResponse(pending, view));
    assertThat(afterOlderView.validView(at(5_000))).as("older view of the same group").isEmpty();
  }

  @Test
  void requestsFromHintedLeaderAndRotatesVotersWhenUnanswered() {
    List<Address> voters = List.of(new Address("v0", 1), LEADER.address(), new Address("v2", 1));
    ViewLease lease = ViewLease.initial(new Member(SELF.address(), 0));
    assertThat(lease.isRequestDue(at(0), LEASE)).isTrue();
    assertThat(lease.nextVoter(voters)).isEqualTo(voters.get(0));
    lease = lease.requestSent(at(0));
    ViewLease redirected =
        lease.onResponse(ViewResponse.notLeader(lease.requestNumber(), Optional.of(LEADER)));
    assertThat(redirected.nextVoter(voters)).isEqualTo(LEADER.address());
    assertThat(redirected.isRequestDue(at(100), LEASE)).isFalse();
    assertThat(redirected.isRequestDue(at(250), LEASE)).isTrue();
    assertThat(lease.isRequestDue(at(999), LEASE)).isFalse();
    assertThat(lease.isRequestDue(at(1_000), LEASE)).isTrue();
    assertThat(lease.requestSent(at(1_000)).nextVoter(voters)).isEqualTo(voters.get(1));
    ViewLease answered = lease.onResponse(fullViewResponse(lease, MembershipView.initial(1)));
    assertThat(answered.isRequestDue(at(2_499), LEASE)).isFalse();
    assertThat(answered.isRequestDue(at(2_500), LEASE)).isTrue();
  }
}
