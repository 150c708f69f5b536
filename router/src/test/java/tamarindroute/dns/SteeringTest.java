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
import tamarindroute.dns.SteeringDecision.Reason;

/**
 * Who is answered, with the real module in time that is told; failures are brought about by the
 * list and by probes.
 */
class SteeringTest {

  private static final Predicate<DnsSettings.CacheAddress> ANY = address -> true;

  private static Duration at(double seconds) {
    return Duration.ofMillis(Math.round(seconds * 1000));
  }

  private final TwoLocationDirectory directory = new TwoLocationDirectory(6);

  private SteeringDecision any(Steering steering, double seconds) {
    return steering.choose(new SteeringTarget.AnyCache(directory.first), 1, ANY, at(seconds));
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
    DnsSettings.SteeringSettings settings = directory.steer(instances, 1, at(floor), 1);
    for (int i = 0; i < instances; i++) {
      all.add(directory.steering(settings));
    }
    Random random = new Random(5);
    List<Resolver> resolvers = new ArrayList<>();
    for (int i = 0; i < 240; i++) {
      resolvers.add(new Resolver(1));
      resolvers.get(i).until = random.nextDouble() * 10;
    }
    Cache restarted = directory.edges(0).get(0);
    double worst = 0;
    for (int tick = 0; tick < 1200; tick++) {
      double now = tick * 0.1;
      directory.feedReadAt = at(now);
      if (Math.abs(now - (40 - down)) < 0.01) {
        restarted.availability = Cache.Availability.GONE;
        directory.publishList(at(now));
      } else if (Math.abs(now - 40) < 0.01) {
        directory.restart(restarted, at(now));
      }
      for (Resolver one : resolvers) {
        if (one.until <= now && one.wakes > now) {
          one.keeps = null;
        } else if (one.until <= now) {
          SteeringDecision choice =
              all.get(random.nextInt(instances))
                  .choose(new SteeringTarget.AnyCache(directory.first), one.load, ANY, at(now));
          one.keeps =
              choice.addresses().isEmpty() ? null : directory.cacheOf(choice.addresses().get(0));
          one.until = now + Math.max(floor, Math.max(0.1, choice.ttl().toSeconds()));
          // Its clients stop when the answer's time is over and ask again when they next need it.
          one.wakes = one.until + random.nextDouble();
        }
      }
      if (now >= 40 && now < 60) {
        double load =
            resolvers.stream().filter(r -> r.keeps == restarted).mapToDouble(r -> r.load).sum();
        worst = Math.max(worst, load / TwoLocationDirectory.bound(restarted, at(now)));
      }
    }
    double atEnd =
        resolvers.stream().filter(r -> r.keeps == restarted).mapToDouble(r -> r.load).sum();
    return new Came(worst, atEnd, (resolvers.size() - atEnd) / (directory.edges(0).size() - 1));
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
    Steering steering = directory.steering(directory.steer(1, 1, at(30), 1));
    Cache restarted = directory.edges(0).get(0);
    SteeringTarget target = new SteeringTarget.AnyCache(directory.first);
    for (int i = 0; i < 600; i++) {
      steering.choose(target, 1, ANY, at(1));
    }
    double before = steering.outstandingLoad(directory.address(restarted), at(1));
    assertThat(before).isBetween(95.0, 105.0);
    directory.restart(restarted, at(2));
    for (int i = 0; i < 200; i++) {
      assertThat(steering.choose(target, 1, ANY, at(3)).addresses())
          .doesNotContain(directory.address(restarted));
    }
    // The old answers have run out, and what it bears has grown.
    assertThat(steering.outstandingLoad(directory.address(restarted), at(33))).isZero();
    Set<DnsSettings.CacheAddress> places = new HashSet<>();
    for (int i = 0; i < 12; i++) {
      places.addAll(steering.choose(target, 1, ANY, at(33)).addresses());
    }
    assertThat(places).contains(directory.address(restarted));
  }

  @Test
  void aMassRestartGivesEachItsBoundAndTurnsTheRestAwayWithTheReason() {
    Steering steering = directory.steering();
    directory.caches.stream()
        .filter(c -> c.tier == Cache.Tier.EDGE)
        .forEach(c -> c.startedAt = at(10));
    directory.publishList(at(10));
    Map<DnsSettings.CacheAddress, Integer> given = new HashMap<>();
    Map<Reason, Integer> reasons = new HashMap<>();
    for (int i = 0; i < 1000; i++) {
      SteeringDecision choice = any(steering, 10);
      reasons.merge(choice.reason(), 1, Integer::sum);
      choice.addresses().forEach(address -> given.merge(address, 1, Integer::sum));
      assertThat(choice.ttl()).isLessThanOrEqualTo(TwoLocationDirectory.LEAST);
    }
    assertThat(given).hasSize(8);
    given.forEach(
        (address, count) ->
            assertThat((double) count)
                .isLessThanOrEqualTo(
                    0.7 * TwoLocationDirectory.bound(directory.cacheOf(address), at(10)))
                .isGreaterThan(10));
    assertThat(reasons).containsKeys(Reason.ORDINARY, Reason.NEIGHBOUR, Reason.COLD);
  }

  @Test
  void whatDrainsIsInNoAnswerFromTheMomentThatTheListSaysSo() {
    Steering steering = directory.steering(directory.steer(1, 1, Duration.ZERO, 3));
    Random random = new Random(3);
    for (int round = 0; round < 200; round++) {
      double now = 5 + round;
      Cache drained = directory.edges(0).get(random.nextInt(6));
      drained.availability = Cache.Availability.DRAINING;
      directory.publishList(at(now));
      for (int part = 0; part < 16; part++) {
        for (SteeringTarget target :
            List.of(
                new SteeringTarget.AnyCache(directory.first),
                new SteeringTarget.HomeOfPartition(directory.first, part),
                new SteeringTarget.ForRequestClass(directory.first, TwoLocationDirectory.CACHEABLE),
                new SteeringTarget.ById(directory.address(drained).id()))) {
          SteeringDecision choice = steering.choose(target, 1, ANY, at(now));
          assertThat(choice.addresses()).doesNotContain(directory.address(drained));
          assertThat(choice.ttl()).isLessThanOrEqualTo(TwoLocationDirectory.LEAST);
        }
      }
      drained.availability = Cache.Availability.READY;
      directory.publishList(at(now + 0.5));
    }
  }

  @Test
  void partsKeepTheirHashedHomesAndOnlyThoseOfACacheThatGoesMove() {
    Steering steering = directory.steering();
    Map<Integer, Cache> homes = new HashMap<>();
    for (int part = 0; part < 16; part++) {
      homes.put(part, home(steering, part, 1));
      assertThat(home(steering, part, 1)).isEqualTo(homes.get(part));
    }
    assertThat(new HashSet<>(homes.values()).size()).isGreaterThan(3);
    Cache gone = homes.get(0);
    gone.availability = Cache.Availability.GONE;
    directory.publishList(at(2));
    for (int part = 0; part < 16; part++) {
      Cache now = home(steering, part, 3);
      if (homes.get(part) == gone) {
        assertThat(now).isNotEqualTo(gone);
      } else {
        assertThat(now).isEqualTo(homes.get(part));
      }
    }
    // Another instance, which knows nothing of this one, has the same homes.
    Steering other = directory.steering();
    for (int part = 0; part < 16; part++) {
      assertThat(home(other, part, 3)).isEqualTo(home(steering, part, 3));
    }
  }

  private Cache home(Steering steering, int part, double now) {
    return directory.cacheOf(
        steering
            .choose(new SteeringTarget.HomeOfPartition(directory.first, part), 0.01, ANY, at(now))
            .addresses()
            .get(0));
  }

  @Test
  void answersFollowTheWeights() {
    directory.edges(0).get(1).weight = 3 * TwoLocationDirectory.WEIGHT;
    Steering steering = directory.steering();
    Map<Cache, Integer> given = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      given.merge(directory.cacheOf(any(steering, 1).addresses().get(0)), 1, Integer::sum);
    }
    assertThat(given.get(directory.edges(0).get(1))).isBetween(297, 303);
    assertThat(given.get(directory.edges(0).get(0))).isBetween(98, 102);
  }

  @Test
  void ttlsAreShortWhileSomethingChangesAndGrowWithTheCalm() {
    Steering steering = directory.steering();
    assertThat(any(steering, 1).ttl()).isEqualTo(TwoLocationDirectory.LEAST);
    directory.feedReadAt = at(41);
    assertThat(any(steering, 41).ttl()).isEqualTo(Duration.ofSeconds(10));
    directory.feedReadAt = at(400);
    assertThat(any(steering, 400).ttl()).isEqualTo(TwoLocationDirectory.MOST);
    directory.edges(0).get(2).availability = Cache.Availability.DRAINING;
    directory.publishList(at(401));
    assertThat(any(steering, 401).ttl()).isEqualTo(TwoLocationDirectory.LEAST);
    directory.edges(0).get(2).availability = Cache.Availability.GONE;
    directory.publishList(at(402));
    assertThat(any(steering, 402).ttl()).isEqualTo(TwoLocationDirectory.LEAST);
    directory.feedReadAt = at(422);
    assertThat(any(steering, 422).ttl()).isEqualTo(Duration.ofSeconds(5));
  }

  @Test
  void lastResortsAreDecidedInOnePlaceWithTheirReason() {
    directory.listed = false;
    Steering steering = directory.steering();
    assertThat(any(steering, 1).reason()).isEqualTo(Reason.NO_LIST);
    directory.listed = true;
    bar(directory.edges(0), 2);
    assertThat(any(steering, 2).reason()).isEqualTo(Reason.NEIGHBOUR);
    bar(directory.edges(1), 2);
    SteeringDecision bad = any(steering, 2);
    assertThat(bad.reason()).isEqualTo(Reason.LEAST_BAD);
    assertThat(bad.ttl()).isEqualTo(TwoLocationDirectory.LEAST);
    directory.caches.forEach(c -> c.availability = Cache.Availability.DRAINING);
    directory.publishList(at(3));
    assertThat(any(steering, 3).reason()).isEqualTo(Reason.NONE_READY);
    assertThat(any(steering, 3).addresses()).isEmpty();
  }

  private void bar(List<Cache> caches, double now) {
    for (Cache cache : caches) {
      for (int i = 0; i < 3; i++) {
        directory.modules.forEach(
            m -> m.onHealthCheck(cache, Outcome.Result.CONNECT_FAILED, at(now)));
      }
    }
  }

  @Test
  void aSilentFeedLeavesTheLastListForItsTimeAndThenOnlyWhatProbesProve() {
    Steering steering = directory.steering();
    assertThat(any(steering, 6).reason()).isEqualTo(Reason.ORDINARY);
    SteeringDecision late = any(steering, 20);
    assertThat(late.reason()).isEqualTo(Reason.LAST_KNOWN);
    assertThat(late.ttl()).isEqualTo(TwoLocationDirectory.LEAST);
    assertThat(any(steering, 61).reason()).isEqualTo(Reason.FEED_LOST);
    Cache alive = directory.edges(0).get(3);
    directory.proven.put(alive, at(60));
    for (int i = 0; i < 20; i++) {
      assertThat(any(steering, 61).addresses()).containsExactly(directory.address(alive));
    }
  }

  @Test
  void aFeedLostInTheMidstOfADrainBringsNothingBackThatDrained() {
    Steering steering = directory.steering();
    Cache drained = directory.edges(0).get(4);
    drained.availability = Cache.Availability.DRAINING;
    directory.publishList(at(5));
    directory.proven.put(drained, at(70));
    for (double now : new double[] {5, 13, 64, 71}) {
      for (int i = 0; i < 20; i++) {
        assertThat(any(steering, now).addresses()).doesNotContain(directory.address(drained));
      }
    }
  }

  @Test
  void whatIsNotKeptGoesToTheOriginWhereThatMayBeReachedStraight() {
    SteeringDecision choice =
        directory
            .steering()
            .choose(
                new SteeringTarget.ForRequestClass(
                    directory.first, TwoLocationDirectory.UNCACHEABLE),
                1,
                ANY,
                at(1));
    assertThat(directory.cacheOf(choice.addresses().get(0)).tier).isEqualTo(Cache.Tier.ORIGIN);
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 8})
  void severalRecordsNameDifferentCachesAndNoneOfThemCold(int records) {
    Steering steering = directory.steering(directory.steer(1, 1, Duration.ZERO, records));
    Cache cold = directory.edges(0).get(0);
    directory.restart(cold, at(1));
    boolean alone = false;
    for (int i = 0; i < 50; i++) {
      List<DnsSettings.CacheAddress> places = any(steering, 2).addresses();
      assertThat(places).doesNotHaveDuplicates();
      alone |= places.equals(List.of(directory.address(cold)));
      assertThat(places.size() == 1 || !places.contains(directory.address(cold))).isTrue();
    }
    assertThat(alone).isTrue();
  }

  @Test
  void changedSettingsKeepTheAccountOfAnswersGivenBefore() {
    Steering steering = directory.steering(directory.steer(1, 1, at(20), 1));
    for (int i = 0; i < 60; i++) {
      any(steering, 1);
    }
    Cache cache = directory.edges(0).get(0);
    double before = steering.outstandingLoad(directory.address(cache), at(2));
    Map<String, tamarindroute.decision.RoutingPolicy> modules = new HashMap<>();
    directory.modules.forEach(
        module -> modules.put(module.rankedCaches(0).size() == 6 ? "shed-1" : "shed-2", module));
    Steering changed =
        new Steering(directory.steer(1, 1, at(5), 1), directory, modules, steering, at(2));
    assertThat(changed.outstandingLoad(directory.address(cache), at(2)))
        .isEqualTo(before)
        .isGreaterThan(5);
    assertThat(changed.outstandingLoad(directory.address(cache), at(40))).isZero();
  }
}
