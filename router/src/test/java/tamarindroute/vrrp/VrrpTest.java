package tamarindroute.vrrp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * The codec, the seal, the candidate's worth, a voter's grants, and the machine explored
 * exhaustively.
 */
class VrrpTest {

  private static final Duration INTERVAL = Duration.ofMillis(40);

  private static InetAddress address(String text) {
    try {
      return InetAddress.getByName(text);
    } catch (java.net.UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static Election.Settings settings(long own) {
    return new Election.Settings(own, INTERVAL, true, Duration.ZERO);
  }

  @ParameterizedTest
  @CsvSource({"192.0.2.1, 192.0.2.2, 192.0.2.100", "2001:db8::1, 2001:db8::2, 2001:db8::100"})
  void anAdvertisementComesBackAsItWent(String from, String to, String shared)
      throws MalformedMessageException {
    Advertisement told =
        new Advertisement(7, 120, Duration.ofMillis(1000), List.of(address(shared), address(from)));
    byte[] bytes = told.encode(address(from), address(to));
    assertThat(Advertisement.decode(bytes, address(from), address(to))).isEqualTo(told);
    assertThat(bytes[0]).isEqualTo((byte) 0x31);
    assertThatThrownBy(() -> Advertisement.decode(bytes, address(shared), address(to)))
        .as("the pseudo header")
        .isInstanceOf(MalformedMessageException.class);
  }

  @Property(seed = "21", tries = 3000)
  void randomBytesAreNoAdvertisements(@ForAll @Size(max = 100) byte[] bytes) {
    // Only the checksum stands between luck and belief: one in 65,536 of what has the form.
    try {
      Advertisement read = Advertisement.decode(bytes, address("192.0.2.1"), address("192.0.2.2"));
      assertThat(read.encode(address("192.0.2.1"), address("192.0.2.2"))).hasSameSizeAs(bytes);
    } catch (MalformedMessageException e) {
      assertThat(e).hasMessageNotContaining("Exception");
    }
  }

  @Property(seed = "22", tries = 2000)
  void aFlippedBitIsSeenByTheSealAndByTheChecksum(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] bytes =
        new Advertisement(1, 100, INTERVAL, List.of(address("192.0.2.9")))
            .encode(address("192.0.2.1"), address("192.0.2.2"));
    byte[] flipped = bytes.clone();
    flipped[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
    assertThatThrownBy(
            () -> Advertisement.decode(flipped, address("192.0.2.1"), address("192.0.2.2")))
        .isInstanceOf(MalformedMessageException.class);
    MessageAuthenticator seal = new MessageAuthenticator(Map.of(1, new byte[] {1, 2, 3}), 1);
    byte[] sealed = seal.seal(bytes, 5, 9);
    sealed[random.nextInt(sealed.length)] ^= (byte) (1 << random.nextInt(8));
    assertThatThrownBy(() -> seal.open(sealed, MessageAuthenticator.ReplayWindow.EMPTY))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void aSealedMessageIsTakenOnceInAnyOrderAndOfTheLatestRunAlone()
      throws MalformedMessageException {
    MessageAuthenticator before = new MessageAuthenticator(Map.of(1, new byte[] {1}), 1);
    MessageAuthenticator during =
        new MessageAuthenticator(Map.of(1, new byte[] {1}, 2, new byte[] {2}), 2);
    MessageAuthenticator after = new MessageAuthenticator(Map.of(2, new byte[] {2}), 2);
    byte[] message = {42};
    MessageAuthenticator.ReplayWindow heard = MessageAuthenticator.ReplayWindow.EMPTY;
    for (long number : new long[] {3, 1, 2, 70}) {
      heard = during.open(before.seal(message, 10, number), heard).window();
    }
    MessageAuthenticator.ReplayWindow all = heard;
    for (long number : new long[] {3, 70, 5}) {
      assertThatThrownBy(() -> during.open(before.seal(message, 10, number), all))
          .as("number %d", number)
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThat(during.open(during.seal(message, 10, 69), all).message()).isEqualTo(message);
    MessageAuthenticator.ReplayWindow anew = during.open(during.seal(message, 11, 0), all).window();
    assertThatThrownBy(() -> during.open(before.seal(message, 10, 90), anew))
        .as("an earlier run")
        .isInstanceOf(MalformedMessageException.class);
    assertThatThrownBy(() -> after.open(before.seal(message, 12, 0), anew))
        .as("the old key, after the change")
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void worthFallsAtOnceAndRisesOnlyWhenItHasHeld() {
    EffectivePriority candidacy = EffectivePriority.of(100);
    EffectivePriority.TrackedState well = new EffectivePriority.TrackedState(true, true, 1);
    candidacy =
        candidacy
            .withTrackedState(well, Duration.ZERO)
            .withTrackedState(well, Duration.ofSeconds(9));
    assertThat(candidacy.current()).isEqualTo(1);
    candidacy = candidacy.withTrackedState(well, Duration.ofSeconds(10));
    assertThat(candidacy.current()).isEqualTo(100);
    EffectivePriority cold =
        EffectivePriority.of(200)
            .withTrackedState(new EffectivePriority.TrackedState(true, false, 1), Duration.ZERO)
            .withTrackedState(
                new EffectivePriority.TrackedState(true, false, 1), Duration.ofSeconds(60));
    assertThat(cold.current())
        .as("a cold standby, whatever it was told")
        .isLessThan(candidacy.current());
    candidacy =
        candidacy.withTrackedState(
            new EffectivePriority.TrackedState(true, true, 0.5), Duration.ofSeconds(11));
    assertThat(candidacy.current()).isEqualTo(50);
    for (int i = 0; i < 100; i++) {
      // A fact that comes and goes each second never raises it.
      candidacy =
          candidacy.withTrackedState(
              i % 2 == 0 ? well : new EffectivePriority.TrackedState(true, true, 0.5),
              Duration.ofSeconds(12 + i));
      assertThat(candidacy.current()).isEqualTo(50);
    }
    assertThat(
            candidacy
                .withTrackedState(
                    new EffectivePriority.TrackedState(false, true, 1), Duration.ofSeconds(200))
                .current())
        .isEqualTo(1);
  }

  @Property(seed = "23", tries = 500)
  void twoOfThreeVotersNeverLetTwoCountOnThem(@ForAll long seed) {
    Random random = new Random(seed);
    Duration span = Duration.ofMillis(100);
    VoterGrant[] voters = new VoterGrant[3];
    java.util.Arrays.fill(voters, VoterGrant.started(span, Duration.ofMillis(-200)));
    Duration[][] counts = new Duration[2][3];
    for (int ms = 0; ms < 2000; ms++) {
      Duration now = Duration.ofMillis(ms);
      if (random.nextInt(4) == 0) {
        int candidate = random.nextInt(2);
        int voter = random.nextInt(3);
        // The request was on its way for a while, and its answer may be lost.
        Duration asked = now.minusMillis(random.nextInt(30));
        VoterGrant.Response answer = voters[voter].request(candidate, span, now);
        voters[voter] = answer.grant();
        if (answer.granted() && random.nextInt(3) > 0) {
          counts[candidate][voter] = VoterGrant.validUntil(asked, span);
        }
      }
      if (random.nextInt(300) == 0) {
        voters[random.nextInt(3)] = VoterGrant.started(span, now);
      }
      int sure = 0;
      for (Duration[] one : counts) {
        long held =
            java.util.Arrays.stream(one).filter(u -> u != null && now.compareTo(u) < 0).count();
        sure += held >= 2 ? 1 : 0;
      }
      assertThat(sure).isLessThanOrEqualTo(1);
    }
  }

  /**
   * Without a loss both act for one way and the tick that it takes to be counted; a loss costs one
   * interval.
   */
  private static int bound(int losses, int way) {
    return losses * 4 + way + 1;
  }

  @ParameterizedTest
  @CsvSource({
    // losses, doubled, stops, kills, the longest way in ticks, priorities; an interval is 4 ticks
    "0, 0, 3, 0, 1, 100, 200",
    "0, 0, 3, 0, 2, 100, 100",
    "0, 0, 2, 1, 1, 100, 100",
    "0, 2, 1, 2, 2, 100, 200",
    "1, 0, 0, 1, 1, 100, 100",
    "2, 0, 0, 1, 1, 100, 200",
    "3, 1, 0, 0, 2, 100, 100",
    "0, 0, 2, 2, 1, 100, 255",
    "2, 1, 1, 1, 1, 100, 200"
  })
  void twoNeverActTogetherForLongerThanTheBoundAndOneDoesInTheEnd(
      int losses, int doubled, int stops, int kills, int way, int first, int second) {
    ModelCheck check =
        new ModelCheck(
            ModelCheck.SOUND, List.of(settings(1), settings(2)), List.of(first, second), 50);
    ModelCheck.Found found =
        check.explore(new ModelCheck.Budget(losses, doubled, stops, kills, way));
    System.out.printf(
        "two routers, %d lost, %d doubled, %d stops, %d kills, way %d, priorities %d and %d: "
            + "%d states, longest together %d ticks%n",
        losses, doubled, stops, kills, way, first, second, found.states(), found.longestOverlap());
    assertThat(found.states()).isGreaterThan(100);
    assertThat(found.longestOverlap()).isLessThanOrEqualTo(bound(losses, way));
    assertThat(found.healed()).isTrue();
  }

  @ParameterizedTest
  @CsvSource({
    "0, 1, 1, 1, 100, 150, 200",
    "0, 0, 2, 1, 100, 100, 200",
    "1, 1, 0, 1, 100, 100, 100"
  })
  void threeKeepTheBoundToo(
      int losses, int stops, int kills, int way, int first, int second, int third) {
    ModelCheck check =
        new ModelCheck(
            ModelCheck.SOUND,
            List.of(settings(1), settings(2), settings(3)),
            List.of(first, second, third),
            50);
    ModelCheck.Found found = check.explore(new ModelCheck.Budget(losses, 0, stops, kills, way));
    System.out.printf(
        "three routers, %d lost, %d stops, %d kills, way %d, priorities %d, %d and %d: "
            + "%d states, longest together %d ticks%n",
        losses, stops, kills, way, first, second, third, found.states(), found.longestOverlap());
    // The bound is each pair's: a third may follow at once upon the first two.
    assertThat(found.longestOverlap()).isLessThanOrEqualTo(2 * bound(losses, way));
    assertThat(found.healed()).isTrue();
  }

  @Test
  void aBrokenTieAndADroppedLeaseAreFound() {
    ModelCheck.Machine noTie =
        new ModelCheck.Machine() {
          @Override
          public Election.Step next(
              Election.State state,
              Election.Event event,
              Duration now,
              Election.Settings settings) {
            Election.Event seen =
                event instanceof Election.AdvertisementReceived h
                    ? new Election.AdvertisementReceived(h.priority(), Long.MIN_VALUE, h.interval())
                    : event;
            return Election.next(state, seen, now, settings);
          }
        };
    ModelCheck.Machine noLease =
        new ModelCheck.Machine() {
          @Override
          public boolean mayAct(Election.State state, Duration now) {
            return state.role() == Election.Role.ACTIVE;
          }
        };
    List<Election.Settings> two = List.of(settings(1), settings(2));
    ModelCheck.Found tie =
        new ModelCheck(noTie, two, List.of(100, 100), 12)
            .explore(new ModelCheck.Budget(2, 0, 0, 1, 1));
    assertThat(tie.longestOverlap() > 12 || !tie.healed()).as("the broken tie").isTrue();
    ModelCheck.Found sound =
        new ModelCheck(ModelCheck.SOUND, two, List.of(100, 200), 50)
            .explore(new ModelCheck.Budget(0, 0, 1, 0, 1));
    ModelCheck.Found lease =
        new ModelCheck(noLease, two, List.of(100, 200), 50)
            .explore(new ModelCheck.Budget(0, 0, 1, 0, 1));
    assertThat(lease.longestOverlap())
        .as("the dropped lease")
        .isGreaterThan(sound.longestOverlap());
  }
}
