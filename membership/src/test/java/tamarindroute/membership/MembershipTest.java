package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One machine by itself: what it says at a moment, and its bounds. */
class MembershipTest {

  private static final Address HERE = new Address("10.0.0.1", 7_000);
  private static final Member PEER = new Member(new Address("10.0.0.2", 7_000), 900);

  /** A process that was stopped and asks before any timer of its has run. */
  @Test
  void whoeverAsksHearsOfThePauseBeforeAnyEvent() {
    Membership membership =
        new Membership(Settings.USUAL, new Member(HERE, 7), List.of(), Duration.ZERO);
    membership.tick(Duration.ZERO);
    assertThat(membership.touch(Duration.ofMillis(200)).condition())
        .isEqualTo(Action.Condition.IN_TOUCH);
    Action.State later = membership.touch(Duration.ofSeconds(4));
    assertThat(later.condition()).isEqualTo(Action.Condition.PAUSED);
    assertThat(later.span()).isGreaterThan(Duration.ofSeconds(3));
    assertThat(membership.tick(Duration.ofSeconds(4)).get(0)).isInstanceOf(Action.Touch.class);
  }

  @Test
  void aWordThatItsBirthIsOldIsTakenOnceAndOnlyByTheLifeItIsMeantFor() {
    Membership membership =
        new Membership(Settings.USUAL, new Member(HERE, 7), List.of(PEER.address()), Duration.ZERO);
    Message old = new Message(Message.Kind.SUPERSEDED, PEER, 7, 1, new Member(HERE, 50), List.of());
    assertThat(membership.told(old, Duration.ofMillis(1)))
        .contains(new Action.Reborn(new Member(HERE, 51)));
    assertThat(membership.told(old, Duration.ofMillis(2)))
        .noneMatch(Action.Reborn.class::isInstance);
    assertThat(membership.self().birth()).isEqualTo(51);
  }

  /**
   * A seed that never answers: the tries of the first ten minutes are counted, and no two come
   * close together.
   */
  @Test
  void asksForItsWayInWithinABudget() {
    Membership membership =
        new Membership(Settings.USUAL, new Member(HERE, 7), List.of(PEER.address()), Duration.ZERO);
    List<Duration> tries = new ArrayList<>();
    Duration now = Duration.ZERO;
    while (now.compareTo(Duration.ofMinutes(10)) < 0) {
      Duration at = now;
      membership.tick(now).stream()
          .filter(Action.Send.class::isInstance)
          .forEach(send -> tries.add(at));
      now = now.plus(membership.wake(now)).plusMillis(1);
    }
    assertThat(tries).hasSizeBetween(20, 40);
    for (int i = 1; i < tries.size(); i++) {
      assertThat(tries.get(i).minus(tries.get(i - 1)))
          .isGreaterThanOrEqualTo(Duration.ofMillis(250));
    }
    assertThat(membership.touch(now).condition()).isEqualTo(Action.Condition.JOINING);
  }

  /** One more than fit: it is not taken up and not answered; the longest gone give way. */
  @Test
  void beyondItsBoundNobodyIsTakenUpUntilOneIsGone() {
    Settings u = Settings.USUAL;
    Settings two =
        new Settings(u.period(), u.timeout(), u.pause(), 3, 12, 2, 5, 24, 65_536, 2, u.guards());
    Membership membership = new Membership(two, new Member(HERE, 7), List.of(), Duration.ZERO);
    for (int i = 2; i < 5; i++) {
      Member other = new Member(new Address("10.0.0." + i, 7_000), 1);
      membership.told(
          new Message(Message.Kind.JOIN, other, 0, 1, other, List.of()), Duration.ofMillis(i));
    }
    assertThat(membership.members()).hasSize(2);
    Member gone = new Member(new Address("10.0.0.2", 7_000), 1);
    membership.told(
        new Message(Message.Kind.LEAVE, gone, 7, 0, gone, List.of()), Duration.ofMillis(6));
    Member next = new Member(new Address("10.0.0.9", 7_000), 1);
    assertThat(
            membership.told(
                new Message(Message.Kind.JOIN, next, 0, 1, next, List.of()), Duration.ofMillis(7)))
        .anyMatch(
            action ->
                action instanceof Action.Send send
                    && send.message().kind() == Message.Kind.WELCOME);
    assertThat(membership.members()).hasSize(2).containsKey(next).doesNotContainKey(gone);
  }

  /**
   * A newcomer among 2,000 takes over all of them by exchanges, in bounded parts, a fifth of which
   * are lost.
   */
  @Test
  void aNewcomerLearnsOfAll() {
    Sim sim = new Sim(Settings.USUAL, 12, 3).acquainted();
    List<Member> many = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      many.add(new Member(new Address("10.9." + i / 250 + "." + i % 250, 7_000), 1));
    }
    Membership newcomer = sim.nodes.get(11).membership;
    for (int node = 0; node < 11; node++) {
      for (Member one : many) {
        Membership membership = sim.nodes.get(node).membership;
        membership.told(
            new Message(
                Message.Kind.GOSSIP,
                newcomer.self(),
                membership.self().birth(),
                0,
                newcomer.self(),
                List.of(new Rumour(one, Standing.LEFT, 0, one.address()))),
            sim.own(sim.nodes.get(node)));
      }
      sim.nodes.get(node).membership.forget();
    }
    sim.kill(11);
    sim.loss = 0.2;
    sim.start(11, 5_000);
    sim.run(Duration.ofSeconds(20));
    many.removeAll(sim.nodes.get(11).membership.members().keySet());
    assertThat(many).isEmpty();
  }
}
