package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.numeric.Seconds.toDuration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.decision.Cache;

/**
 * Tests the total load that a whole fleet sends to cold caches. They guard against gateways that
 * keep within their own shares but overload a cache together, since no gateway knows of the others.
 */
class ColdStartFleetTest {

  private static final double START_SECONDS = 20;
  private static final double WINDOW_SECONDS = ColdStartFleet.WINDOW_SECONDS;
  private static final double ORIGIN_WEIGHT = 50;

  private static void checkNoOverload(ColdStartFleet fleet) {
    assertThat(fleet.meter().peakShares()).as("arrivals at cold caches").isNotEmpty();
    fleet
        .meter()
        .peakShares()
        .forEach((id, share) -> assertThat(share).as("at cache " + id).isLessThan(1));
  }

  /** Returns a fleet with one edge, of which all gateways know that it has just restarted. */
  private static ColdStartFleet fleetWithColdEdge(
      int size, double requestsPerWindow, double sizeDeviation, int seed) {
    ColdStartFleet fleet =
        new ColdStartFleet(size, requestsPerWindow, seed).withSizeDeviation(sizeDeviation);
    double weight = fleet.weight(ColdStartFleet.EDGE_START, requestsPerWindow);
    fleet.withCache(1, Cache.Tier.EDGE, weight).withCache(7, Cache.Tier.ORIGIN, ORIGIN_WEIGHT);
    fleet.learn();
    fleet.restartForAll(START_SECONDS, 1);
    return fleet;
  }

  @ParameterizedTest
  @CsvSource({
    "4, 60, 0, 1",
    "4, 1200, 0, 1",
    "4, 1200, 1.2, 1",
    "30, 60, 0, 1",
    "30, 60, 1.2, 1",
    "30, 1200, 0, 1",
    "120, 60, 0, 1",
    "120, 200, 1.2, 1",
    "120, 1200, 0, 1",
    "30, 20, 0, 2",
    "120, 20, 0, 3",
    "30, 400, 0, 1"
  })
  void steadyLoadDoesNotOverloadColdEdge(
      int size, double requestsPerWindow, double sizeDeviation, int seed) {
    ColdStartFleet fleet = fleetWithColdEdge(size, requestsPerWindow, sizeDeviation, seed);
    fleet.sendRequests(START_SECONDS, START_SECONDS + 17, 1.5 * requestsPerWindow / WINDOW_SECONDS);
    checkNoOverload(fleet);
  }

  @ParameterizedTest
  @CsvSource({
    "4, 60, 0, 1",
    "4, 1200, 0, 1",
    "4, 1200, 1.2, 1",
    "30, 60, 0, 1",
    "30, 60, 1.2, 1",
    "30, 1200, 0, 1",
    "120, 60, 0, 1",
    "120, 200, 1.2, 1",
    "120, 1200, 0, 1",
    "30, 20, 0, 2",
    "120, 20, 0, 3",
    "30, 400, 0, 1"
  })
  void burstsDoNotOverloadColdEdge(
      int size, double requestsPerWindow, double sizeDeviation, int seed) {
    ColdStartFleet fleet = fleetWithColdEdge(size, requestsPerWindow, sizeDeviation, seed);
    for (double age = 2; age < 17; age += 4) {
      fleet.sendRequests(
          START_SECONDS + age, START_SECONDS + age + 2.2, 5 * requestsPerWindow / WINDOW_SECONDS);
    }
    checkNoOverload(fleet);
  }

  @ParameterizedTest
  @CsvSource({"4, 20, 1", "30, 20, 1", "120, 20, 1", "4, 900, 1", "30, 900, 1", "120, 900, 1"})
  void loadDoesNotOverloadColdParent(int size, double requestsPerWindow, int seed) {
    ColdStartFleet fleet = new ColdStartFleet(size, requestsPerWindow, seed);
    double parentWeight = fleet.weight(ColdStartFleet.PARENT_START, requestsPerWindow);
    fleet
        .withCache(1, Cache.Tier.EDGE, requestsPerWindow)
        .withCache(2, Cache.Tier.EDGE, requestsPerWindow)
        .withCache(3, Cache.Tier.PARENT, parentWeight)
        .withCache(7, Cache.Tier.ORIGIN, ORIGIN_WEIGHT);
    fleet.learn();
    fleet.restartForAll(START_SECONDS, 3);
    fleet.sendRequests(START_SECONDS, START_SECONDS + 10, 1.5 * requestsPerWindow / WINDOW_SECONDS);
    fleet.sendRequests(
        START_SECONDS + 13, START_SECONDS + 22, 4 * requestsPerWindow / WINDOW_SECONDS);
    checkNoOverload(fleet);
  }

  /**
   * Hot objects, failures, attempts that are never sent, gateways that learn late, several cold
   * caches, and a restart in between.
   */
  @ParameterizedTest
  @CsvSource({
    "4, 12, 1",
    "30, 12, 1",
    "120, 12, 1",
    "4, 600, 1",
    "30, 600, 1",
    "120, 600, 1",
    "30, 12, 2",
    "30, 60, 3"
  })
  void simultaneousFaultsDoNotOverloadColdCaches(int size, double requestsPerWindow, int seed) {
    ColdStartFleet fleet =
        new ColdStartFleet(size, requestsPerWindow, seed).withSizeDeviation(0.8).withHotObjects();
    double edgeWeight = fleet.weight(ColdStartFleet.EDGE_START, requestsPerWindow);
    double parentWeight = fleet.weight(ColdStartFleet.PARENT_START, requestsPerWindow);
    fleet
        .withCache(1, Cache.Tier.EDGE, edgeWeight)
        .withCache(2, Cache.Tier.EDGE, edgeWeight)
        .withCache(4, Cache.Tier.EDGE, edgeWeight)
        .withCache(3, Cache.Tier.PARENT, parentWeight)
        .withCache(7, Cache.Tier.ORIGIN, ORIGIN_WEIGHT);
    double perSecond = 3 * requestsPerWindow / WINDOW_SECONDS;
    fleet.learn();
    fleet.setFailures(0.05, 0.1);
    fleet.restart(START_SECONDS, 1, 2, 3);
    fleet.sendRequests(START_SECONDS, START_SECONDS + 2, perSecond);
    fleet.announceToLateGateways(START_SECONDS, START_SECONDS + 2, 1, 2, 3);
    fleet.sendRequests(START_SECONDS + 2, START_SECONDS + 6, perSecond);
    fleet.setFailures(0.4, 0.1);
    fleet.sendRequests(START_SECONDS + 6, START_SECONDS + 9, perSecond);
    fleet.setFailures(0.05, 0.1);
    fleet.restartForAll(START_SECONDS + 9, 1);
    fleet.sendRequests(START_SECONDS + 9, START_SECONDS + 20, perSecond);
    checkNoOverload(fleet);
  }

  /**
   * One fifth of the gateways at a time is granted the shares of the others, while the load exceeds
   * the limit.
   */
  @ParameterizedTest
  @CsvSource({"10, 20, 1", "30, 20, 1", "30, 1200, 1"})
  void changingQuotaGrantsDoNotOverloadColdEdge(int size, double requestsPerWindow, int seed) {
    ColdStartFleet fleet = fleetWithColdEdge(size, requestsPerWindow, 0, seed);
    for (int age = 0; age < 16; age += 2) {
      double now = START_SECONDS + age;
      for (int i = 0; i < size; i++) {
        double share = i % 5 == age / 2 % 5 ? 4.0 / size : 0.25 / size;
        fleet.gateway(i).onQuotaGrant(Cache.Tier.EDGE, share, toDuration(now + 2), toDuration(now));
      }
      fleet.sendRequests(now, now + 2, 3 * requestsPerWindow / WINDOW_SECONDS);
    }
    checkNoOverload(fleet);
  }
}
