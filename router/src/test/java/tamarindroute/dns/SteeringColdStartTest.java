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
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.SteeringDecision.Reason;

/** Tests that answers respect the slow start of cold caches. */
class SteeringColdStartTest {

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
    Cache cached;
    double until = -1;
    double wakes = -1;

    Resolver(double load) {
      this.load = load;
    }
  }

  /**
   * Result of a simulation.
   *
   * @param worst most load on the cold cache, relative to what overloads it
   * @param atEnd load on the restarted cache at the end
   * @param others mean load on the other edges at the end
   */
  private record Outcome(double worst, double atEnd, double others) {}

  private static final int TICKS = 1200;
  private static final double SECONDS_PER_TICK = 0.1;
  private static final double RESTART_SECONDS = 40;
  private static final double END_OF_COLD_SECONDS = 60;

  /**
   * Resolvers query any instance at random; a cache is gone for a time and restarts cold at 40 s.
   *
   * @param floor least time in seconds for which resolvers cache an answer
   * @param down seconds before the restart at which the cache goes
   */
  private Outcome simulateResolvers(int instances, double floor, double down) {
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
    for (int tick = 0; tick < TICKS; tick++) {
      double now = tick * SECONDS_PER_TICK;
      publishStateOf(restarted, now, RESTART_SECONDS - down);
      for (Resolver resolver : resolvers) {
        step(resolver, all, random, floor, now);
      }
      if (now >= RESTART_SECONDS && now < END_OF_COLD_SECONDS) {
        double bound = TwoLocationDirectory.bound(restarted, at(now));
        worst = Math.max(worst, loadOn(restarted, resolvers) / bound);
      }
    }
    double atEnd = loadOn(restarted, resolvers);
    double others = (resolvers.size() - atEnd) / (directory.edges(0).size() - 1);
    return new Outcome(worst, atEnd, others);
  }

  private void publishStateOf(Cache restarted, double now, double goneAt) {
    directory.feedReadAt = at(now);
    if (Math.abs(now - goneAt) < 0.01) {
      restarted.availability = Cache.Availability.GONE;
      directory.publishList(at(now));
    } else if (Math.abs(now - RESTART_SECONDS) < 0.01) {
      directory.restart(restarted, at(now));
    }
  }

  /** Lets a resolver drop an expired answer, or query again once its clients need it. */
  private void step(
      Resolver resolver, List<Steering> instances, Random random, double floor, double now) {
    if (resolver.until > now) {
      return;
    }
    if (resolver.wakes > now) {
      resolver.cached = null;
      return;
    }
    SteeringDecision decision =
        instances
            .get(random.nextInt(instances.size()))
            .choose(new SteeringTarget.AnyCache(directory.first), resolver.load, ANY, at(now));
    resolver.cached =
        decision.addresses().isEmpty() ? null : directory.cacheOf(decision.addresses().get(0));
    resolver.until = now + Math.max(floor, Math.max(0.1, decision.ttl().toSeconds()));
    resolver.wakes = resolver.until + random.nextDouble();
  }

  private static double loadOn(Cache cache, List<Resolver> resolvers) {
    return resolvers.stream()
        .filter(resolver -> resolver.cached == cache)
        .mapToDouble(resolver -> resolver.load)
        .sum();
  }

  @ParameterizedTest
  @CsvSource({"1, 0", "4, 0", "1, 10", "4, 10"})
  void coldCacheGetsAtMostItsBoundAndItsFullShareOnceWarm(int instances, double floor) {
    Outcome outcome = simulateResolvers(instances, floor, 35);
    assertThat(outcome.worst)
        .as("of what pushes it over")
        .isLessThanOrEqualTo(0.7001)
        .isGreaterThan(0.1);
    assertThat(outcome.atEnd)
        .as("its share in the end, the others %s", outcome.others)
        .isBetween(0.85 * outcome.others, 1.15 * outcome.others);
  }

  @Test
  void answersGivenBeforeTheRestartCountAgainstTheColdBound() {
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
  void massRestartFillsEachBoundAndLeavesTheRestUnanswered() {
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

  @ParameterizedTest
  @ValueSource(ints = {2, 8})
  void severalAddressesAreDistinctAndNoneIsCold(int records) {
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
  void changedSettingsKeepTheLoadOfEarlierAnswers() {
    Steering steering = directory.steering(directory.steer(1, 1, at(20), 1));
    for (int i = 0; i < 60; i++) {
      any(steering, 1);
    }
    Cache cache = directory.edges(0).get(0);
    double before = steering.outstandingLoad(directory.address(cache), at(2));
    Map<String, RoutingPolicy> modules = new HashMap<>();
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
