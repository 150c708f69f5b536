package tamarindroute.membership;

/** How many faults of each kind may still be injected. */
record FaultBudget(int losses, int duplicates, int pauses, int kills, int partitions) {

  static final FaultBudget NONE = new FaultBudget(0, 0, 0, 0, 0);

  FaultBudget minus(int loss, int duplicate, int pause, int kill, int partition) {
    return new FaultBudget(
        losses - loss,
        duplicates - duplicate,
        pauses - pause,
        kills - kill,
        partitions - partition);
  }
}
