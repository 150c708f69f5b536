package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Tests of properties that have to hold for random faults within bounds and random messages. */
class MembershipPropertyTest {

  /**
   * Injects loss of up to a fifth of the messages, duplication, reordering, a tolerated pause, a
   * cut link, and a kill with a restart with an earlier incarnation. After the last fault all
   * members have to agree.
   */
  @Property(tries = 12, seed = "28")
  void noInvariantIsViolatedAndAllAgreeInTheEnd(
      @ForAll @IntRange(min = 5, max = 24) int count,
      @ForAll @DoubleRange(max = 0.2) double loss,
      @ForAll @IntRange(min = 1, max = 100) int delay,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    Random random = new Random(seed);
    MembershipSimulator simulator =
        new MembershipSimulator(MembershipSettings.DEFAULTS, count, seed).startJoined();
    InvariantChecker checker =
        new InvariantChecker(simulator, MembershipSettings.DEFAULTS.toleratedPause());
    simulator.lossProbability = loss;
    simulator.duplicationProbability = 0.1;
    simulator.maxDelayNanos = Duration.ofMillis(delay).toNanos();
    int cutFrom = random.nextInt(count);
    simulator.linkFilter = (from, to) -> from == cutFrom && to == (cutFrom + 1) % count;
    int killed = random.nextInt(count);
    int paused = (killed + 1 + random.nextInt(count - 1)) % count;
    simulator.schedule(
        Duration.ofMillis(random.nextInt(5_000)),
        () -> {
          Duration duration = Duration.ofMillis(random.nextInt(3_000));
          checker.onPause(paused, duration);
          simulator.pause(paused, duration);
        });
    simulator.schedule(
        Duration.ofMillis(1_000 + random.nextInt(5_000)), () -> simulator.kill(killed));
    int restartDelay = 1_000 + random.nextInt(15_000);
    simulator.schedule(
        Duration.ofMillis(6_000 + restartDelay),
        () -> simulator.start(killed, 1 + random.nextInt(900)));
    simulator.run(Duration.ofSeconds(25));
    simulator.linkFilter = (from, to) -> false;
    simulator.lossProbability = 0;
    simulator.run(Duration.ofSeconds(25));
    assertThat(checker.violations).isEmpty();
    assertAllAgree(simulator);
  }

  private static void assertAllAgree(MembershipSimulator simulator) {
    int count = simulator.nodes.size();
    for (int observer = 0; observer < count; observer++) {
      assertThat(simulator.nodes.get(observer).membership.liveMembers())
          .as("at %d", observer)
          .hasSize(count);
      assertThat(simulator.nodes.get(observer).membership.members().values())
          .as("at %d", observer)
          .containsOnly(MemberState.ALIVE);
      assertThat(simulator.localStatus(observer).isConnected()).isTrue();
    }
  }

  /**
   * No message may cause an exception, or make the member table or the sent bytes exceed their
   * bounds.
   */
  @Property(tries = 20, seed = "29")
  void arbitraryMessagesAreToleratedWithinBounds(@ForAll @IntRange(max = 1_000_000) int seed) {
    Random random = new Random(seed);
    MembershipSettings defaults = MembershipSettings.DEFAULTS;
    MembershipSettings smallSettings =
        new MembershipSettings(
            defaults.probePeriod(),
            defaults.probeTimeout(),
            defaults.toleratedPause(),
            3,
            12,
            2,
            5,
            24,
            8_192,
            8,
            defaults.guards());
    Member self = new Member(new Address("10.0.0.0", 7_000), 5);
    Membership membership =
        new Membership(smallSettings, self, List.of(new Address("10.0.0.1", 7_000)), Duration.ZERO);
    Duration now = Duration.ZERO;
    long bytes = 0;
    for (int i = 0; i < 3_000; i++) {
      now = now.plusMillis(random.nextInt(20));
      Message message = randomMessage(random, membership.self());
      for (Action action :
          random.nextInt(4) == 0 ? membership.tick(now) : membership.onMessage(message, now)) {
        if (action instanceof Action.Send send) {
          assertThat(send.message().updates().size())
              .isLessThanOrEqualTo(smallSettings.maxUpdatesPerMessage());
          bytes += OutboundMessages.estimatedBytes(send.message().updates().size());
        }
      }
      assertThat(membership.members().size()).isLessThanOrEqualTo(smallSettings.maxMembers());
      assertThat(membership.self().incarnation()).isBetween(5L, MessageValidator.MAX_COUNTER);
    }
    assertThat(bytes)
        .isLessThanOrEqualTo(
            (long) (smallSettings.maxBytesPerSecond() * (1 + now.toMillis() / 1_000.0)));
  }

  // The ordinal only selects a random constant; its value has no meaning.
  @SuppressWarnings("EnumOrdinal")
  private static Message randomMessage(Random random, Member self) {
    List<MembershipUpdate> updates = new ArrayList<>();
    for (int i = random.nextInt(6); i > 0; i--) {
      MemberState state = MemberState.values()[random.nextInt(MemberState.values().length)];
      updates.add(
          new MembershipUpdate(
              randomMember(random),
              state,
              random.nextInt(50) == 0 ? Long.MAX_VALUE : random.nextInt(4) - 1,
              randomMember(random).address()));
    }
    Message.Kind kind = Message.Kind.values()[random.nextInt(Message.Kind.values().length)];
    long requestId = random.nextBoolean() ? random.nextInt(40) : random.nextLong();
    return new Message(
        kind,
        randomMember(random),
        random.nextInt(3) == 0 ? random.nextInt(8) : self.incarnation(),
        requestId,
        randomMember(random),
        updates);
  }

  private static Member randomMember(Random random) {
    long incarnation = random.nextInt(40) == 0 ? random.nextLong() : random.nextInt(8);
    return new Member(new Address("10.0.0." + random.nextInt(20), 7_000), incarnation);
  }
}
