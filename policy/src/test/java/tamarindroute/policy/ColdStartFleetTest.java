package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.numeric.Seconds.toDuration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.decision.Cache;

/** What a whole fleet sends to cold caches together, without any gateway knowing of another. */
class ColdStartFleetTest {

  private static final double START = 20;
  private static final double WINDOW = ColdStartFleet.WINDOW;
  private static final double ORIGIN_WEIGHT = 50;

  private static void checkNoOverload(ColdStartFleet fleet) {
    assertThat(fleet.meter().peakShares()).as("arrivals at cold caches").isNotEmpty();
    fleet
        .meter()
        .peakShares()
        .forEach((id, share) -> assertThat(share).as("at cache " + id).isLessThan(1));
  }

  /** Returns a fleet with one edge, which all gateways know to have just restarted. */
  private static ColdStartFleet fleetWithColdEdge(
      int size, double requestsPerWindow, double sizeDeviation, int seed) {
    ColdStartFleet fleet =
        new ColdStartFleet(size, requestsPerWindow, seed).withSizeDeviation(sizeDeviation);
    double weight = fleet.weight(ColdStartFleet.EDGE_START, requestsPerWindow);
    fleet.withCache(1, Cache.Tier.EDGE, weight).withCache(7, Cache.Tier.ORIGIN, ORIGIN_WEIGHT);
    fleet.learn();
    fleet.restartForAll(START, 1);
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
  void steadyLoad(int size, double requestsPerWindow, double sizeDeviation, int seed) {
    ColdStartFleet fleet = fleetWithColdEdge(size, requestsPerWindow, sizeDeviation, seed);
    fleet.sendRequests(START, START + 17, 1.5 * requestsPerWindow / WINDOW);
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
  void bursts(int size, double requestsPerWindow, double sizeDeviation, int seed) {
    ColdStartFleet fleet = fleetWithColdEdge(size, requestsPerWindow, sizeDeviation, seed);
    for (double age = 2; age < 17; age += 4) {
      fleet.sendRequests(START + age, START + age + 2.2, 5 * requestsPerWindow / WINDOW);
    }
    checkNoOverload(fleet);
  }

  @ParameterizedTest
  @CsvSource({"4, 20, 1", "30, 20, 1", "120, 20, 1", "4, 900, 1", "30, 900, 1", "120, 900, 1"})
  void coldParent(int size, double requestsPerWindow, int seed) {
    ColdStartFleet fleet = new ColdStartFleet(size, requestsPerWindow, seed);
    double parentWeight = fleet.weight(ColdStartFleet.PARENT_START, requestsPerWindow);
    fleet
        .withCache(1, Cache.Tier.EDGE, requestsPerWindow)
        .withCache(2, Cache.Tier.EDGE, requestsPerWindow)
        .withCache(3, Cache.Tier.PARENT, parentWeight)
        .withCache(7, Cache.Tier.ORIGIN, ORIGIN_WEIGHT);
    fleet.learn();
    fleet.restartForAll(START, 3);
    fleet.sendRequests(START, START + 10, 1.5 * requestsPerWindow / WINDOW);
    fleet.sendRequests(START + 13, START + 22, 4 * requestsPerWindow / WINDOW);
    checkNoOverload(fleet);
  }

  /**
   * Hot objects, failures, unsent attempts, late gateways, several cold caches, and a restart in
   * between.
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
  void manyFaultsAtOnce(int size, double requestsPerWindow, int seed) {
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
    double perSecond = 3 * requestsPerWindow / WINDOW;
    fleet.learn();
    fleet.setFailures(0.05, 0.1);
    fleet.restart(START, 1, 2, 3);
    fleet.sendRequests(START, START + 2, perSecond);
    fleet.announceToLateGateways(START, START + 2, 1, 2, 3);
    fleet.sendRequests(START + 2, START + 6, perSecond);
    fleet.setFailures(0.4, 0.1);
    fleet.sendRequests(START + 6, START + 9, perSecond);
    fleet.setFailures(0.05, 0.1);
    fleet.restartForAll(START + 9, 1);
    fleet.sendRequests(START + 9, START + 20, perSecond);
    checkNoOverload(fleet);
  }

  /**
   * A fifth of the gateways is granted the shares of the others, by turns, under load beyond the
   * limit.
   */
  @ParameterizedTest
  @CsvSource({"10, 20, 1", "30, 20, 1", "30, 1200, 1"})
  void quotaGrants(int size, double requestsPerWindow, int seed) {
    ColdStartFleet fleet = fleetWithColdEdge(size, requestsPerWindow, 0, seed);
    for (int age = 0; age < 16; age += 2) {
      double now = START + age;
      for (int i = 0; i < size; i++) {
        double share = i % 5 == age / 2 % 5 ? 4.0 / size : 0.25 / size;
        fleet.gateway(i).onQuotaGrant(Cache.Tier.EDGE, share, toDuration(now + 2), toDuration(now));
      }
      fleet.sendRequests(now, now + 2, 3 * requestsPerWindow / WINDOW);
    }
    checkNoOverload(fleet);
  }
}
