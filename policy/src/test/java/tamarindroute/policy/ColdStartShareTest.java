package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;

/**
 * What a cold cache bears, over all gateways: each with a module of its own, none knows of another.
 * The cases are those in which a gateway's part is far less than one view.
 */
class ColdStartShareTest {

  private static final double FROM = 0.2;
  private static final double WARM = 20;
  private static final double MULTIPLE = 3;
  private static final double WINDOW = 2;
  private static final double WEIGHT = 6;

  /** A view's sending time, which is also the profile's mean from the start: the agreed time. */
  private static final double WORK = 0.3;

  private static final double STEP = 0.05;

  private final RequestClass requestClass =
      new RequestClass(
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.DeduplicationScope.ALL,
          Duration.ZERO,
          Duration.ofMillis(300),
          2,
          true,
          Duration.ZERO);
  private final Cache cold = cache(1, Cache.Tier.EDGE);
  private final Cache parent = cache(3, Cache.Tier.PARENT);
  private final List<RatioTestPolicy> fleet = new ArrayList<>();
  private int objects;

  private static Cache cache(long stableId, Cache.Tier tier) {
    Cache cache = new Cache(stableId);
    cache.tier = tier;
    cache.weight = WEIGHT;
    return cache;
  }

  private static Duration at(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  private void fleet(int size) {
    PolicySettings.ColdStart start =
        new PolicySettings.ColdStart(FROM, at(WARM), MULTIPLE, at(WINDOW));
    cold.startedAt = at(10);
    for (int i = 0; i < size; i++) {
      RatioTestPolicy policy =
          new RatioTestPolicy(
              new PolicySettings(
                  4711 + i,
                  0,
                  size,
                  size,
                  List.of(0),
                  1000,
                  0,
                  false,
                  false,
                  true,
                  false,
                  true,
                  null,
                  8,
                  start,
                  start,
                  Duration.ofSeconds(6),
                  PolicySettings.WeightMeaning.ROUGH));
      policy.onEndpoints(List.of(cold, parent), at(10));
      fleet.add(policy);
    }
  }

  /** A view that takes its whole way; whether the cold cache had it. */
  private boolean reachesColdCache(RatioTestPolicy policy, double now) {
    Request request = new Request(requestClass, ++objects, 0, 1, WORK * 1000, at(now), at(now + 3));
    if (!(policy.route(request, at(now)) instanceof Attempt attempt) || attempt.cache != cold) {
      return false;
    }
    request.attempts.add(attempt);
    attempt.sentAt = at(now);
    attempt.outcome =
        new Outcome(Outcome.Result.SERVED, Outcome.Detail.FILLED, at(WORK), null, true);
    policy.onOutcome(request, attempt, at(now + 0.001));
    return true;
  }

  private static double bearable(double age) {
    return MULTIPLE * Math.min(1, FROM + (1 - FROM) * age / WARM) * WEIGHT * WINDOW;
  }

  /** Idle until now, all gateways want the cold cache at one moment: a zone's loss does that. */
  @ParameterizedTest
  @CsvSource({"100, 5", "100, 15", "300, 5", "300, 15", "1000, 10"})
  void gatewaysThatWereIdleDoNotComeTogether(int size, double age) {
    fleet(size);
    long had = fleet.stream().filter(policy -> reachesColdCache(policy, 10 + age)).count();
    assertThat(had * WORK).isLessThan(bearable(age));
  }

  /**
   * Under steady demand no window holds more than the cache bears, and the cache does not starve
   * either.
   */
  @ParameterizedTest
  @CsvSource({"4", "20", "100", "400"})
  void anyWindowKeepsToWhatItBearsAndItIsNotStarved(int size) {
    fleet(size);
    double step = 0.05;
    List<Integer> each = new ArrayList<>();
    for (double age = 0; age < 15; age += step) {
      int had = 0;
      // Twice what it bears warm, from gateways in turn.
      int wanted = (int) Math.ceil(2 * MULTIPLE * WEIGHT * step / WORK);
      for (int i = 0; i < wanted; i++) {
        had += reachesColdCache(fleet.get((objects * 7) % size), 10 + age) ? 1 : 0;
      }
      each.add(had);
    }
    int width = (int) (WINDOW / step);
    double all = 0;
    for (int end = width; end <= each.size(); end++) {
      double inWindow = WORK * each.subList(end - width, end).stream().mapToInt(n -> n).sum();
      assertThat(inWindow)
          .as("to the age of %s", end * step)
          .isLessThan(1.1 * bearable(end * step));
    }
    for (int had : each) {
      all += had * WORK;
    }
    double borne = MULTIPLE * WEIGHT * 15 * (FROM + (1 - FROM) * 15 / WARM / 2);
    assertThat(all / borne).isBetween(0.2, 0.95);
  }

  /**
   * What reached the cold cache in each step of 50 ms, from an age to another: twice what it bears
   * warm is wanted.
   */
  private List<Double> steady(List<RatioTestPolicy> wanting, double from, double to) {
    List<Double> each = new ArrayList<>();
    for (double age = from; age < to; age += STEP) {
      double had = 0;
      for (int i = 0; i < Math.ceil(2 * MULTIPLE * WEIGHT * STEP / WORK); i++) {
        had += reachesColdCache(wanting.get((objects * 7) % wanting.size()), 10 + age) ? WORK : 0;
      }
      each.add(had);
    }
    return each;
  }

  private static double sum(List<Double> each) {
    return each.stream().mapToDouble(had -> had).sum();
  }

  /** What a cache bears from an age to another, all gateways together. */
  private static double borne(double from, double to) {
    return MULTIPLE * WEIGHT * (to - from) * (FROM + (1 - FROM) * (from + to) / 2 / WARM);
  }

  private static void grant(List<RatioTestPolicy> to, double share, double age, double until) {
    to.forEach(policy -> policy.onQuotaGrant(Cache.Tier.EDGE, share, at(10 + until), at(10 + age)));
  }

  /**
   * Seven of ten are dead: those left were dealt what the dead held, for 6 s, and have their even
   * share again after.
   */
  @Test
  void whatTheDeadHeldIsUsedAndNoWindowHoldsMoreThanItBears() {
    fleet(10);
    List<RatioTestPolicy> left = fleet.subList(0, 3);
    List<Double> each = steady(left, 0, 4);
    assertThat(sum(each) / borne(0, 4)).as("with even shares").isBetween(0.15, 0.22);
    grant(left, 1 / 3.0, 4, 10);
    List<Double> dealt = steady(left, 4, 10);
    assertThat(sum(dealt) / borne(4, 10)).as("with what the dead held").isBetween(0.62, 0.72);
    List<Double> after = steady(left, 10, 16);
    assertThat(sum(after) / borne(10, 16)).as("after the lease").isBetween(0.18, 0.22);
    each.addAll(dealt);
    each.addAll(after);
    int width = (int) (WINDOW / STEP);
    for (int end = width; end <= each.size(); end++) {
      assertThat(sum(each.subList(end - width, end)))
          .as("to the age of %s", end * STEP)
          .isLessThan(1.1 * bearable(end * STEP));
    }
  }

  /**
   * Parts that go from one to the next do not bring savings with them: each would spend them anew
   * in one window.
   */
  @Test
  void savingsDoNotFollowAPartFromOneToTheNext() {
    fleet(10);
    double had = 0;
    for (int i = 0; i < 10; i++) {
      double age = 12 + 0.1 * i;
      grant(fleet, 0.01, age, 20);
      grant(fleet.subList(i, i + 1), 0.91, age, 20);
      for (int n = 0; n < 60; n++) {
        had += reachesColdCache(fleet.get(i), 10 + age + 0.099) ? WORK : 0;
      }
    }
    assertThat(had).isBetween(0.1 * bearable(12), 0.5 * bearable(13));
  }

  /**
   * Idle through a lease and past its end, a gateway has the savings of its even share, and names
   * never had more.
   */
  @Test
  void savingsAreCutWhenALeaseHasEnded() {
    fleet(10);
    grant(fleet, 0.9, 4, 10);
    double even = fleet.get(0).cacheHealth(cold, at(20)).maxConcurrentTransfers();
    assertThat(even).isCloseTo(0.07 * bearable(10) / WINDOW, Offset.offset(1e-9));
    double had = 0;
    for (int n = 0; n < 60; n++) {
      had += reachesColdCache(fleet.get(0), 10 + 10) ? WORK : 0;
    }
    assertThat(had).isLessThan(0.05 * bearable(10));
  }
}
