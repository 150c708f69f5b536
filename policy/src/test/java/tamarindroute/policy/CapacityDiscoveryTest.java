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
 * What the module makes of caches whose capacity it is told wrongly or not at all, in {@link
 * CapacityWorld}: it serves about as much as if it were told, settles after each change, and keeps
 * the rules on cold caches and on effects.
 */
class CapacityDiscoveryTest {

  private static final Map<String, CapacitySimulation> TOLD_ALL = new HashMap<>();
  private static final double[] EDGES = {8, 10, 12, 16};

  /** The play of the same requests in which all is told, truly, and nothing happens. */
  private static CapacitySimulation toldAll(
      int gateways, double load, boolean uneven, double... edges) {
    String key = gateways + " " + load + " " + uneven + " " + Arrays.toString(edges);
    return TOLD_ALL.computeIfAbsent(
        key,
        k -> {
          SimulationPlan plan = new SimulationPlan(gateways, load, edges);
          plan.uneven = uneven;
          return plan.simulate();
        });
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
  void servesWhatIsToldTruly(int gateways, double load, double least) {
    assertThat(toldAll(gateways, load, false, EDGES).served(5, 40)).isGreaterThan(least);
  }

  private static Stream<Arguments> untold() {
    return Stream.of("OFF", "TENFOLD", "TENTH", "LIVE", "no-sizes", "no-reports", "no-details")
        .flatMap(
            option ->
                Stream.of(0.5, 0.9)
                    .flatMap(
                        load ->
                            Stream.of(1, 4, 12)
                                .map(gateways -> Arguments.of(option, gateways, load))));
  }

  /**
   * A tenth less at most. Without weights, caches that bear 8 and 16 are homes to as many objects:
   * at nine tenths of the load the smallest is a third over what it bears, and what goes elsewhere
   * is filled once more.
   */
  @ParameterizedTest
  @MethodSource("untold")
  void servesAsMuchWithoutBeingTold(String option, int gateways, double load) {
    double told = toldAll(gateways, load, false, EDGES).served(5, 40);
    CapacitySimulation world =
        new SimulationPlan(gateways, load, EDGES).withOption(option).simulate();
    double least = option.equals("OFF") && load > 0.8 ? 0.86 : 0.9;
    assertThat(world.served(5, 40) / told).isGreaterThan(least);
  }

  /**
   * Where nothing is told of sizes, capacities and details together, or the clients or capacities
   * are very uneven.
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
  void servesNearlyAsMuchWhereMoreIsUneven(
      String option, int gateways, double load, boolean uneven, double least, double most) {
    double told = toldAll(gateways, load, uneven, least, 10, 12, most).served(5, 40);
    SimulationPlan plan =
        new SimulationPlan(gateways, load, least, 10, 12, most).withOption(option);
    plan.uneven = uneven;
    assertThat(plan.simulate().served(5, 40) / told).isGreaterThan(0.8);
  }

  @ParameterizedTest
  @CsvSource({"1, 0.5", "4, 0.5", "1, 0.9", "4, 0.9", "12, 0.9"})
  void homesStandStillWhereWeightsAreLive(int gateways, double load) {
    assertThat(new SimulationPlan(gateways, load, EDGES).withOption("LIVE").simulate().homesMoved)
        .isLessThan(0.02);
  }

  private static Consumer<CapacitySimulation> change(String name) {
    return switch (name) {
      case "slow" -> world -> world.edges.get(0).speed = 0.1;
      case "half" -> world -> world.startAnew(0, 5);
      case "double" -> world -> world.startAnew(0, 20);
      case "cold" -> world -> world.startAnew(0, 10);
      case "restart" -> world -> world.restartGateway(0);
      default -> throw new IllegalArgumentException(name);
    };
  }

  /**
   * After 15 s or more, as if the change had been from the start; with weights told truly, the
   * other caches as if none.
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
    CapacitySimulation none = toldAll(4, load, false, edges);
    CapacitySimulation early =
        new SimulationPlan(4, load, edges).withOption(option).at(0, change(change)).simulate();
    CapacitySimulation late =
        new SimulationPlan(4, load, edges).withOption(option).at(15, change(change)).simulate();
    long mark = late.edges.get(0).cache.stableId;
    Predicate<CapacitySimulation.SimulatedRequest> there =
        simulated -> simulated.home().stableId == mark;
    Predicate<CapacitySimulation.SimulatedRequest> others = there.negate();
    SoftAssertions softly = new SoftAssertions();
    softly.assertThat(late.served(30, 40)).as("all").isGreaterThan(early.served(30, 40) - 0.1);
    softly
        .assertThat(late.served(30, 40, there))
        .as("at home there")
        .isGreaterThan(early.served(30, 40, there) - 0.1);
    softly
        .assertThat(late.served(30, 40, others))
        .as("others")
        .isGreaterThan(none.served(30, 40, others) - 0.1);
    softly.assertAll();
  }

  /**
   * What is left could bear it all: few are turned away unsent, and of the rest most are served in
   * time.
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
  void servesBesideHungCaches(int hung, double mostRejected, String option) {
    SimulationPlan plan = new SimulationPlan(4, 0.4, 8, 8, 8, 8, 8, 8, 8, 8).withOption(option);
    for (int edge = 0; edge < hung; edge++) {
      int which = edge;
      plan.at(10, world -> world.edges.get(which).hung = true)
          .at(25, world -> world.edges.get(which).hung = false);
    }
    CapacitySimulation world = plan.simulate();
    assertThat(world.share(CapacitySimulation.Ending.REJECTED, 15, 25))
        .as("rejected")
        .isLessThanOrEqualTo(mostRejected);
    assertThat(world.served(15, 25)).as("served").isGreaterThan(1 - 2 * mostRejected);
    assertThat(world.abandoned).as("held").isZero();
    assertThat(world.open()).as("open at the end").isZero();
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
  void keepsTheColdRule(String option, int gateways, int seed) {
    SimulationPlan plan =
        new SimulationPlan(gateways, 0.8, 30, 30, 30, 30)
            .withOption(option)
            .at(10, world -> world.startAnew(0, 30));
    plan.seed = seed;
    plan.seconds = 22;
    CapacitySimulation world = plan.simulate();
    assertThat(world.coldMost).as("something reached it").isPositive();
    assertThat(world.coldMostOfChance).isLessThan(1);
  }

  @ParameterizedTest
  @CsvSource({"no-details, 1", "no-details, 4", "hit-details, 1", "hit-details, 4", "TRUE, 4"})
  void servesAsBeforeOnceTheOriginIsWell(String option, int gateways) {
    double before =
        new SimulationPlan(gateways, 0.7, EDGES).withOption(option).simulate().served(20, 40);
    CapacitySimulation world =
        new SimulationPlan(gateways, 0.7, EDGES)
            .withOption(option)
            .at(5, it -> it.originFails = true)
            .at(8, it -> it.originFails = false)
            .simulate();
    assertThat(world.served(20, 40)).isGreaterThan(before - 0.03);
  }

  /** With errors and a hung cache, second attempts are made, and each in the cell of the first. */
  @ParameterizedTest
  @ValueSource(strings = {"", "direct", "second-copies"})
  void keptTokensStayInTheirCell(String allowed) {
    SimulationPlan plan =
        new SimulationPlan(4, 0.5, EDGES)
            .at(10, world -> world.edges.get(0).hung = true)
            .at(25, world -> world.edges.get(0).hung = false);
    plan.token = true;
    plan.failing = 0.1;
    plan.direct = allowed.equals("direct");
    plan.secondCopies = allowed.equals("second-copies");
    CapacitySimulation world = plan.simulate();
    assertThat(world.cellsLeft).as("attempts in another cell").isZero();
    assertThat(world.cellsKept).as("attempts in the same cell").isPositive();
  }

  @Test
  void aPlayIsTheSameEachTime() {
    SimulationPlan plan = new SimulationPlan(4, 0.9, EDGES);
    assertThat(plan.simulate().served(0, 40)).isEqualTo(plan.simulate().served(0, 40));
  }
}
