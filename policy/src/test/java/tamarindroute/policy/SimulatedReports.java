package tamarindroute.policy;

import java.time.Duration;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.numeric.Seconds;

/** The reports of simulated caches to gateways, as far as the plan allows them. */
final class SimulatedReports {

  private final SimulationPlan plan;

  SimulatedReports(SimulationPlan plan) {
    this.plan = plan;
  }

  /** Returns the outcome of a transfer as its gateway sees it. */
  Outcome outcome(
      SimulatedTransfer transfer, Result result, Detail detail, boolean completed, double now) {
    boolean served = result == Result.SERVED;
    boolean all = plan.reportedDetails() == SimulationPlan.ReportedDetails.ALL;
    boolean hits = plan.reportedDetails() == SimulationPlan.ReportedDetails.HIT;
    boolean detailReported = all || (hits && served);
    boolean waitReported = all && served && transfer.isFill();
    Duration wait = waitReported ? Seconds.toDuration(transfer.plannedOutcome().delay()) : null;
    return new Outcome(
        result,
        detailReported ? detail : Detail.UNKNOWN,
        Seconds.toDuration(now).minus(transfer.attempt().sentAt),
        wait,
        completed);
  }

  /** Reports the load of the target cache to the gateway, together with an answer of any kind. */
  void reportLoad(SimulatedTransfer transfer, Result result, int step, double now) {
    boolean answered = result == Result.SERVED || result == Result.MISS || result == Result.FAILED;
    if (plan.isLoadReported() && answered) {
      LoadReport report = new LoadReport(Double.NaN, transfer.target().reportedInFlight(step));
      transfer
          .request()
          .gateway()
          .onLoadReport(transfer.target().cache(), report, Seconds.toDuration(now));
    }
  }
}
