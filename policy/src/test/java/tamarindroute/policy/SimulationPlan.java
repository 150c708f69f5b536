package tamarindroute.policy;

import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What a {@link CapacitySimulation} consists of: its sizes, what is reported to its gateways, and
 * what happens when.
 */
final class SimulationPlan {

  /** How the advertised weights of caches relate to their true capacities. */
  enum AdvertisedWeights {
    TRUE,
    OFF,
    TENFOLD,
    TENTH,
    LIVE
  }

  /** Which outcomes report where an answer came from: all, those that were served, or none. */
  enum ReportedDetails {
    ALL,
    HIT,
    OFF
  }

  private final int gateways;
  private final double load;
  private final double[] edgeCapacities;
  private final TreeMap<Double, Consumer<CapacitySimulation>> events = new TreeMap<>();
  private double seconds = 40;
  private long seed = 1;
  private AdvertisedWeights advertisedWeights = AdvertisedWeights.TRUE;
  private ReportedDetails reportedDetails = ReportedDetails.ALL;
  private boolean sizesKnown = true;
  private boolean loadReported = true;
  private boolean linkKnown = true;
  private boolean unevenClients;
  private boolean hedging;
  private boolean edgeBypass;
  private boolean keyedWithinCell;
  private double failingShare;

  /**
   * Plans a simulation in which all is known and nothing happens.
   *
   * @param load requested work as a share of the edges' capacity
   * @param edgeCapacities true capacities of the edges, in undisturbed transfers
   */
  SimulationPlan(int gateways, double load, double... edgeCapacities) {
    this.gateways = gateways;
    this.load = load;
    this.edgeCapacities = edgeCapacities;
  }

  /** Adds an event; events at one time happen in the order in which they were added. */
  SimulationPlan at(double seconds, Consumer<CapacitySimulation> event) {
    events.merge(seconds, event, Consumer::andThen);
    return this;
  }

  /** Applies a named option: a value of {@link AdvertisedWeights}, or what else is not known. */
  SimulationPlan withOption(String option) {
    switch (option) {
      case "no-sizes" -> sizesKnown = false;
      case "no-reports" -> loadReported = false;
      case "no-details" -> reportedDetails = ReportedDetails.OFF;
      case "hit-details" -> reportedDetails = ReportedDetails.HIT;
      case "no-link" -> linkKnown = false;
      case "nothing" -> {
        advertisedWeights = AdvertisedWeights.OFF;
        reportedDetails = ReportedDetails.OFF;
        sizesKnown = false;
        loadReported = false;
        linkKnown = false;
      }
      default -> advertisedWeights = AdvertisedWeights.valueOf(option);
    }
    return this;
  }

  SimulationPlan withSeed(long value) {
    seed = value;
    return this;
  }

  /** Sets for how long requests arrive. */
  SimulationPlan lasting(double value) {
    seconds = value;
    return this;
  }

  /** Sets whether some gateways have many more clients than others. */
  SimulationPlan withUnevenClients(boolean value) {
    unevenClients = value;
    return this;
  }

  SimulationPlan withHedging(boolean value) {
    hedging = value;
    return this;
  }

  SimulationPlan withEdgeBypass(boolean value) {
    edgeBypass = value;
    return this;
  }

  /** Makes all requests keyed, their keys known within a cell. */
  SimulationPlan keyedWithinCell() {
    keyedWithinCell = true;
    return this;
  }

  /** Sets the share of attempts that fail at their edge. */
  SimulationPlan withFailingShare(double value) {
    failingShare = value;
    return this;
  }

  int gateways() {
    return gateways;
  }

  double load() {
    return load;
  }

  double[] edgeCapacities() {
    return edgeCapacities;
  }

  NavigableMap<Double, Consumer<CapacitySimulation>> events() {
    return new TreeMap<>(events);
  }

  double seconds() {
    return seconds;
  }

  long seed() {
    return seed;
  }

  AdvertisedWeights advertisedWeights() {
    return advertisedWeights;
  }

  ReportedDetails reportedDetails() {
    return reportedDetails;
  }

  boolean areSizesKnown() {
    return sizesKnown;
  }

  boolean isLoadReported() {
    return loadReported;
  }

  boolean isLinkKnown() {
    return linkKnown;
  }

  boolean hasUnevenClients() {
    return unevenClients;
  }

  boolean isHedgingAllowed() {
    return hedging;
  }

  boolean isEdgeBypassAllowed() {
    return edgeBypass;
  }

  boolean isKeyedWithinCell() {
    return keyedWithinCell;
  }

  double failingShare() {
    return failingShare;
  }

  /** Runs the simulation. */
  CapacitySimulation simulate() {
    CapacitySimulation simulation = new CapacitySimulation(this);
    simulation.run();
    return simulation;
  }
}
