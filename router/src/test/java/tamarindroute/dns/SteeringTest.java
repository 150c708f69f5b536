package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome;
import tamarindroute.dns.Choice.Reason;

/**
 * Who is answered, with the real module in time that is told; failures are brought about by the
 * list and by probes.
 */
class SteeringTest {

  private static final Predicate<DnsSettings.Place> ANY = place -> true;

  private static Duration at(double seconds) {
    return Duration.ofMillis(Math.round(seconds * 1000));
  }

  private final Shed shed = new Shed(6);

  private Choice any(Steering steering, double seconds) {
    return steering.choose(new Wish.AnyOf(shed.first), 1, ANY, at(seconds));
  }

  /** A resolver that keeps an answer for its TTL and brings its clients' load meanwhile. */
  private static final class Resolver {
    final double load;
    Cache keeps;
    double until = -1;
    double wakes = -1;

    Resolver(double load) {
      this.load = load;
    }
  }

  /**
   * The most that was steered to a cold cache, as a part of what pushes it over, and its load at
   * the end.
   */
  private record Came(double worst, double atEnd, double others) {}

  /**
   * Resolvers ask whichever instance they like; the cache starts cold at 40 s, gone since 5 s or
   * more before.
   */
  private Came resolversOver(int instances, double floor, double down) {
    List<Steering> all = new ArrayList<>();
    DnsSettings.Steer settings = shed.steer(instances, 1, at(floor), 1);
    for (int i = 0; i < instances; i++) {
      all.add(shed.steering(settings));
    }
    Random random = new Random(5);
    List<Resolver> resolvers = new ArrayList<>();
    for (int i = 0; i < 240; i++) {
      resolvers.add(new Resolver(1));
      resolvers.get(i).until = random.nextDouble() * 10;
    }
    Cache restarted = shed.edges(0).get(0);
    double worst = 0;
    for (int tick = 0; tick < 1200; tick++) {
      double now = tick * 0.1;
      shed.heardAt = at(now);
      if (Math.abs(now - (40 - down)) < 0.01) {
        restarted.availability = Cache.Availability.GONE;
        shed.tell(at(now));
      } else if (Math.abs(now - 40) < 0.01) {
        shed.restart(restarted, at(now));
      }
      for (Resolver one : resolvers) {
        if (one.until <= now && one.wakes > now) {
          one.keeps = null;
        } else if (one.until <= now) {
          Choice choice =
              all.get(random.nextInt(instances))
                  .choose(new Wish.AnyOf(shed.first), one.load, ANY, at(now));
          one.keeps = choice.places().isEmpty() ? null : shed.cacheOf(choice.places().get(0));
          one.until = now + Math.max(floor, Math.max(0.1, choice.ttl().toSeconds()));
          // Its clients stop when the answer's time is over and ask again when they next need it.
          one.wakes = one.until + random.nextDouble();
        }
      }
      if (now >= 40 && now < 60) {
        double load =
            resolvers.stream().filter(r -> r.keeps == restarted).mapToDouble(r -> r.load).sum();
        worst = Math.max(worst, load / Shed.bound(restarted, at(now)));
      }
    }
    double atEnd =
        resolvers.stream().filter(r -> r.keeps == restarted).mapToDouble(r -> r.load).sum();
    return new Came(worst, atEnd, (resolvers.size() - atEnd) / (shed.edges(0).size() - 1));
  }

  @ParameterizedTest
  @CsvSource({"1, 0", "4, 0", "1, 10", "4, 10"})
  void aCacheRestartedColdGetsItsBoundAtMostAndItsWholeShareOnceWarm(int instances, double floor) {
    Came came = resolversOver(instances, floor, 35);
    assertThat(came.worst)
        .as("of what pushes it over")
        .isLessThanOrEqualTo(0.7001)
        .isGreaterThan(0.1);
    assertThat(came.atEnd)
        .as("its share in the end, the others %s", came.others)
        .isBetween(0.85 * came.others, 1.15 * came.others);
  }

  @Test
  void answersFromBeforeTheRestartCountAgainstTheColdBound() {
    Steering steering = shed.steering(shed.steer(1, 1, at(30), 1));
    Cache restarted = shed.edges(0).get(0);
    Wish wish = new Wish.AnyOf(shed.first);
    for (int i = 0; i < 600; i++) {
      steering.choose(wish, 1, ANY, at(1));
    }
    double before = steering.steered(shed.place(restarted), at(1));
    assertThat(before).isBetween(95.0, 105.0);
    shed.restart(restarted, at(2));
    for (int i = 0; i < 200; i++) {
      assertThat(steering.choose(wish, 1, ANY, at(3)).places())
          .doesNotContain(shed.place(restarted));
    }
    // The old answers have run out, and what it bears has grown.
    assertThat(steering.steered(shed.place(restarted), at(33))).isZero();
    Set<DnsSettings.Place> places = new HashSet<>();
    for (int i = 0; i < 12; i++) {
      places.addAll(steering.choose(wish, 1, ANY, at(33)).places());
    }
    assertThat(places).contains(shed.place(restarted));
  }

  @Test
  void aMassRestartGivesEachItsBoundAndTurnsTheRestAwayWithTheReason() {
    Steering steering = shed.steering();
    shed.caches.stream().filter(c -> c.tier == Cache.Tier.EDGE).forEach(c -> c.startedAt = at(10));
    shed.tell(at(10));
    Map<DnsSettings.Place, Integer> given = new HashMap<>();
    Map<Reason, Integer> reasons = new HashMap<>();
    for (int i = 0; i < 1000; i++) {
      Choice choice = any(steering, 10);
      reasons.merge(choice.reason(), 1, Integer::sum);
      choice.places().forEach(place -> given.merge(place, 1, Integer::sum));
      assertThat(choice.ttl()).isLessThanOrEqualTo(Shed.LEAST);
    }
    assertThat(given).hasSize(8);
    given.forEach(
        (place, count) ->
            assertThat((double) count)
                .isLessThanOrEqualTo(0.7 * Shed.bound(shed.cacheOf(place), at(10)))
                .isGreaterThan(10));
    assertThat(reasons).containsKeys(Reason.ORDINARY, Reason.NEIGHBOUR, Reason.COLD);
  }

  @Test
  void whatDrainsIsInNoAnswerFromTheMomentThatTheListSaysSo() {
    Steering steering = shed.steering(shed.steer(1, 1, Duration.ZERO, 3));
    Random random = new Random(3);
    for (int round = 0; round < 200; round++) {
      double now = 5 + round;
      Cache drained = shed.edges(0).get(random.nextInt(6));
      drained.availability = Cache.Availability.DRAINING;
      shed.tell(at(now));
      for (int part = 0; part < 16; part++) {
        for (Wish wish :
            List.of(
                new Wish.AnyOf(shed.first),
                new Wish.HomeOf(shed.first, part),
                new Wish.ForProfile(shed.first, Shed.KEPT),
                new Wish.ById(shed.place(drained).id()))) {
          Choice choice = steering.choose(wish, 1, ANY, at(now));
          assertThat(choice.places()).doesNotContain(shed.place(drained));
          assertThat(choice.ttl()).isLessThanOrEqualTo(Shed.LEAST);
        }
      }
      drained.availability = Cache.Availability.READY;
      shed.tell(at(now + 0.5));
    }
  }

  @Test
  void partsKeepTheirHashedHomesAndOnlyThoseOfACacheThatGoesMove() {
    Steering steering = shed.steering();
    Map<Integer, Cache> homes = new HashMap<>();
    for (int part = 0; part < 16; part++) {
      homes.put(part, home(steering, part, 1));
      assertThat(home(steering, part, 1)).isEqualTo(homes.get(part));
    }
    assertThat(new HashSet<>(homes.values()).size()).isGreaterThan(3);
    Cache gone = homes.get(0);
    gone.availability = Cache.Availability.GONE;
    shed.tell(at(2));
    for (int part = 0; part < 16; part++) {
      Cache now = home(steering, part, 3);
      if (homes.get(part) == gone) {
        assertThat(now).isNotEqualTo(gone);
      } else {
        assertThat(now).isEqualTo(homes.get(part));
      }
    }
    // Another instance, which knows nothing of this one, has the same homes.
    Steering other = shed.steering();
    for (int part = 0; part < 16; part++) {
      assertThat(home(other, part, 3)).isEqualTo(home(steering, part, 3));
    }
  }

  private Cache home(Steering steering, int part, double now) {
    return shed.cacheOf(
        steering.choose(new Wish.HomeOf(shed.first, part), 0.01, ANY, at(now)).places().get(0));
  }

  @Test
  void answersFollowTheWeights() {
    shed.edges(0).get(1).weight = 3 * Shed.WEIGHT;
    Steering steering = shed.steering();
    Map<Cache, Integer> given = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      given.merge(shed.cacheOf(any(steering, 1).places().get(0)), 1, Integer::sum);
    }
    assertThat(given.get(shed.edges(0).get(1))).isBetween(297, 303);
    assertThat(given.get(shed.edges(0).get(0))).isBetween(98, 102);
  }

  @Test
  void ttlsAreShortWhileSomethingChangesAndGrowWithTheCalm() {
    Steering steering = shed.steering();
    assertThat(any(steering, 1).ttl()).isEqualTo(Shed.LEAST);
    shed.heardAt = at(41);
    assertThat(any(steering, 41).ttl()).isEqualTo(Duration.ofSeconds(10));
    shed.heardAt = at(400);
    assertThat(any(steering, 400).ttl()).isEqualTo(Shed.MOST);
    shed.edges(0).get(2).availability = Cache.Availability.DRAINING;
    shed.tell(at(401));
    assertThat(any(steering, 401).ttl()).isEqualTo(Shed.LEAST);
    shed.edges(0).get(2).availability = Cache.Availability.GONE;
    shed.tell(at(402));
    assertThat(any(steering, 402).ttl()).isEqualTo(Shed.LEAST);
    shed.heardAt = at(422);
    assertThat(any(steering, 422).ttl()).isEqualTo(Duration.ofSeconds(5));
  }

  @Test
  void lastResortsAreDecidedInOnePlaceWithTheirReason() {
    shed.listed = false;
    Steering steering = shed.steering();
    assertThat(any(steering, 1).reason()).isEqualTo(Reason.NO_LIST);
    shed.listed = true;
    bar(shed.edges(0), 2);
    assertThat(any(steering, 2).reason()).isEqualTo(Reason.NEIGHBOUR);
    bar(shed.edges(1), 2);
    Choice bad = any(steering, 2);
    assertThat(bad.reason()).isEqualTo(Reason.LEAST_BAD);
    assertThat(bad.ttl()).isEqualTo(Shed.LEAST);
    shed.caches.forEach(c -> c.availability = Cache.Availability.DRAINING);
    shed.tell(at(3));
    assertThat(any(steering, 3).reason()).isEqualTo(Reason.NONE_READY);
    assertThat(any(steering, 3).places()).isEmpty();
  }

  private void bar(List<Cache> caches, double now) {
    for (Cache cache : caches) {
      for (int i = 0; i < 3; i++) {
        shed.modules.forEach(m -> m.onHealthCheck(cache, Outcome.Result.CONNECT_FAILED, at(now)));
      }
    }
  }

  @Test
  void aSilentFeedLeavesTheLastListForItsTimeAndThenOnlyWhatProbesProve() {
    Steering steering = shed.steering();
    assertThat(any(steering, 6).reason()).isEqualTo(Reason.ORDINARY);
    Choice late = any(steering, 20);
    assertThat(late.reason()).isEqualTo(Reason.LAST_KNOWN);
    assertThat(late.ttl()).isEqualTo(Shed.LEAST);
    assertThat(any(steering, 61).reason()).isEqualTo(Reason.FEED_LOST);
    Cache alive = shed.edges(0).get(3);
    shed.proven.put(alive, at(60));
    for (int i = 0; i < 20; i++) {
      assertThat(any(steering, 61).places()).containsExactly(shed.place(alive));
    }
  }

  @Test
  void aFeedLostInTheMidstOfADrainBringsNothingBackThatDrained() {
    Steering steering = shed.steering();
    Cache drained = shed.edges(0).get(4);
    drained.availability = Cache.Availability.DRAINING;
    shed.tell(at(5));
    shed.proven.put(drained, at(70));
    for (double now : new double[] {5, 13, 64, 71}) {
      for (int i = 0; i < 20; i++) {
        assertThat(any(steering, now).places()).doesNotContain(shed.place(drained));
      }
    }
  }

  @Test
  void whatIsNotKeptGoesToTheOriginWhereThatMayBeReachedStraight() {
    Choice choice =
        shed.steering().choose(new Wish.ForProfile(shed.first, Shed.PASSED), 1, ANY, at(1));
    assertThat(shed.cacheOf(choice.places().get(0)).tier).isEqualTo(Cache.Tier.ORIGIN);
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 8})
  void severalRecordsNameDifferentCachesAndNoneOfThemCold(int records) {
    Steering steering = shed.steering(shed.steer(1, 1, Duration.ZERO, records));
    Cache cold = shed.edges(0).get(0);
    shed.restart(cold, at(1));
    boolean alone = false;
    for (int i = 0; i < 50; i++) {
      List<DnsSettings.Place> places = any(steering, 2).places();
      assertThat(places).doesNotHaveDuplicates();
      alone |= places.equals(List.of(shed.place(cold)));
      assertThat(places.size() == 1 || !places.contains(shed.place(cold))).isTrue();
    }
    assertThat(alone).isTrue();
  }

  @Test
  void changedSettingsKeepTheAccountOfAnswersGivenBefore() {
    Steering steering = shed.steering(shed.steer(1, 1, at(20), 1));
    for (int i = 0; i < 60; i++) {
      any(steering, 1);
    }
    Cache cache = shed.edges(0).get(0);
    double before = steering.steered(shed.place(cache), at(2));
    Map<String, tamarindroute.decision.RoutingPolicy> modules = new HashMap<>();
    shed.modules.forEach(
        module -> modules.put(module.rankedCaches(0).size() == 6 ? "shed-1" : "shed-2", module));
    Steering changed = new Steering(shed.steer(1, 1, at(5), 1), shed, modules, steering, at(2));
    assertThat(changed.steered(shed.place(cache), at(2))).isEqualTo(before).isGreaterThan(5);
    assertThat(changed.steered(shed.place(cache), at(40))).isZero();
  }
}
