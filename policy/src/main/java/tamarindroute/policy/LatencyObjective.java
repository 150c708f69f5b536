package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Request;

/** Decides whether a request sent now would be answered in time. */
final class LatencyObjective {

  private final TransferTimes transferTimes;

  LatencyObjective(TransferTimes transferTimes) {
    this.transferTimes = transferTimes;
  }

  /**
   * Whether an answer would arrive within a share of the latency objective, or, for requests of an
   * underserved size, before the client's deadline.
   *
   * @param wait seconds before the transfer starts
   * @param slowdown factor by which the transfer takes longer than on an idle cache
   * @param share part of the time from arrival to the objective that may be used
   */
  boolean isReachable(PlanningContext context, double wait, double slowdown, double share) {
    Request request = context.request();
    double arrival = seconds(request.arrivalTime);
    double end = arrival + share * (transferTimes.objectiveTime(request) - arrival);
    double limit = transferTimes.isUnderserved(request) ? seconds(request.deadline) : end;
    return context.now() + wait + transferTimes.transferTime(request) * slowdown < limit;
  }
}
