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

/** The gateways of a simulated location, each with its clients, and the endpoint lists they get. */
final class SimulatedGateways {

  /** Objects whose homes are compared between endpoint lists. */
  private static final int SAMPLED_HOMES = 500;

  /** Deviation of the logarithm of the gateways' clients, where these are uneven. */
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
    double link = location.inboundLinkCapacity() * PolicySettingsBuilder.TRANSFER_RATE;
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

  /** Returns the first gateway; all rank caches alike. */
  RoutingPolicy any() {
    return gateways[0];
  }

  /** Returns the gateway of a client. */
  RoutingPolicy draw(Random clientRandom) {
    return gateways[SimulatedWorkload.draw(cumulativeClients, clientRandom.nextDouble())];
  }

  /** Replaces a gateway by one that knows nothing. */
  void restart(int index, double now) {
    gateways[index] = new RatioTestPolicy(settings());
    gateways[index].onEndpoints(location.caches(), Seconds.toDuration(now));
  }

  /** Sends the endpoint list with the weights that are advertised now to all gateways. */
  void publishEndpoints(double now) {
    location.advertiseWeights();
    for (RoutingPolicy gateway : gateways) {
      gateway.onEndpoints(location.caches(), Seconds.toDuration(now));
    }
  }

  /** Does the same, and measures how many homes move with the new weights. */
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

  /** Returns the greatest share of objects whose home moved from one endpoint list to the next. */
  double peakHomesMoved() {
    return peakHomesMoved;
  }
}
