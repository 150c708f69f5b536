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

/** What holds under any faults within bounds, and for any words at all. */
class MembershipPropertyTest {

  /**
   * Loss to a fifth, doubling, delays that reorder, stops up to the stated pause, one directed pair
   * cut, kills, and restarts with a clock set back: no rule is broken, and once nothing more goes
   * wrong all hold the same.
   */
  @Property(tries = 12, seed = "28")
  void noRuleIsBrokenAndAllAgreeInTheEnd(
      @ForAll @IntRange(min = 5, max = 24) int count,
      @ForAll @DoubleRange(max = 0.2) double loss,
      @ForAll @IntRange(min = 1, max = 100) int delay,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    Random random = new Random(seed);
    Sim sim = new Sim(Settings.USUAL, count, seed).acquainted();
    Checker checker = new Checker(sim, Settings.USUAL.pause());
    sim.loss = loss;
    sim.doubled = 0.1;
    sim.delayMax = Duration.ofMillis(delay).toNanos();
    int one = random.nextInt(count);
    sim.cut = (from, to) -> from == one && to == (one + 1) % count;
    int killed = random.nextInt(count);
    int stopped = (killed + 1 + random.nextInt(count - 1)) % count;
    sim.after(
        Duration.ofMillis(random.nextInt(5_000)),
        () -> {
          Duration span = Duration.ofMillis(random.nextInt(3_000));
          checker.stopped(stopped, span);
          sim.stop(stopped, span);
        });
    sim.after(Duration.ofMillis(1_000 + random.nextInt(5_000)), () -> sim.kill(killed));
    int after = 1_000 + random.nextInt(15_000);
    sim.after(Duration.ofMillis(6_000 + after), () -> sim.start(killed, 1 + random.nextInt(900)));
    sim.run(Duration.ofSeconds(25));
    sim.cut = (from, to) -> false;
    sim.loss = 0;
    sim.run(Duration.ofSeconds(25));
    assertThat(checker.breaches).isEmpty();
    for (int at = 0; at < count; at++) {
      assertThat(sim.nodes.get(at).membership.alive()).as("at %d", at).hasSize(count);
      assertThat(sim.nodes.get(at).membership.members().values())
          .as("at %d", at)
          .containsOnly(Standing.ALIVE);
      assertThat(sim.nodes.get(at).membership.touch(sim.own(sim.nodes.get(at))).inTouch()).isTrue();
    }
  }

  /**
   * Whatever it is told: nothing is thrown, what it keeps stays within bounds, and so does what it
   * sends.
   */
  @Property(tries = 20, seed = "29")
  void anyWordsAreBorne(@ForAll @IntRange(max = 1_000_000) int seed) {
    Random random = new Random(seed);
    Settings usual = Settings.USUAL;
    Settings small =
        new Settings(
            usual.period(),
            usual.timeout(),
            usual.pause(),
            3,
            12,
            2,
            5,
            24,
            8_192,
            8,
            usual.guards());
    Member self = new Member(new Address("10.0.0.0", 7_000), 5);
    Membership membership =
        new Membership(small, self, List.of(new Address("10.0.0.1", 7_000)), Duration.ZERO);
    Duration now = Duration.ZERO;
    long bytes = 0;
    for (int i = 0; i < 3_000; i++) {
      now = now.plusMillis(random.nextInt(20));
      Message message = any(random, membership.self());
      for (Action action :
          random.nextInt(4) == 0 ? membership.tick(now) : membership.told(message, now)) {
        if (action instanceof Action.Send send) {
          assertThat(send.message().rumours().size()).isLessThanOrEqualTo(small.rumours());
          bytes += Sends.size(send.message().rumours().size());
        }
      }
      assertThat(membership.members().size()).isLessThanOrEqualTo(small.members());
      assertThat(membership.self().birth()).isBetween(5L, Words.MOST);
    }
    assertThat(bytes).isLessThanOrEqualTo((long) (small.bytes() * (1 + now.toMillis() / 1_000.0)));
  }

  private static Message any(Random random, Member self) {
    List<Rumour> rumours = new ArrayList<>();
    for (int i = random.nextInt(6); i > 0; i--) {
      Standing standing = Standing.values()[random.nextInt(Standing.values().length)];
      rumours.add(
          new Rumour(
              member(random),
              standing,
              random.nextInt(50) == 0 ? Long.MAX_VALUE : random.nextInt(4) - 1,
              member(random).address()));
    }
    Message.Kind kind = Message.Kind.values()[random.nextInt(Message.Kind.values().length)];
    long number = random.nextBoolean() ? random.nextInt(40) : random.nextLong();
    return new Message(
        kind,
        member(random),
        random.nextInt(3) == 0 ? random.nextInt(8) : self.birth(),
        number,
        member(random),
        rumours);
  }

  private static Member member(Random random) {
    long birth = random.nextInt(40) == 0 ? random.nextLong() : random.nextInt(8);
    return new Member(new Address("10.0.0." + random.nextInt(20), 7_000), birth);
  }
}
