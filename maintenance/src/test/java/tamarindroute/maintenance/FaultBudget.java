package tamarindroute.maintenance;

/**
 * How many more faults of each kind may happen in the model, and how many in all.
 *
 * @param kills a gateway's process ends and starts without its memory
 * @param cuts a gateway loses contact to the view
 * @param delays proposals arrive one step later
 * @param withdrawals the settings withdraw a request at one gateway
 * @param failures a cache fails for good
 * @param restarts a cache restarts inside its window
 * @param losses a cache never returns from its window
 * @param total of all kinds together
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
    return less(1, 0, 0, 0, 0, 0, 0);
  }

  FaultBudget afterCut() {
    return less(0, 1, 0, 0, 0, 0, 0);
  }

  FaultBudget afterDelay() {
    return less(0, 0, 1, 0, 0, 0, 0);
  }

  FaultBudget afterWithdrawal() {
    return less(0, 0, 0, 1, 0, 0, 0);
  }

  FaultBudget afterFailure() {
    return less(0, 0, 0, 0, 1, 0, 0);
  }

  FaultBudget afterRestart() {
    return less(0, 0, 0, 0, 0, 1, 0);
  }

  FaultBudget afterLoss() {
    return less(0, 0, 0, 0, 0, 0, 1);
  }

  private FaultBudget less(
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
