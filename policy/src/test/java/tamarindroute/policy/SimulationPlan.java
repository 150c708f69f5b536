package tamarindroute.policy;

import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The configuration of a {@link CapacitySimulation}: its size and load, the information that its
 * gateways get, and its events.
 */
final class SimulationPlan {

  /** How the advertised weights of caches relate to their true capacities. */
  enum AdvertisedWeights {
    /** The true capacity. */
    TRUE,
    /** 1 for every cache. */
    OFF,
    /** Ten times the true capacity. */
    TENFOLD,
    /** A tenth of the true capacity. */
    TENTH,
    /** The true capacity, reduced by the current load. */
    LIVE
  }

  /** Which outcomes report where the answer came from. */
  enum ReportedDetails {
    /** All outcomes. */
    ALL,
    /** Only outcomes of served attempts. */
    HIT,
    /** No outcome. */
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
   * Creates a plan in which gateways have full and true information and no event occurs.
   *
   * @param gateways number of gateways in the location
   * @param load requested work as a share of the capacity of the edges
   * @param edgeCapacities true capacities of the edges, in transfers that do not slow each other
   *     down
   */
  SimulationPlan(int gateways, double load, double... edgeCapacities) {
    this.gateways = gateways;
    this.load = load;
    this.edgeCapacities = edgeCapacities;
  }

  /**
   * Adds an event at a time in seconds. Events at the same time occur in the order in which they
   * were added.
   */
  SimulationPlan at(double seconds, Consumer<CapacitySimulation> event) {
    events.merge(seconds, event, Consumer::andThen);
    return this;
  }

  /**
   * Applies a named option, which is a value of {@link AdvertisedWeights} or the name of missing
   * information.
   */
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

  /** Sets the time during which requests arrive, in seconds. */
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

  /** Makes all requests keyed, with idempotency keys that are recognized within a cell. */
  SimulationPlan keyedWithinCell() {
    keyedWithinCell = true;
    return this;
  }

  /** Sets the share of attempts that fail at their edge, 0 to 1. */
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

  /** Runs a new simulation of this plan and returns it. */
  CapacitySimulation simulate() {
    CapacitySimulation simulation = new CapacitySimulation(this);
    simulation.run();
    return simulation;
  }
}
