package tamarindroute.policy;

import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What a play of {@link CapacitySimulation} is made of: its sizes, what its gateways are told, and
 * what happens when.
 */
final class SimulationPlan {

  /** What the weights in the list tell of the true capacities. */
  enum AdvertisedWeights {
    TRUE,
    OFF,
    TENFOLD,
    TENTH,
    LIVE
  }

  /** Which outcomes tell where an answer came from: all, those of hits and fills, or none. */
  enum ReportedDetails {
    ALL,
    HIT,
    OFF
  }

  final int gateways;

  /** The work asked for, as a share of the edges' capacity. */
  final double load;

  /** The true capacities of the edges, in transfers at full pace. */
  final double[] edges;

  final TreeMap<Double, Consumer<CapacitySimulation>> events = new TreeMap<>();
  double seconds = 40;
  long seed = 1;
  AdvertisedWeights advertisedWeights = AdvertisedWeights.TRUE;
  ReportedDetails reportedDetails = ReportedDetails.ALL;
  boolean sizes = true, reports = true, link = true;

  /** Whether some gateways have many more clients than others. */
  boolean uneven;

  boolean secondCopies, direct;

  /** Whether a second run must be known again by caches of the first one's cell. */
  boolean token;

  /** The share of attempts that fail at their edge. */
  double failing;

  SimulationPlan(int gateways, double load, double... edges) {
    this.gateways = gateways;
    this.load = load;
    this.edges = edges;
  }

  /** Events at one time happen in the order in which they were planned. */
  SimulationPlan at(double seconds, Consumer<CapacitySimulation> what) {
    events.merge(seconds, what, Consumer::andThen);
    return this;
  }

  /** One of the named options: a value of Told, or what else is left untold. */
  SimulationPlan withOption(String option) {
    switch (option) {
      case "no-sizes" -> sizes = false;
      case "no-reports" -> reports = false;
      case "no-details" -> reportedDetails = ReportedDetails.OFF;
      case "hit-details" -> reportedDetails = ReportedDetails.HIT;
      case "no-link" -> link = false;
      case "nothing" -> {
        advertisedWeights = AdvertisedWeights.OFF;
        reportedDetails = ReportedDetails.OFF;
        sizes = reports = link = false;
      }
      default -> advertisedWeights = AdvertisedWeights.valueOf(option);
    }
    return this;
  }

  CapacitySimulation simulate() {
    CapacitySimulation world = new CapacitySimulation(this);
    world.run();
    return world;
  }
}
