package tamarindroute.maintenance;

/**
 * The numbers of faults that may still happen in the model, by kind and in total.
 *
 * @param kills number of times that a gateway is killed and starts without its previous state
 * @param cuts number of times that a gateway loses contact with the agreed view
 * @param delays number of times that proposals arrive one step later
 * @param withdrawals number of times that the settings of one gateway withdraw a request
 * @param failures number of caches that fail permanently
 * @param restarts number of times that a cache restarts during its window
 * @param losses number of caches that never return from their windows
 * @param total number of faults of all kinds
 */
record FaultBudget(
    int kills,
    int cuts,
    int delays,
    int withdrawals,
    int failures,
    int restarts,
    int losses,
    int total) {

  boolean allowsKill() {
    return total > 0 && kills > 0;
  }

  boolean allowsCut() {
    return total > 0 && cuts > 0;
  }

  boolean allowsDelay() {
    return total > 0 && delays > 0;
  }

  boolean allowsWithdrawal() {
    return total > 0 && withdrawals > 0;
  }

  boolean allowsFailure() {
    return total > 0 && failures > 0;
  }

  boolean allowsRestart() {
    return total > 0 && restarts > 0;
  }

  boolean allowsLoss() {
    return total > 0 && losses > 0;
  }

  FaultBudget afterKill() {
    return reducedBy(1, 0, 0, 0, 0, 0, 0);
  }

  FaultBudget afterCut() {
    return reducedBy(0, 1, 0, 0, 0, 0, 0);
  }

  FaultBudget afterDelay() {
    return reducedBy(0, 0, 1, 0, 0, 0, 0);
  }

  FaultBudget afterWithdrawal() {
    return reducedBy(0, 0, 0, 1, 0, 0, 0);
  }

  FaultBudget afterFailure() {
    return reducedBy(0, 0, 0, 0, 1, 0, 0);
  }

  FaultBudget afterRestart() {
    return reducedBy(0, 0, 0, 0, 0, 1, 0);
  }

  FaultBudget afterLoss() {
    return reducedBy(0, 0, 0, 0, 0, 0, 1);
  }

  private FaultBudget reducedBy(
      int killed, int cut, int delayed, int withdrawn, int failed, int restarted, int lost) {
    return new FaultBudget(
        kills - killed,
        cuts - cut,
        delays - delayed,
        withdrawals - withdrawn,
        failures - failed,
        restarts - restarted,
        losses - lost,
        total - 1);
  }
}
