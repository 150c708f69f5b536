package tamarindroute.policy;

/**
 * Limits the fills in flight, so that they do not overload the inbound link of the location. Fills
 * from slow sources are limited further, so that enough capacity of the edges is left for hits.
 */
final class FillAdmission {

  /** Share of the time until the latency objective within which a fill has to end. */
  private static final double OBJECTIVE_SHARE = 0.8;

  /** Share of the capacity of the edges that fills from slow sources may take. */
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
   * @param source where the edge is filled from
   * @param edgeSlowdown slowdown factor of the edge to be filled, at least 1
   * @param late whether the fill cannot meet the latency objective. Such a fill is limited only by
   *     the number of fills in flight
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

  /** Whether the fills in flight exceed the capacity of the edges. */
  boolean isOverCapacity(double now) {
    return inFlight.locationFills(now) > capacity.ofEdges();
  }
}
