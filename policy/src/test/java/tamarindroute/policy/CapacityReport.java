package tamarindroute.policy;

import java.util.List;
import java.util.Locale;

/**
 * Prints the results of {@link CapacitySimulation} as a table with one line for each option, number
 * of gateways and load.
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

  private static final double NANOS_PER_SECOND = 1e9;

  private CapacityReport() {}

  /**
   * Prints the report.
   *
   * @param arguments the options to simulate; all options if there are none
   */
  public static void main(String[] arguments) {
    List<String> options = arguments.length > 0 ? List.of(arguments) : OPTIONS;
    printSteadyLoad(options);
    printColdStart(options);
  }

  private static void printSteadyLoad(List<String> options) {
    System.out.println(
        "edges     option       gateways load  served rejected given-up late   moved  abandoned s");
    for (double[] edges : new double[][] {{8, 10, 12, 16}, {6, 10, 14, 20}}) {
      for (String option : options) {
        for (int gateways : new int[] {1, 4, 12}) {
          for (double load : new double[] {0.5, 0.9}) {
            printSteadyLoad(option, new SimulationPlan(gateways, load, edges).withOption(option));
          }
        }
      }
    }
  }

  private static void printSteadyLoad(String option, SimulationPlan plan) {
    long startedAt = System.nanoTime();
    CapacitySimulation simulation = plan.simulate();
    double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
    SimulationResult result = simulation.result();
    System.out.printf(
        Locale.ROOT,
        "%2.0f to %2.0f  %-12s %8d %4.1f  %6.3f %8.3f %8.3f %5.3f %6.3f %5d %6.2f%n",
        plan.edgeCapacities()[0],
        plan.edgeCapacities()[3],
        option,
        plan.gateways(),
        plan.load(),
        result.served(5, 40),
        result.share(SimulationResult.Ending.REJECTED, 5, 40),
        result.share(SimulationResult.Ending.GIVEN_UP, 5, 40),
        result.share(SimulationResult.Ending.LATE, 5, 40),
        simulation.peakHomesMoved(),
        result.abandonedCount(),
        seconds);
  }

  private static void printColdStart(List<String> options) {
    System.out.println(
        "one of four edges restarts at 10 s: peak share of an overload, bare and with room for scatter");
    System.out.println("option       gateways load   bare scatter served while cold, after");
    for (String option : options) {
      for (int gateways : new int[] {4, 30}) {
        for (double load : new double[] {0.5, 0.8}) {
          printColdStart(option, gateways, load);
        }
      }
    }
  }

  private static void printColdStart(String option, int gateways, double load) {
    CapacitySimulation simulation =
        new SimulationPlan(gateways, load, 30, 30, 30, 30)
            .withOption(option)
            .at(10, running -> running.restartEdge(0, 30))
            .simulate();
    System.out.printf(
        Locale.ROOT,
        "%-12s %8d %4.1f %6.2f %6.2f  %.3f %.3f%n",
        option,
        gateways,
        load,
        simulation.peakColdLoad(),
        simulation.peakColdLoadBeyondScatter(),
        simulation.result().served(10, 20),
        simulation.result().served(25, 40));
  }
}
