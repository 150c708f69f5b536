package tamarindroute.facts;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.facts.FactSamples.FEED;
import static tamarindroute.facts.FactSamples.address;
import static tamarindroute.facts.FactSamples.event;
import static tamarindroute.facts.FactSamples.member;
import static tamarindroute.facts.FactSamples.seconds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

class FactStoreTest {

  private enum Kind {
    WORK_IN_FLIGHT,
    HEALTH,
    CHANGE,
    SNAPSHOT
  }

  /**
   * One copy of a fact on its way.
   *
   * @param observedAtSeconds when the fact was observed
   * @param ageSurplusSeconds by how much its age is overstated
   */
  private record Copy(
      Member origin, long sequence, Kind kind, int observedAtSeconds, int ageSurplusSeconds) {

    Fact at(Duration now) {
      Duration age = now.minus(seconds(observedAtSeconds)).plus(seconds(ageSurplusSeconds));
      return new Fact(origin, sequence, age, body(now));
    }

    private Fact.Body body(Duration now) {
      long cacheId = sequence % 3;
      return switch (kind) {
        case WORK_IN_FLIGHT -> new Fact.WorkInFlight(cacheId, (double) sequence);
        case HEALTH ->
            new Fact.CacheHealth(
                cacheId,
                (double) (sequence % 10),
                sequence % 2 == 0,
                now.minus(seconds((double) (sequence - 9))));
        case CHANGE, SNAPSHOT -> event(sequence, kind == Kind.SNAPSHOT, text());
      };
    }

    /** Two origins disagree about the event with number 4. */
    private String text() {
      boolean conflicting = origin.incarnation() == 2 && sequence == 4;
      return kind + " of " + sequence + (conflicting ? " conflicting" : "");
    }
  }

  @Provide
  Arbitrary<List<Copy>> copies() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 3),
            Arbitraries.longs().between(1, 2),
            Arbitraries.longs().between(1, 8),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 3))
        .as(
            (origin, incarnation, sequence, kind, ageSurplus) ->
                new Copy(
                    member(origin, incarnation),
                    sequence,
                    Kind.values()[kind],
                    (int) (sequence + origin),
                    ageSurplus))
        .list()
        .ofMaxSize(25);
  }

  private static FactStore storeWith(List<Copy> copies, long seed) {
    FactStore store = new FactStore(member(0, 1), FEED);
    Random random = new Random(seed);
    for (Copy copy : copies) {
      Duration now = seconds(12 + random.nextInt(30));
      store.receive(List.of(copy.at(now)), now);
    }
    return store;
  }

  @Property(seed = "7", tries = 500)
  void orderDuplicationAndDelayDoNotAffectState(
      @ForAll("copies") List<Copy> copies, @ForAll long seed) {
    List<Copy> reordered = new ArrayList<>(copies);
    reordered.addAll(copies.subList(0, copies.size() / 2));
    Collections.shuffle(reordered, new Random(seed));

    assertThat(storeWith(reordered, seed)).hasToString(storeWith(copies, ~seed).toString());
  }

  /** Over two transits within their bound, with time held between them and after them. */
  @Property(seed = "7", tries = 500)
  void agesAreNeverUnderstatedNorUptimesOverstated(
      @ForAll @DoubleRange(max = 1) double firstTransit,
      @ForAll @DoubleRange(max = 1) double secondTransit,
      @ForAll @IntRange(max = 20) int heldAtSecond,
      @ForAll @IntRange(max = 30) int heldAtThird,
      @ForAll @IntRange(max = 99) int uptime,
      @ForAll @IntRange(max = 9) int failureEvidence) {
    FactStore first = new FactStore(member(1, 1), FEED);
    FactStore second = new FactStore(member(2, 1), FEED);
    FactStore third = new FactStore(member(3, 1), FEED);
    // The clocks of the three differ by 1,000 s each.
    first.recordOwn(new Fact.CacheHealth(5, failureEvidence, false, seconds(uptime)), seconds(0));
    FactDelta fromFirst = first.deltaFor(address(2), seconds(0), 9);
    second.receive(address(1), fromFirst, seconds(1000 + firstTransit));
    FactDelta fromSecond =
        second.deltaFor(address(3), seconds(1000 + firstTransit + heldAtSecond), 9);
    double receivedAt = 2000 + firstTransit + heldAtSecond + secondTransit;
    third.receive(address(2), fromSecond, seconds(receivedAt));
    CacheOpinion opinion = third.peerOpinion(5, seconds(receivedAt + heldAtThird));

    double age = firstTransit + heldAtSecond + secondTransit + heldAtThird;
    double overstatedAge = age + 2;
    double minEvidence =
        overstatedAge < 60 ? failureEvidence * Math.exp(-overstatedAge / 20) - 1e-9 : 0;
    assertThat(opinion.failureEvidence())
        .isLessThanOrEqualTo(failureEvidence * Math.exp(-age / 20) + 1e-9)
        .isGreaterThanOrEqualTo(minEvidence);
    assertThat(opinion.up() || age <= 20).as("down expires with the evidence").isTrue();
    assertThat(opinion.uptime())
        .isLessThanOrEqualTo(seconds(uptime + age))
        .isGreaterThanOrEqualTo(seconds(uptime + age - 2.001));
  }

  @Test
  void floodIsBoundedAndOpinionsNeverEvictEvents() {
    FactStore store = new FactStore(member(0, 1), FEED);
    store.receive(
        List.of(
            new Fact(member(1, 1), 1, seconds(0), event(1, true, "all")),
            new Fact(member(1, 1), 2, seconds(0), event(2, false, "drain"))),
        seconds(100));
    for (int i = 1; i <= 3 * IncarnationFacts.MAX_FACTS; i++) {
      for (int origin = 1; origin <= 12; origin++) {
        Fact.Body body =
            i % 8 == 1 ? new Fact.CacheHealth(i, 1, true, null) : new Fact.WorkInFlight(i, 1);
        Fact fact = new Fact(member(origin, 1), i, seconds(0), body);
        store.receive(List.of(fact), seconds(100 + i / 1e3));
      }
    }
    FactDelta delta = store.deltaFor(address(99), seconds(107), Integer.MAX_VALUE);

    assertThat(factCount(delta)).isLessThanOrEqualTo(FactStore.MAX_FACTS);
    assertThat(store.events().updatesAfter(1, seconds(107)).changes()).hasSize(1);
    assertThat(store.peerOpinion(1, seconds(107)).failureEvidence())
        .as("the oldest opinion is kept")
        .isPositive();
    assertThat(store.peerWorkInFlight(2)).as("the oldest work is evicted first").isZero();
    for (int number = 3; number < 20_000; number++) {
      store.recordOwn(event(number, false, "x".repeat(100)), seconds(108));
    }
    assertThat(store.events().updatesAfter(2, seconds(108)).firstMissing())
        .as("evicted events are known to be missing")
        .isEqualTo(3);
    Fact evicted = new Fact(member(1, 1), 3, seconds(0), event(3, false, "x"));
    assertThat(store.receive(List.of(evicted), seconds(109)))
        .as("evicted events are not accepted and pushed again")
        .isEmpty();
  }

  private static int factCount(FactDelta delta) {
    return delta.ranges().stream().mapToInt(range -> range.facts().size()).sum();
  }

  @Test
  void factsOfPreviousIncarnationAreDiscarded() {
    FactStore store = new FactStore(member(0, 1), FEED);
    Fact.Body work = new Fact.WorkInFlight(5, 7);
    store.receive(List.of(new Fact(member(1, 1), 9, seconds(0), work)), seconds(10));
    assertThat(store.peerWorkInFlight(5)).isEqualTo(7);
    store.onIncarnation(member(1, 2), seconds(11));
    assertThat(store.peerWorkInFlight(5)).isZero();
    store.deltaFor(address(2), seconds(30), 9);
    store.receive(List.of(new Fact(member(1, 1), 9, seconds(20), work)), seconds(30));
    assertThat(store.peerWorkInFlight(5)).isZero();
  }

  /** A delta is lost, and the next one is sent before the sender knows it. */
  @Test
  void lostDeltaIsSentAgain() {
    Address senderAddress = address(1);
    Address receiverAddress = address(2);
    Duration now = seconds(1);
    FactStore sender = new FactStore(member(1, 1), FEED);
    FactStore receiver = new FactStore(member(2, 1), FEED);
    sender.receive(receiverAddress, receiver.deltaFor(senderAddress, now, 9), now);
    sender.recordOwn(new Fact.WorkInFlight(1, 10), now);
    sender.deltaFor(receiverAddress, now, 9);
    sender.recordOwn(new Fact.WorkInFlight(2, 20), now);
    receiver.receive(senderAddress, sender.deltaFor(receiverAddress, now, 9), now);

    assertThat(List.of(receiver.peerWorkInFlight(1), receiver.peerWorkInFlight(2)))
        .containsExactly(0.0, 20.0);
    sender.receive(receiverAddress, receiver.deltaFor(senderAddress, now, 9), now);
    receiver.receive(senderAddress, sender.deltaFor(receiverAddress, now, 9), now);
    assertThat(List.of(receiver.peerWorkInFlight(1), receiver.peerWorkInFlight(2)))
        .containsExactly(10.0, 20.0);
  }

  /** Each member sends two deltas per round, of which three in ten are lost. */
  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void lostFactsAreRecoveredByExchange(long seed) {
    Random random = new Random(seed);
    List<FactStore> fleet = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      FactStore store = new FactStore(member(i, 1), FEED);
      for (int cacheId = 0; cacheId < 30; cacheId++) {
        store.recordOwn(new Fact.CacheHealth(cacheId, i % 10, true, seconds(cacheId)), seconds(1));
      }
      fleet.add(store);
    }
    fleet.get(0).recordOwn(event(1, true, "all"), seconds(1));
    fleet.get(0).recordOwn(event(2, false, "drain"), seconds(1));
    int round = 0;
    while (round < 60 && !fleet.stream().allMatch(FactStoreTest::hasAllFacts)) {
      exchange(fleet, random, seconds(2 + round * 0.2));
      round++;
    }
    assertThat(round).isBetween(2, 40);
  }

  private static boolean hasAllFacts(FactStore store) {
    return store.events().contiguousUpTo() == 2
        && store.peerOpinion(29, seconds(2)).failureEvidence() > 7
        && factCount(store.deltaFor(address(99), seconds(2), 9999)) == 24 * 30;
  }

  private static void exchange(List<FactStore> fleet, Random random, Duration now) {
    for (int from = 0; from < fleet.size(); from++) {
      for (int i = 0; i < 2; i++) {
        int to = random.nextInt(fleet.size());
        FactDelta delta = fleet.get(from).deltaFor(address(to), now, 100);
        if (to != from && random.nextDouble() > 0.3) {
          fleet.get(to).receive(address(from), delta, now);
        }
      }
    }
  }
}
