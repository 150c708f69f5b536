package tamarindroute.policy;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.PolicySettings.WeightMeaning;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.numeric.Seconds;

/**
 * The gateways of a simulated location, the distribution of clients over them, and the endpoint
 * lists that they get.
 */
final class SimulatedGateways {

  /** Number of objects whose hashed edges are compared between endpoint lists. */
  private static final int SAMPLED_HOMES = 500;

  /**
   * Standard deviation of the logarithm of the number of clients per gateway, if that number is
   * uneven.
   */
  private static final double CLIENT_DEVIATION = 1.2;

  private final SimulationPlan plan;
  private final SimulatedLocation location;
  private final Random random;
  private final RoutingPolicy[] gateways;
  private final double[] cumulativeClients;
  private double peakHomesMoved;

  SimulatedGateways(
      SimulationPlan plan, SimulatedLocation location, Random random, Random clientRandom) {
    this.plan = plan;
    this.location = location;
    this.random = random;
    gateways = new RoutingPolicy[plan.gateways()];
    cumulativeClients = new double[plan.gateways()];
    for (int i = 0; i < gateways.length; i++) {
      gateways[i] = new RatioTestPolicy(settings());
      cumulativeClients[i] = (i > 0 ? cumulativeClients[i - 1] : 0) + drawClients(clientRandom);
    }
  }

  private double drawClients(Random clientRandom) {
    return plan.hasUnevenClients() ? Math.exp(CLIENT_DEVIATION * clientRandom.nextGaussian()) : 1;
  }

  private PolicySettings settings() {
    double link =
        location.inboundLinkCapacity() * PolicySettingsBuilder.TRANSFER_RATE_KB_PER_SECOND;
    return new PolicySettingsBuilder()
        .seed(random.nextLong())
        .gateways(plan.gateways())
        .inboundLink(plan.isLinkKnown() ? link : 0)
        .edgeBypass(plan.isEdgeBypassAllowed())
        .fillSourceReported(plan.reportedDetails() == SimulationPlan.ReportedDetails.ALL)
        .hedging(plan.isHedgingAllowed())
        .maxRetryAfter(Duration.ofMillis(500))
        .coldStart(SimulatedCache.coldStart())
        .weights(weightMeaning())
        .build();
  }

  private WeightMeaning weightMeaning() {
    return switch (plan.advertisedWeights()) {
      case TRUE -> WeightMeaning.NOMINAL;
      case OFF -> WeightMeaning.OFF;
      case TENFOLD, TENTH -> WeightMeaning.ROUGH;
      case LIVE -> WeightMeaning.LIVE;
    };
  }

  /** Returns the first gateway. All gateways rank caches in the same order. */
  RoutingPolicy any() {
    return gateways[0];
  }

  /** Returns the gateway of a random client. */
  RoutingPolicy draw(Random clientRandom) {
    return gateways[SimulatedWorkload.draw(cumulativeClients, clientRandom.nextDouble())];
  }

  /** Replaces a gateway by one without any state. */
  void restart(int index, double now) {
    gateways[index] = new RatioTestPolicy(settings());
    gateways[index].onEndpoints(location.caches(), Seconds.toDuration(now));
  }

  /** Sends the endpoint list with the currently advertised weights to all gateways. */
  void publishEndpoints(double now) {
    location.advertiseWeights();
    for (RoutingPolicy gateway : gateways) {
      gateway.onEndpoints(location.caches(), Seconds.toDuration(now));
    }
  }

  /**
   * Sends the endpoint list to all gateways and measures the share of objects whose hashed edge
   * changes.
   */
  void republishEndpoints(double now) {
    List<Cache> before = sampledHomes();
    publishEndpoints(now);
    List<Cache> after = sampledHomes();
    long moved =
        IntStream.range(0, SAMPLED_HOMES).filter(i -> before.get(i) != after.get(i)).count();
    peakHomesMoved = Math.max(peakHomesMoved, (double) moved / SAMPLED_HOMES);
  }

  private List<Cache> sampledHomes() {
    return LongStream.range(0, SAMPLED_HOMES).mapToObj(this::home).toList();
  }

  private Cache home(long object) {
    return any().rankedCaches(object).get(0);
  }

  /**
   * Returns the largest share of objects whose hashed edge changed from one endpoint list to the
   * next.
   */
  double peakHomesMoved() {
    return peakHomesMoved;
  }
}
