package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests of a single member: its local status after a pause, its reaction to messages for another
 * incarnation, the bounds on its join attempts and table, and the table of a new member.
 */
class MembershipTest {

  private static final Address SELF_ADDRESS = new Address("10.0.0.1", 7_000);
  private static final Member PEER = new Member(new Address("10.0.0.2", 7_000), 900);

  /** A paused process checks its status before it acts, when none of its timers has run yet. */
  @Test
  void statusReportsAPauseBeforeAnyEventIsHandled() {
    Membership membership =
        new Membership(
            MembershipSettings.DEFAULTS, new Member(SELF_ADDRESS, 7), List.of(), Duration.ZERO);
    membership.tick(Duration.ZERO);
    assertThat(membership.localStatus(Duration.ofMillis(200)).connectivity())
        .isEqualTo(Connectivity.CONNECTED);
    LocalStatus status = membership.localStatus(Duration.ofSeconds(4));
    assertThat(status.connectivity()).isEqualTo(Connectivity.PAUSED);
    assertThat(status.pausedFor()).isGreaterThan(Duration.ofSeconds(3));
    assertThat(membership.tick(Duration.ofSeconds(4)).get(0))
        .isInstanceOf(Action.StatusChanged.class);
  }

  @Test
  void supersededMessageIsAcceptedOnceAndOnlyByItsTargetIncarnation() {
    Membership membership =
        new Membership(
            MembershipSettings.DEFAULTS,
            new Member(SELF_ADDRESS, 7),
            List.of(PEER.address()),
            Duration.ZERO);
    Message superseded =
        new Message(Message.Kind.SUPERSEDED, PEER, 7, 1, new Member(SELF_ADDRESS, 50), List.of());
    assertThat(membership.onMessage(superseded, Duration.ofMillis(1)))
        .contains(new Action.IncarnationRaised(new Member(SELF_ADDRESS, 51)));
    assertThat(membership.onMessage(superseded, Duration.ofMillis(2)))
        .noneMatch(Action.IncarnationRaised.class::isInstance);
    assertThat(membership.self().incarnation()).isEqualTo(51);
  }

  /**
   * The only seed does not answer for ten minutes. Neither the number of requests nor their rate
   * may exceed its bound.
   */
  @Test
  void joinAttemptsStayWithinTheirBudget() {
    Membership membership =
        new Membership(
            MembershipSettings.DEFAULTS,
            new Member(SELF_ADDRESS, 7),
            List.of(PEER.address()),
            Duration.ZERO);
    List<Duration> attempts = new ArrayList<>();
    Duration now = Duration.ZERO;
    while (now.compareTo(Duration.ofMinutes(10)) < 0) {
      Duration at = now;
      membership.tick(now).stream()
          .filter(Action.Send.class::isInstance)
          .forEach(send -> attempts.add(at));
      now = now.plus(membership.untilNextTick(now)).plusMillis(1);
    }
    assertThat(attempts).hasSizeBetween(20, 40);
    for (int i = 1; i < attempts.size(); i++) {
      assertThat(attempts.get(i).minus(attempts.get(i - 1)))
          .isGreaterThanOrEqualTo(Duration.ofMillis(250));
    }
    assertThat(membership.localStatus(now).connectivity()).isEqualTo(Connectivity.JOINING);
  }

  /** A joining member that does not fit into the table is neither stored nor answered. */
  @Test
  void fullTableAdmitsNobodyUntilAMemberHasLeft() {
    MembershipSettings defaults = MembershipSettings.DEFAULTS;
    MembershipSettings twoMembers =
        new MembershipSettings(
            defaults.probePeriod(),
            defaults.probeTimeout(),
            defaults.toleratedPause(),
            3,
            12,
            2,
            5,
            24,
            65_536,
            2,
            defaults.guards());
    Membership membership =
        new Membership(twoMembers, new Member(SELF_ADDRESS, 7), List.of(), Duration.ZERO);
    for (int i = 2; i < 5; i++) {
      Member other = new Member(new Address("10.0.0." + i, 7_000), 1);
      membership.onMessage(
          new Message(Message.Kind.JOIN, other, 0, 1, other, List.of()), Duration.ofMillis(i));
    }
    assertThat(membership.members()).hasSize(2);
    Member departed = new Member(new Address("10.0.0.2", 7_000), 1);
    membership.onMessage(
        new Message(Message.Kind.LEAVE, departed, 7, 0, departed, List.of()), Duration.ofMillis(6));
    Member joining = new Member(new Address("10.0.0.9", 7_000), 1);
    assertThat(
            membership.onMessage(
                new Message(Message.Kind.JOIN, joining, 0, 1, joining, List.of()),
                Duration.ofMillis(7)))
        .anyMatch(
            action ->
                action instanceof Action.Send send
                    && send.message().kind() == Message.Kind.WELCOME);
    assertThat(membership.members()).hasSize(2).containsKey(joining).doesNotContainKey(departed);
  }

  /** The new member receives 2,000 members in parts of bounded size, of which a fifth is lost. */
  @Test
  void newMemberLearnsOfAllOthersByStateExchange() {
    MembershipSimulator simulator =
        new MembershipSimulator(MembershipSettings.DEFAULTS, 12, 3).startJoined();
    List<Member> others = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      others.add(new Member(new Address("10.9." + i / 250 + "." + i % 250, 7_000), 1));
    }
    Membership newMember = simulator.nodes.get(11).membership;
    for (int node = 0; node < 11; node++) {
      for (Member member : others) {
        Membership membership = simulator.nodes.get(node).membership;
        membership.onMessage(
            new Message(
                Message.Kind.GOSSIP,
                newMember.self(),
                membership.self().incarnation(),
                0,
                newMember.self(),
                List.of(new MembershipUpdate(member, MemberState.LEFT, 0, member.address()))),
            simulator.localTime(simulator.nodes.get(node)));
      }
      simulator.nodes.get(node).membership.clearPending();
    }
    simulator.kill(11);
    simulator.lossProbability = 0.2;
    simulator.start(11, 5_000);
    simulator.run(Duration.ofSeconds(20));
    others.removeAll(simulator.nodes.get(11).membership.members().keySet());
    assertThat(others).isEmpty();
  }
}
