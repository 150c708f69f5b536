package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.numeric.Seconds.toDuration;

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
 * Tests the total load that all gateways send to a cold cache. They guard against gateways that
 * each keep within their share of the cache but send at the same time, which overloads it. This
 * happens if the share of a gateway is far less than one request, and none knows of the others.
 * Load is in seconds of transfer, and ages of the cache are in seconds.
 */
class ColdStartShareTest {

  private static final double INITIAL_CAPACITY = 0.2;
  private static final double WARM_AFTER_SECONDS = 20;
  private static final double OVERLOAD_MULTIPLE = 3;
  private static final double WINDOW_SECONDS = 2;
  private static final double WEIGHT = 6;
  private static final PolicySettings.ColdStart COLD_START =
      new PolicySettings.ColdStart(
          INITIAL_CAPACITY,
          toDuration(WARM_AFTER_SECONDS),
          OVERLOAD_MULTIPLE,
          toDuration(WINDOW_SECONDS));

  /**
   * Load of one request. It is also the latency objective, which the policy uses as the mean
   * transfer time until one is measured.
   */
  private static final double REQUEST_SECONDS = 0.3;

  private static final double STARTED_SECONDS = 10;
  private static final double STEP_SECONDS = 0.05;

  /** Number of requests that exceeds any gateway's share. */
  private static final int REQUESTS_ABOVE_SHARE = 60;

  private final RequestClass requestClass =
      TestValues.cacheableClass(toDuration(REQUEST_SECONDS), 2);
  private final Cache cold = TestValues.cache(1, Cache.Tier.EDGE, WEIGHT);
  private final Cache parent = TestValues.cache(3, Cache.Tier.PARENT, WEIGHT);
  private final List<RatioTestPolicy> fleet = new ArrayList<>();
  private int objects;

  private void createFleet(int size) {
    cold.startedAt = toDuration(STARTED_SECONDS);
    for (int i = 0; i < size; i++) {
      PolicySettings settings =
          new PolicySettingsBuilder()
              .seed(4711 + i)
              .gateways(size)
              .siblingFill(false)
              .coldStart(COLD_START)
              .build();
      RatioTestPolicy policy = new RatioTestPolicy(settings);
      policy.onEndpoints(List.of(cold, parent), toDuration(STARTED_SECONDS));
      fleet.add(policy);
    }
  }

  /** Sends a request at an age of the cache and returns the load that reaches the cache. */
  private double send(RatioTestPolicy policy, double age) {
    double now = STARTED_SECONDS + age;
    Request request =
        new Request(
            requestClass,
            ++objects,
            0,
            1,
            PolicySettingsBuilder.TRANSFER_RATE_KB_PER_SECOND * REQUEST_SECONDS,
            toDuration(now),
            toDuration(now + 3));
    if (!(policy.route(request, toDuration(now)) instanceof Attempt attempt)
        || attempt.cache != cold) {
      return 0;
    }
    request.attempts.add(attempt);
    attempt.sentAt = toDuration(now);
    attempt.outcome =
        new Outcome(
            Outcome.Result.SERVED, Outcome.Detail.FILLED, toDuration(REQUEST_SECONDS), null, true);
    policy.onOutcome(request, attempt, toDuration(now + 0.001));
    return REQUEST_SECONDS;
  }

  /** Sends many requests to one gateway and returns the load that reaches the cache. */
  private double sendMany(RatioTestPolicy policy, double age) {
    double load = 0;
    for (int i = 0; i < REQUESTS_ABOVE_SHARE; i++) {
      load += send(policy, age);
    }
    return load;
  }

  /**
   * Sends twice the load that overloads the warm cache, to gateways in turn. Returns the load that
   * reaches the cache in each step.
   */
  private List<Double> sendSteadily(List<RatioTestPolicy> gateways, double from, double to) {
    int requestsPerStep =
        (int) Math.ceil(2 * OVERLOAD_MULTIPLE * WEIGHT * STEP_SECONDS / REQUEST_SECONDS);
    List<Double> loads = new ArrayList<>();
    for (double age = from; age < to; age += STEP_SECONDS) {
      double load = 0;
      for (int i = 0; i < requestsPerStep; i++) {
        load += send(gateways.get((objects * 7) % gateways.size()), age);
      }
      loads.add(load);
    }
    return loads;
  }

  private static double sum(List<Double> loads) {
    return loads.stream().mapToDouble(load -> load).sum();
  }

  /** Returns the load that overloads the cache within a window, at an age of the cache. */
  private static double overload(double age) {
    double warmth = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / WARM_AFTER_SECONDS;
    return OVERLOAD_MULTIPLE * Math.min(1, warmth) * WEIGHT * WINDOW_SECONDS;
  }

  /** Returns the load that overloads the cache between two ages. */
  private static double overload(double from, double to) {
    double meanWarmth =
        INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * (from + to) / 2 / WARM_AFTER_SECONDS;
    return OVERLOAD_MULTIPLE * WEIGHT * (to - from) * meanWarmth;
  }

  private static void assertNoWindowOverloads(List<Double> loads) {
    int width = (int) (WINDOW_SECONDS / STEP_SECONDS);
    for (int end = width; end <= loads.size(); end++) {
      assertThat(sum(loads.subList(end - width, end)))
          .as("to the age of %s", end * STEP_SECONDS)
          .isLessThan(1.1 * overload(end * STEP_SECONDS));
    }
  }

  private static void grant(
      List<RatioTestPolicy> gateways, double share, double age, double expiryAge) {
    gateways.forEach(
        policy ->
            policy.onQuotaGrant(
                Cache.Tier.EDGE,
                share,
                toDuration(STARTED_SECONDS + expiryAge),
                toDuration(STARTED_SECONDS + age)));
  }

  /**
   * All gateways have been idle and need the cold cache at the same moment, as after the loss of a
   * zone.
   */
  @ParameterizedTest
  @CsvSource({"100, 5", "100, 15", "300, 5", "300, 15", "1000, 10"})
  void idleGatewaysDoNotSendAtOnce(int size, double age) {
    createFleet(size);
    double load = fleet.stream().mapToDouble(policy -> send(policy, age)).sum();
    assertThat(load).isLessThan(overload(age));
  }

  /**
   * Under steady demand no window overloads the cache, and the cache gets a useful share of the
   * load.
   */
  @ParameterizedTest
  @CsvSource({"4", "20", "100", "400"})
  void steadyDemandNeitherOverloadsNorStarves(int size) {
    createFleet(size);
    List<Double> loads = sendSteadily(fleet, 0, 15);
    assertNoWindowOverloads(loads);
    assertThat(sum(loads) / overload(0, 15)).isBetween(0.2, 0.95);
  }

  /**
   * Seven of ten gateways are dead. The others are granted the shares of the dead ones for 6 s and
   * have their even shares again after that.
   */
  @Test
  void grantedSharesOfDeadGatewaysAreUsed() {
    createFleet(10);
    List<RatioTestPolicy> alive = fleet.subList(0, 3);
    List<Double> loads = new ArrayList<>(sendSteadily(alive, 0, 4));
    assertThat(sum(loads) / overload(0, 4)).as("with even shares").isBetween(0.15, 0.22);
    grant(alive, 1 / 3.0, 4, 10);
    List<Double> granted = sendSteadily(alive, 4, 10);
    assertThat(sum(granted) / overload(4, 10)).as("with the grant").isBetween(0.62, 0.72);
    List<Double> after = sendSteadily(alive, 10, 16);
    assertThat(sum(after) / overload(10, 16)).as("after the grant").isBetween(0.18, 0.22);
    loads.addAll(granted);
    loads.addAll(after);
    assertNoWindowOverloads(loads);
  }

  /**
   * What a gateway has saved up must not grow with a grant. Otherwise each gateway in turn would
   * spend the larger savings within one window.
   */
  @Test
  void savingsDoNotMoveWithAGrant() {
    createFleet(10);
    double load = 0;
    for (int i = 0; i < fleet.size(); i++) {
      double age = 12 + 0.1 * i;
      grant(fleet, 0.01, age, 20);
      grant(fleet.subList(i, i + 1), 0.91, age, 20);
      load += sendMany(fleet.get(i), age + 0.099);
    }
    assertThat(load).isBetween(0.1 * overload(12), 0.5 * overload(13));
  }

  /**
   * A gateway that is idle during a grant and past its end has only the savings of its even share.
   * Its health figures never exceed the even share.
   */
  @Test
  void savingsAreCutAfterAGrant() {
    createFleet(10);
    RatioTestPolicy idle = fleet.get(0);
    grant(fleet, 0.9, 4, 10);
    double advertised =
        idle.cacheHealth(cold, toDuration(STARTED_SECONDS + 10)).maxConcurrentTransfers();
    assertThat(advertised).isCloseTo(0.07 * overload(10) / WINDOW_SECONDS, Offset.offset(1e-9));
    assertThat(sendMany(idle, 10)).isLessThan(0.05 * overload(10));
  }
}
