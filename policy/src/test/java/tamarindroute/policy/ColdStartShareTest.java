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
 * What all gateways together send to a cold cache, where the share of each is far less than one
 * request. Each has a policy of its own and knows of no other. Load is in seconds of transfer, ages
 * of the cache in seconds.
 */
class ColdStartShareTest {

  private static final double INITIAL_CAPACITY = 0.2;
  private static final double WARM_AFTER = 20;
  private static final double OVERLOAD_MULTIPLE = 3;
  private static final double WINDOW = 2;
  private static final double WEIGHT = 6;
  private static final PolicySettings.ColdStart COLD_START =
      new PolicySettings.ColdStart(
          INITIAL_CAPACITY, toDuration(WARM_AFTER), OVERLOAD_MULTIPLE, toDuration(WINDOW));

  /**
   * Load of one request; also the latency objective, which counts as the mean until it is measured.
   */
  private static final double WORK = 0.3;

  private static final double STARTED = 10;
  private static final double STEP = 0.05;

  /** More requests than any gateway's share admits. */
  private static final int MANY = 60;

  private final RequestClass requestClass = TestValues.cacheableClass(toDuration(WORK), 2);
  private final Cache cold = TestValues.cache(1, Cache.Tier.EDGE, WEIGHT);
  private final Cache parent = TestValues.cache(3, Cache.Tier.PARENT, WEIGHT);
  private final List<RatioTestPolicy> fleet = new ArrayList<>();
  private int objects;

  private void createFleet(int size) {
    cold.startedAt = toDuration(STARTED);
    for (int i = 0; i < size; i++) {
      PolicySettings settings =
          new PolicySettingsBuilder()
              .seed(4711 + i)
              .gateways(size)
              .siblingFill(false)
              .coldStart(COLD_START)
              .build();
      RatioTestPolicy policy = new RatioTestPolicy(settings);
      policy.onEndpoints(List.of(cold, parent), toDuration(STARTED));
      fleet.add(policy);
    }
  }

  /** Sends a request at an age of the cache; returns the load that the cache gets. */
  private double send(RatioTestPolicy policy, double age) {
    double now = STARTED + age;
    Request request =
        new Request(
            requestClass,
            ++objects,
            0,
            1,
            PolicySettingsBuilder.TRANSFER_RATE * WORK,
            toDuration(now),
            toDuration(now + 3));
    if (!(policy.route(request, toDuration(now)) instanceof Attempt attempt)
        || attempt.cache != cold) {
      return 0;
    }
    request.attempts.add(attempt);
    attempt.sentAt = toDuration(now);
    attempt.outcome =
        new Outcome(Outcome.Result.SERVED, Outcome.Detail.FILLED, toDuration(WORK), null, true);
    policy.onOutcome(request, attempt, toDuration(now + 0.001));
    return WORK;
  }

  /** Sends many requests to one gateway; returns the load that the cache gets. */
  private double sendMany(RatioTestPolicy policy, double age) {
    double load = 0;
    for (int i = 0; i < MANY; i++) {
      load += send(policy, age);
    }
    return load;
  }

  /**
   * Sends twice the load that overloads the warm cache, to gateways in turn; returns what the cache
   * gets in each step.
   */
  private List<Double> sendSteadily(List<RatioTestPolicy> gateways, double from, double to) {
    int requestsPerStep = (int) Math.ceil(2 * OVERLOAD_MULTIPLE * WEIGHT * STEP / WORK);
    List<Double> loads = new ArrayList<>();
    for (double age = from; age < to; age += STEP) {
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

  /** Returns the load within a window that overloads the cache at an age. */
  private static double overload(double age) {
    double warmth = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / WARM_AFTER;
    return OVERLOAD_MULTIPLE * Math.min(1, warmth) * WEIGHT * WINDOW;
  }

  /** Returns the load that overloads the cache from one age to another. */
  private static double overload(double from, double to) {
    double meanWarmth = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * (from + to) / 2 / WARM_AFTER;
    return OVERLOAD_MULTIPLE * WEIGHT * (to - from) * meanWarmth;
  }

  private static void assertNoWindowOverloads(List<Double> loads) {
    int width = (int) (WINDOW / STEP);
    for (int end = width; end <= loads.size(); end++) {
      assertThat(sum(loads.subList(end - width, end)))
          .as("to the age of %s", end * STEP)
          .isLessThan(1.1 * overload(end * STEP));
    }
  }

  private static void grant(
      List<RatioTestPolicy> gateways, double share, double age, double expiryAge) {
    gateways.forEach(
        policy ->
            policy.onQuotaGrant(
                Cache.Tier.EDGE,
                share,
                toDuration(STARTED + expiryAge),
                toDuration(STARTED + age)));
  }

  /**
   * All gateways, idle until now, want the cold cache at one moment: so it is after the loss of a
   * zone.
   */
  @ParameterizedTest
  @CsvSource({"100, 5", "100, 15", "300, 5", "300, 15", "1000, 10"})
  void idleGatewaysDoNotSendAtOnce(int size, double age) {
    createFleet(size);
    double load = fleet.stream().mapToDouble(policy -> send(policy, age)).sum();
    assertThat(load).isLessThan(overload(age));
  }

  /** Under steady demand no window overloads the cache, nor does it starve. */
  @ParameterizedTest
  @CsvSource({"4", "20", "100", "400"})
  void steadyDemandNeitherOverloadsNorStarves(int size) {
    createFleet(size);
    List<Double> loads = sendSteadily(fleet, 0, 15);
    assertNoWindowOverloads(loads);
    assertThat(sum(loads) / overload(0, 15)).isBetween(0.2, 0.95);
  }

  /**
   * Seven of ten gateways are dead: the others are granted their shares for 6 s, and have even
   * shares again after that.
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

  /** Otherwise each gateway would spend the savings anew within one window. */
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
   * Idle through a grant and past its end, a gateway has the savings of its even share; its health
   * figures never had more.
   */
  @Test
  void savingsAreCutAfterAGrant() {
    createFleet(10);
    RatioTestPolicy idle = fleet.get(0);
    grant(fleet, 0.9, 4, 10);
    double advertised = idle.cacheHealth(cold, toDuration(STARTED + 10)).maxConcurrentTransfers();
    assertThat(advertised).isCloseTo(0.07 * overload(10) / WINDOW, Offset.offset(1e-9));
    assertThat(sendMany(idle, 10)).isLessThan(0.05 * overload(10));
  }
}
