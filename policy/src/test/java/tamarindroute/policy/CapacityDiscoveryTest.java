package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the policy in {@link CapacitySimulation} with cache capacities that are advertised wrongly
 * or not at all. The tests guard against a policy that trusts advertised weights: it would serve
 * far less than with full information, fail to settle after a change of a cache, or overload a cold
 * cache. They also check that the deduplication scope is observed.
 */
class CapacityDiscoveryTest {

  private static final Map<String, CapacitySimulation> INFORMED = new HashMap<>();
  private static final double[] EDGES = {8, 10, 12, 16};

  /**
   * Returns the simulation of the same requests with full and true information and without events.
   */
  private static CapacitySimulation informed(
      int gateways, double load, boolean unevenClients, double... edges) {
    String key = gateways + " " + load + " " + unevenClients + " " + Arrays.toString(edges);
    return INFORMED.computeIfAbsent(
        key,
        newKey ->
            new SimulationPlan(gateways, load, edges).withUnevenClients(unevenClients).simulate());
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0.5, 0.98",
    "4, 0.5, 0.98",
    "12, 0.5, 0.98",
    "1, 0.9, 0.9",
    "4, 0.9, 0.9",
    "12, 0.9, 0.9"
  })
  void servesTheLoadWithFullInformation(int gateways, double load, double least) {
    double served = informed(gateways, load, false, EDGES).result().served(5, 40);
    assertThat(served).isGreaterThan(least);
  }

  private static Stream<Arguments> missingInformation() {
    return Stream.of("OFF", "TENFOLD", "TENTH", "LIVE", "no-sizes", "no-reports", "no-details")
        .flatMap(CapacityDiscoveryTest::withGatewaysAndLoads);
  }

  private static Stream<Arguments> withGatewaysAndLoads(String option) {
    return Stream.of(0.5, 0.9)
        .flatMap(load -> Stream.of(1, 4, 12).map(gateways -> Arguments.of(option, gateways, load)));
  }

  /**
   * The policy serves at most a tenth less than with full information. Without weights, caches of
   * capacity 8 and 16 are hashed edges of equally many objects. At nine tenths of the load the
   * smallest cache is then a third over its capacity, and objects that are served elsewhere are
   * filled once more. The limit is lower for that case.
   */
  @ParameterizedTest
  @MethodSource("missingInformation")
  void servesAsMuchWithMissingInformation(String option, int gateways, double load) {
    double informed = informed(gateways, load, false, EDGES).result().served(5, 40);
    CapacitySimulation simulation =
        new SimulationPlan(gateways, load, EDGES).withOption(option).simulate();
    double least = option.equals("OFF") && load > 0.8 ? 0.86 : 0.9;
    assertThat(simulation.result().served(5, 40) / informed).isGreaterThan(least);
  }

  /**
   * Sizes, capacities and details are unknown together, or the clients or capacities are very
   * uneven.
   */
  @ParameterizedTest
  @CsvSource({
    "nothing, 4, 0.5, false, 8, 16",
    "nothing, 12, 0.5, false, 8, 16",
    "nothing, 4, 0.9, false, 8, 16",
    "OFF, 4, 0.9, false, 6, 20",
    "LIVE, 4, 0.9, false, 6, 20",
    "TENTH, 4, 0.9, false, 6, 20",
    "OFF, 12, 0.9, true, 8, 16",
    "TENFOLD, 12, 0.9, true, 8, 16"
  })
  void servesNearlyAsMuchInUnevenLocations(
      String option,
      int gateways,
      double load,
      boolean unevenClients,
      double smallest,
      double largest) {
    double informed =
        informed(gateways, load, unevenClients, smallest, 10, 12, largest).result().served(5, 40);
    CapacitySimulation simulation =
        new SimulationPlan(gateways, load, smallest, 10, 12, largest)
            .withOption(option)
            .withUnevenClients(unevenClients)
            .simulate();
    assertThat(simulation.result().served(5, 40) / informed).isGreaterThan(0.8);
  }

  @ParameterizedTest
  @CsvSource({"1, 0.5", "4, 0.5", "1, 0.9", "4, 0.9", "12, 0.9"})
  void liveWeightsDoNotMoveHomes(int gateways, double load) {
    CapacitySimulation simulation =
        new SimulationPlan(gateways, load, EDGES).withOption("LIVE").simulate();
    assertThat(simulation.peakHomesMoved()).isLessThan(0.02);
  }

  private static Consumer<CapacitySimulation> change(String name) {
    return switch (name) {
      case "slow" -> simulation -> simulation.edge(0).setSpeed(0.1);
      case "half" -> simulation -> simulation.restartEdge(0, 5);
      case "double" -> simulation -> simulation.restartEdge(0, 20);
      case "cold" -> simulation -> simulation.restartEdge(0, 10);
      case "restart" -> simulation -> simulation.restartGateway(0);
      default ->
          throw new IllegalArgumentException(
              "change is \"" + name + "\", expected slow, half, double, cold or restart");
    };
  }

  /**
   * From 15 s after a change, the policy serves about as much as if the change had been there from
   * the start. At the other caches it serves about as much as without the change.
   */
  @ParameterizedTest
  @CsvSource({
    "slow, 0.6, TRUE",
    "half, 0.7, TRUE",
    "double, 0.9, TRUE",
    "cold, 0.7, TRUE",
    "restart, 0.9, TRUE",
    "slow, 0.6, OFF",
    "half, 0.7, OFF",
    "double, 0.9, OFF",
    "cold, 0.7, OFF",
    "restart, 0.9, OFF",
    "slow, 0.6, LIVE",
    "half, 0.7, LIVE",
    "cold, 0.7, LIVE"
  })
  void settlesAfterAChange(String change, double load, String option) {
    double[] edges = {10, 10, 10, 10};
    SimulationResult unchanged = informed(4, load, false, edges).result();
    SimulationResult early =
        new SimulationPlan(4, load, edges)
            .withOption(option)
            .at(0, change(change))
            .simulate()
            .result();
    CapacitySimulation lateSimulation =
        new SimulationPlan(4, load, edges).withOption(option).at(15, change(change)).simulate();
    SimulationResult late = lateSimulation.result();
    long changedId = lateSimulation.edge(0).cache().stableId;
    Predicate<SimulatedRequest> atChanged = request -> request.home().stableId == changedId;
    Predicate<SimulatedRequest> atOthers = atChanged.negate();
    SoftAssertions softly = new SoftAssertions();
    softly.assertThat(late.served(30, 40)).as("all").isGreaterThan(early.served(30, 40) - 0.1);
    softly
        .assertThat(late.served(30, 40, atChanged))
        .as("at home at the changed edge")
        .isGreaterThan(early.served(30, 40, atChanged) - 0.1);
    softly
        .assertThat(late.served(30, 40, atOthers))
        .as("at home elsewhere")
        .isGreaterThan(unchanged.served(30, 40, atOthers) - 0.1);
    softly.assertAll();
  }

  /**
   * The remaining caches could serve the whole load. Few requests are rejected, and most of the
   * others are served in time.
   */
  @ParameterizedTest
  @CsvSource({
    "2, 0.15, TRUE",
    "4, 0.3, TRUE",
    "2, 0.15, OFF",
    "4, 0.3, OFF",
    "2, 0.15, no-details",
    "4, 0.3, no-details"
  })
  void servesDespiteHungCaches(int hung, double mostRejected, String option) {
    SimulationPlan plan = new SimulationPlan(4, 0.4, 8, 8, 8, 8, 8, 8, 8, 8).withOption(option);
    for (int i = 0; i < hung; i++) {
      int edge = i;
      plan.at(10, simulation -> simulation.edge(edge).setHung(true))
          .at(25, simulation -> simulation.edge(edge).setHung(false));
    }
    SimulationResult result = plan.simulate().result();
    assertThat(result.share(SimulationResult.Ending.REJECTED, 15, 25))
        .as("rejected")
        .isLessThanOrEqualTo(mostRejected);
    assertThat(result.served(15, 25)).as("served").isGreaterThan(1 - 2 * mostRejected);
    assertThat(result.abandonedCount()).as("abandoned").isZero();
    assertThat(result.openCount()).as("open at the end").isZero();
  }

  @ParameterizedTest
  @CsvSource({
    "TRUE, 4, 1",
    "TRUE, 30, 1",
    "OFF, 4, 1",
    "OFF, 30, 1",
    "TENFOLD, 4, 1",
    "TENFOLD, 30, 1",
    "TENFOLD, 30, 2",
    "TENTH, 4, 1",
    "TENTH, 30, 1",
    "TENTH, 30, 2",
    "LIVE, 4, 1",
    "LIVE, 30, 1",
    "nothing, 30, 1"
  })
  void doesNotOverloadAColdEdge(String option, int gateways, int seed) {
    CapacitySimulation simulation =
        new SimulationPlan(gateways, 0.8, 30, 30, 30, 30)
            .withOption(option)
            .withSeed(seed)
            .lasting(22)
            .at(10, running -> running.restartEdge(0, 30))
            .simulate();
    assertThat(simulation.peakColdLoad()).as("something reached it").isPositive();
    assertThat(simulation.peakColdLoadBeyondScatter()).isLessThan(1);
  }

  @ParameterizedTest
  @CsvSource({"no-details, 1", "no-details, 4", "hit-details, 1", "hit-details, 4", "TRUE, 4"})
  void recoversAfterAnOriginFailure(String option, int gateways) {
    SimulationResult undisturbed =
        new SimulationPlan(gateways, 0.7, EDGES).withOption(option).simulate().result();
    SimulationResult disturbed =
        new SimulationPlan(gateways, 0.7, EDGES)
            .withOption(option)
            .at(5, simulation -> simulation.setOriginFailing(true))
            .at(8, simulation -> simulation.setOriginFailing(false))
            .simulate()
            .result();
    assertThat(disturbed.served(20, 40)).isGreaterThan(undisturbed.served(20, 40) - 0.03);
  }

  /**
   * With errors and a hung cache, second attempts are made. Each of them is in the cell of the
   * first attempt.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "bypass", "hedging"})
  void keyedRequestsStayInTheirCell(String allowed) {
    SimulationResult result =
        new SimulationPlan(4, 0.5, EDGES)
            .keyedWithinCell()
            .withFailingShare(0.1)
            .withEdgeBypass(allowed.equals("bypass"))
            .withHedging(allowed.equals("hedging"))
            .at(10, running -> running.edge(0).setHung(true))
            .at(25, running -> running.edge(0).setHung(false))
            .simulate()
            .result();
    assertThat(result.attemptsInOtherCell()).as("attempts in another cell").isZero();
    assertThat(result.attemptsInSameCell()).as("attempts in the same cell").isPositive();
  }

  @Test
  void simulationIsDeterministic() {
    SimulationPlan plan = new SimulationPlan(4, 0.9, EDGES);
    double first = plan.simulate().result().served(0, 40);
    double second = plan.simulate().result().served(0, 40);
    assertThat(first).isEqualTo(second);
  }
}
