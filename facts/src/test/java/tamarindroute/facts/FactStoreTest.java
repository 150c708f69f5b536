package tamarindroute.facts;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
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

  private static final String FEED = "feed:1";

  private static Member member(int place, long birth) {
    return new Member(new Address("m" + place, 1), birth);
  }

  private static Duration at(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  private static Payload payload(String text) {
    return new Payload(text.getBytes(StandardCharsets.UTF_8));
  }

  private static Fact.Event event(long number, boolean list, String text) {
    return new Fact.Event(FEED, 0, number, list, payload(text));
  }

  /**
   * A fact, found out at this second, told over a way that was held to be so much longer, by whom
   * it was found out.
   */
  private record Copy(Member origin, long sequence, int kind, int bornAt, int longer) {

    Fact told(Duration now) {
      Duration age = now.minus(at(bornAt)).plus(at(longer));
      if (kind < 2) {
        long cache = sequence % 3;
        return new Fact(
            origin,
            sequence,
            age,
            kind == 0
                ? new Fact.WorkInFlight(cache, sequence)
                : new Fact.CacheHealth(
                    cache, sequence % 10, sequence % 2 == 0, now.minus(at(sequence - 9))));
      }
      return new Fact(
          origin,
          sequence,
          age,
          event(
              sequence,
              kind == 3,
              kind
                  + "of"
                  + sequence
                  + (origin.incarnation() == 2 && sequence == 4 ? "other" : "")));
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
            (place, birth, sequence, kind, longer) ->
                new Copy(member(place, birth), sequence, kind, (int) (sequence + place), longer))
        .list()
        .ofMaxSize(25);
  }

  private static FactStore holding(List<Copy> copies, long seed) {
    FactStore facts = new FactStore(member(0, 1), FEED);
    Random chance = new Random(seed);
    for (Copy copy : copies) {
      // Told at some time later; what it says of ages has grown by as much.
      Duration now = at(12 + chance.nextInt(30));
      facts.receive(List.of(copy.told(now)), now);
    }
    return facts;
  }

  @Property(seed = "7", tries = 500)
  void orderDuplicationAndDelayDoNotAffectState(
      @ForAll("copies") List<Copy> copies, @ForAll long seed) {
    List<Copy> other = new ArrayList<>(copies);
    other.addAll(copies.subList(0, copies.size() / 2));
    Collections.shuffle(other, new Random(seed));

    assertThat(holding(other, seed)).hasToString(holding(copies, ~seed).toString());
  }

  @Provide
  Arbitrary<CacheOpinion> regards() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 9),
            Arbitraries.of(true, false),
            Arbitraries.integers().between(0, 50).injectNull(0.2))
        .as((doubt, up, upFor) -> new CacheOpinion(doubt, up, upFor == null ? null : at(upFor)));
  }

  @Property(seed = "7", tries = 500)
  void mergedOpinionIsNeverBetterAndMergeIsCommutative(
      @ForAll("regards") CacheOpinion a,
      @ForAll("regards") CacheOpinion b,
      @ForAll("regards") CacheOpinion c) {
    assertThat(a.merge(b)).isEqualTo(b.merge(a));
    assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
    assertThat(a.merge(a)).isEqualTo(a);
    assertThat(a.merge(CacheOpinion.NEUTRAL)).isEqualTo(a);
    assertThat(a.merge(b).failureEvidence()).isGreaterThanOrEqualTo(a.failureEvidence());
    assertThat(a.up() || !a.merge(b).up()).isTrue();
    assertThat(a.uptime() == null || a.merge(b).uptime().compareTo(a.uptime()) <= 0).isTrue();
  }

  /** Over two ways, each of up to what is held to be its bound, and with time held in between. */
  @Property(seed = "7", tries = 500)
  void agesAreNeverUnderstatedNorUptimesOverstated(
      @ForAll @DoubleRange(max = 1) double way,
      @ForAll @DoubleRange(max = 1) double secondWay,
      @ForAll @IntRange(max = 20) int heldThere,
      @ForAll @IntRange(max = 30) int heldHere,
      @ForAll @IntRange(max = 99) int upFor,
      @ForAll @IntRange(max = 9) int doubt) {
    FactStore first = new FactStore(member(1, 1), FEED);
    FactStore second = new FactStore(member(2, 1), FEED);
    FactStore third = new FactStore(member(3, 1), FEED);
    // Each has a clock of its own: they are 1,000 and 2,000 s apart.
    first.recordOwn(new Fact.CacheHealth(5, doubt, false, at(upFor)), at(0));
    second.receive(
        member(1, 1).address(), first.deltaFor(member(2, 1).address(), at(0), 9), at(1000 + way));
    FactDelta passed = second.deltaFor(member(3, 1).address(), at(1000 + way + heldThere), 9);
    double heard = 2000 + way + heldThere + secondWay;
    third.receive(member(2, 1).address(), passed, at(heard));
    CacheOpinion there = third.peerOpinion(5, at(heard + heldHere));

    double age = way + heldThere + secondWay + heldHere;
    assertThat(there.failureEvidence())
        .isLessThanOrEqualTo(doubt * Math.exp(-age / 20) + 1e-9)
        .isGreaterThanOrEqualTo(age + 2 < 60 ? doubt * Math.exp(-(age + 2) / 20) - 1e-9 : 0);
    assertThat(there.up() || age <= 20).as("down is believed no longer than evidence is").isTrue();
    assertThat(there.uptime())
        .isLessThanOrEqualTo(at(upFor + age))
        .isGreaterThanOrEqualTo(at(upFor + age - 2.001));
  }

  /** The feed's state after a number is all changes up to it; a list says it whole. */
  @Property(seed = "7", tries = 500)
  void updatesFollowTheFeedAndNeverGoBackwards(
      @ForAll @IntRange(max = 12) int applied,
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0.3, max = 1) double had) {
    Random chance = new Random(seed);
    EventLog log = new EventLog(FEED);
    long known = 0;
    long lowestLacking = Long.MAX_VALUE;
    List<Integer> order = new ArrayList<>(List.of(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12));
    Collections.shuffle(order, chance);
    Set<Long> lists = new HashSet<>();
    Set<Long> changes = new HashSet<>();
    for (int number : order) {
      if (chance.nextDouble() < had) {
        boolean list = chance.nextInt(5) == 0;
        log.add(event(number, list, list ? "all of " + number : "" + number), at(0));
        (list ? lists : changes).add((long) number);
        known = Math.max(known, number);
      }
    }
    long list = lists.stream().mapToLong(one -> one).max().orElse(0);
    long state = applied;
    EventLog.Updates next = log.updatesAfter(applied, at(1));
    if (next.snapshot() != null) {
      assertThat(next.snapshot().number()).isGreaterThan(state).isEqualTo(list);
      assertThat(next.snapshot().payload())
          .isEqualTo(payload("all of " + next.snapshot().number()));
      state = next.snapshot().number();
    }
    for (EventLog.PendingEvent item : next.changes()) {
      state++;
      assertThat(item.number()).isEqualTo(state);
      assertThat(item.payload()).isEqualTo(payload("" + state));
    }
    for (long number = state + 1; number <= known && lowestLacking == Long.MAX_VALUE; number++) {
      lowestLacking = changes.contains(number) && number > list ? Long.MAX_VALUE : number;
    }
    assertThat(next.firstMissing()).isEqualTo(state < known ? state + 1 : 0);
    assertThat(state >= known || lowestLacking == state + 1)
        .as("stops at what is missing alone")
        .isTrue();
  }

  @Test
  void conflictingPayloadsAreWithheldUntilNextSnapshot() {
    EventLog log = new EventLog(FEED);
    log.add(event(1, true, "all"), at(0));
    log.add(event(2, false, "drain a"), at(0));
    log.add(event(2, false, "drain b"), at(0));
    log.add(event(2, false, "drain a"), at(0));
    log.add(event(3, false, "purge"), at(0));

    assertThat(log.updatesAfter(1, at(1))).isEqualTo(new EventLog.Updates(null, List.of(), 2));
    assertThat(log.conflictingNumbers()).containsExactly(2L);
    log.add(event(3, true, "all"), at(0));
    assertThat(log.updatesAfter(1, at(1)).snapshot().number()).isEqualTo(3);
    assertThat(log.conflictingNumbers()).isEmpty();
    log.add(new Fact.Event(FEED, 1, 1, true, payload("anew")), at(0));
    log.add(event(4, false, "of the former numbers"), at(0));
    assertThat(log.contiguousUpTo()).isEqualTo(1);
  }

  @Test
  void floodIsBoundedAndOpinionsNeverEvictEvents() {
    FactStore facts = new FactStore(member(0, 1), FEED);
    facts.receive(
        List.of(
            new Fact(member(1, 1), 1, at(0), event(1, true, "all")),
            new Fact(member(1, 1), 2, at(0), event(2, false, "drain"))),
        at(100));
    for (int i = 1; i <= 3 * IncarnationFacts.MAX_FACTS; i++) {
      for (int origin = 1; origin <= 12; origin++) {
        facts.receive(
            List.of(
                new Fact(
                    member(origin, 1),
                    i,
                    at(0),
                    i % 8 != 1
                        ? new Fact.WorkInFlight(i, 1)
                        : new Fact.CacheHealth(i, 1, true, null))),
            at(100 + i / 1e3));
      }
    }
    FactDelta all = facts.deltaFor(member(99, 1).address(), at(107), Integer.MAX_VALUE);
    int held = all.ranges().stream().mapToInt(part -> part.facts().size()).sum();

    assertThat(held).isLessThanOrEqualTo(FactStore.MAX_FACTS);
    assertThat(facts.events().updatesAfter(1, at(107)).changes()).hasSize(1);
    assertThat(facts.peerOpinion(1, at(107)).failureEvidence())
        .as("the oldest opinion stays")
        .isPositive();
    assertThat(facts.peerWorkInFlight(2)).as("the oldest work in hand falls out first").isZero();
    for (int number = 3; number < 20_000; number++) {
      facts.recordOwn(event(number, false, "x".repeat(100)), at(108));
    }
    assertThat(facts.events().updatesAfter(2, at(108)).firstMissing())
        .as("a gap is known as one")
        .isEqualTo(3);
    assertThat(
            facts.receive(List.of(new Fact(member(1, 1), 3, at(0), event(3, false, "x"))), at(109)))
        .as("what fell out is not taken and passed on again")
        .isEmpty();
  }

  @Test
  void factsOfPreviousIncarnationAreDiscarded() {
    FactStore facts = new FactStore(member(0, 1), FEED);
    Fact old = new Fact(member(1, 1), 9, at(0), new Fact.WorkInFlight(5, 7));
    facts.receive(List.of(old), at(10));
    assertThat(facts.peerWorkInFlight(5)).isEqualTo(7);
    facts.onIncarnation(member(1, 2), at(11));
    assertThat(facts.peerWorkInFlight(5)).isZero();
    facts.deltaFor(member(2, 1).address(), at(30), 9);
    facts.receive(List.of(new Fact(member(1, 1), 9, at(20), new Fact.WorkInFlight(5, 7))), at(30));
    assertThat(facts.peerWorkInFlight(5)).isZero();
  }

  /**
   * A parcel is lost, and the next one comes before it is known: what came after the hole hides it
   * from nobody.
   */
  @Test
  void lostDeltaIsSentAgain() {
    Address one = member(1, 1).address();
    Address other = member(2, 1).address();
    FactStore sends = new FactStore(member(1, 1), FEED);
    FactStore hears = new FactStore(member(2, 1), FEED);
    sends.receive(other, hears.deltaFor(one, at(1), 9), at(1));
    sends.recordOwn(new Fact.WorkInFlight(1, 10), at(1));
    sends.deltaFor(other, at(1), 9);
    sends.recordOwn(new Fact.WorkInFlight(2, 20), at(1));
    hears.receive(one, sends.deltaFor(other, at(1), 9), at(1));

    assertThat(List.of(hears.peerWorkInFlight(1), hears.peerWorkInFlight(2)))
        .containsExactly(0.0, 20.0);
    sends.receive(other, hears.deltaFor(one, at(1), 9), at(1));
    hears.receive(one, sends.deltaFor(other, at(1), 9), at(1));
    assertThat(List.of(hears.peerWorkInFlight(1), hears.peerWorkInFlight(2)))
        .containsExactly(10.0, 20.0);
  }

  /**
   * Parcels to two others a round, each lost at odds of three in ten; a pushed event is lost
   * altogether but at one.
   */
  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void lostFactsAreRecoveredByExchange(long seed) {
    Random chance = new Random(seed);
    List<FactStore> fleet = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      fleet.add(new FactStore(member(i, 1), FEED));
      for (int cache = 0; cache < 30; cache++) {
        fleet.get(i).recordOwn(new Fact.CacheHealth(cache, i % 10, true, at(cache)), at(1));
      }
    }
    fleet.get(0).recordOwn(event(1, true, "all"), at(1));
    fleet.get(0).recordOwn(event(2, false, "drain"), at(1));
    int round = 0;
    for (;
        round < 60
            && !fleet.stream()
                .allMatch(
                    one ->
                        one.events().contiguousUpTo() == 2
                            && one.peerOpinion(29, at(2)).failureEvidence() > 7
                            && one.deltaFor(member(99, 1).address(), at(2), 9999).ranges().stream()
                                    .mapToInt(part -> part.facts().size())
                                    .sum()
                                == 24 * 30);
        round++) {
      Duration now = at(2 + round * 0.2);
      for (int from = 0; from < fleet.size(); from++) {
        for (int i = 0; i < 2; i++) {
          int to = chance.nextInt(fleet.size());
          FactDelta sent = fleet.get(from).deltaFor(member(to, 1).address(), now, 100);
          if (to != from && chance.nextDouble() > 0.3) {
            fleet.get(to).receive(member(from, 1).address(), sent, now);
          }
        }
      }
    }
    assertThat(round).isBetween(2, 40);
  }

  /**
   * Each word is lost at odds of one in five; each that hears passes it on at once and once more a
   * round later.
   */
  @ParameterizedTest
  @CsvSource({"48, 2", "128, 4", "500, 5"})
  void urgentFactReachesAllMembersInFewRounds(int size, int most) {
    List<Address> alive = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      alive.add(member(i, 1).address());
    }
    int slowest = 0;
    for (int seed = 1; seed <= 20; seed++) {
      Random chance = new Random(seed);
      int[] heardIn = new int[size];
      heardIn[0] = 1;
      int round = 1;
      for (; round <= most && !Arrays.stream(heardIn).allMatch(one -> one > 0); round++) {
        for (int i = 0; i < size; i++) {
          int turn = round - heardIn[i];
          if (heardIn[i] > 0 && (turn == 0 || turn == 1)) {
            for (Address to : FanoutPolicy.targets(alive, alive.get(i), seed * 1000L + i, turn)) {
              int place = alive.indexOf(to);
              if (heardIn[place] == 0 && chance.nextInt(5) > 0) {
                heardIn[place] = round + 1;
              }
            }
          }
        }
      }
      slowest = Math.max(slowest, round - 1);
    }
    assertThat(slowest).isLessThan(most + 1);
  }
}
