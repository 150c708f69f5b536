package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Request;

/** Estimates whether a request that is sent now is answered in time. */
final class LatencyObjective {

  private final TransferTimes transferTimes;

  LatencyObjective(TransferTimes transferTimes) {
    this.transferTimes = transferTimes;
  }

  /**
   * Whether the answer would arrive within a share of the latency objective. For requests of an
   * underserved size the limit is the client's deadline.
   *
   * @param wait seconds before the transfer starts
   * @param slowdown factor by which the transfer takes longer than on an idle cache, at least 1
   * @param share share of the time from arrival to the objective that may be used, 0 to 1
   */
  boolean isReachable(PlanningContext context, double wait, double slowdown, double share) {
    Request request = context.request();
    double arrival = seconds(request.arrivalTime);
    double end = arrival + share * (transferTimes.objectiveTime(request) - arrival);
    double limit = transferTimes.isUnderserved(request) ? seconds(request.deadline) : end;
    return context.now() + wait + transferTimes.transferTime(request) * slowdown < limit;
  }
}
