package tamarindroute.policy;

/**
 * Limits the fills in flight, so that they overload neither the location's link nor, when slow, the
 * edges.
 */
final class FillAdmission {

  /** Part of the latency objective that a fill has to meet. */
  private static final double OBJECTIVE_SHARE = 0.8;

  /** Share of the edges' capacity that fills from slow sources may take. */
  private static final double SLOW_FILL_SHARE = 0.55;

  private final LatencyObjective objective;
  private final InFlightTracker inFlight;
  private final LocationCapacity capacity;
  private final LatencyEstimates latencies;

  FillAdmission(
      LatencyObjective objective,
      InFlightTracker inFlight,
      LocationCapacity capacity,
      LatencyEstimates latencies) {
    this.objective = objective;
    this.inFlight = inFlight;
    this.capacity = capacity;
    this.latencies = latencies;
  }

  /**
   * Whether one more fill may start.
   *
   * @param edgeSlowdown slowdown of the edge to be filled
   * @param late whether the fill cannot meet the latency objective
   */
  boolean admits(PlanningContext context, CacheState source, double edgeSlowdown, boolean late) {
    double now = context.now();
    double linkSlowdown = inFlight.locationFills(now) / capacity.ofInboundLink();
    double slowdown = Math.max(edgeSlowdown, linkSlowdown);
    if (late) {
      return inFlight.locationFills(now) <= SLOW_FILL_SHARE * capacity.ofEdges();
    }
    double wait = Math.min(latencies.fillLatency(), source.fillLatency().estimate(now));
    return objective.isReachable(context, wait, slowdown, OBJECTIVE_SHARE);
  }

  /** Whether the fills in flight exceed what the edges carry. */
  boolean isOverCapacity(double now) {
    return inFlight.locationFills(now) > capacity.ofEdges();
  }
}
