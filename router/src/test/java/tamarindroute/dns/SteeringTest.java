package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome;
import tamarindroute.dns.SteeringDecision.Reason;

/** Tests the choice of caches with the real routing policy, by lists, health checks and time. */
class SteeringTest {

  private static final Predicate<DnsSettings.CacheAddress> ANY = address -> true;

  private static Duration at(double seconds) {
    return Duration.ofMillis(Math.round(seconds * 1000));
  }

  private final TwoLocationDirectory directory = new TwoLocationDirectory(6);

  private SteeringDecision any(Steering steering, double seconds) {
    return steering.choose(new SteeringTarget.AnyCache(directory.first), 1, ANY, at(seconds));
  }

  @Test
  void drainingCacheIsInNoAnswerOnceListedAsDraining() {
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
  void onlyPartitionsOfARemovedCacheMove() {
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
  void ttlIsShortDuringChangesAndGrowsWithoutThem() {
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
  void lastResortsHaveTheirReasons() {
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
  void silentFeedLeavesTheLastListAndThenOnlyCachesFoundReady() {
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
  void feedLostDuringADrainDoesNotRestoreTheDrainingCache() {
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
  void uncacheableRequestsGoToTheOriginWhereEdgeBypassIsAllowed() {
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
}
