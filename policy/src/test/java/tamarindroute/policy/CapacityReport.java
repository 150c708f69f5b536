package tamarindroute.policy;

import java.util.List;
import java.util.Locale;

/**
 * Prints what plays of {@link CapacitySimulation} come to, one line for each option, number of
 * gateways and load.
 */
public final class CapacityReport {

  private static final List<String> OPTIONS =
      List.of(
          "TRUE",
          "OFF",
          "TENFOLD",
          "TENTH",
          "LIVE",
          "no-sizes",
          "no-reports",
          "no-details",
          "hit-details",
          "no-link",
          "nothing");

  private CapacityReport() {}

  /** Arguments: nothing, or the options to be played alone. */
  public static void main(String[] arguments) {
    List<String> options = arguments.length > 0 ? List.of(arguments) : OPTIONS;
    System.out.println(
        "edges     option       gateways load  served rejected given-up late   moved  held seconds");
    for (double[] edges : new double[][] {{8, 10, 12, 16}, {6, 10, 14, 20}}) {
      for (String option : options) {
        for (int gateways : new int[] {1, 4, 12}) {
          for (double load : new double[] {0.5, 0.9}) {
            line(option, new SimulationPlan(gateways, load, edges).withOption(option));
          }
        }
      }
    }
    System.out.println(
        "one of four edges starts cold at 10 s: part of the cold rule's bound, bare and with room for chance");
    System.out.println("option       gateways load   bare chance  served while cold, after");
    for (String option : options) {
      for (int gateways : new int[] {4, 30}) {
        for (double load : new double[] {0.5, 0.8}) {
          coldLine(
              option,
              new SimulationPlan(gateways, load, 30, 30, 30, 30)
                  .withOption(option)
                  .at(10, it -> it.startAnew(0, 30)));
        }
      }
    }
  }

  private static void coldLine(String option, SimulationPlan plan) {
    CapacitySimulation world = plan.simulate();
    System.out.printf(
        Locale.ROOT,
        "%-12s %8d %4.1f %6.2f %6.2f  %.3f %.3f%n",
        option,
        plan.gateways,
        plan.load,
        world.coldMost,
        world.coldMostOfChance,
        world.served(10, 20),
        world.served(25, 40));
  }

  private static void line(String option, SimulationPlan plan) {
    long began = System.nanoTime();
    CapacitySimulation world = plan.simulate();
    System.out.printf(
        Locale.ROOT,
        "%2.0f to %2.0f  %-12s %8d %4.1f  %6.3f %8.3f %8.3f %5.3f %6.3f %5d %6.2f%n",
        plan.edges[0],
        plan.edges[3],
        option,
        plan.gateways,
        plan.load,
        world.served(5, 40),
        world.share(CapacitySimulation.Ending.REJECTED, 5, 40),
        world.share(CapacitySimulation.Ending.GIVEN_UP, 5, 40),
        world.share(CapacitySimulation.Ending.LATE, 5, 40),
        world.homesMoved,
        world.abandoned,
        (System.nanoTime() - began) * 1e-9);
  }
}
