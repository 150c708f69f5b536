package tamarindroute.membership;

/**
 * Number of faults of each kind that the model checker may still inject.
 *
 * @param losses messages that are lost
 * @param duplicates messages that arrive a second time, some periods later
 * @param pauses pauses of a process
 * @param kills kills of a process, each followed by a restart
 * @param partitions partitions of the network
 */
record FaultBudget(int losses, int duplicates, int pauses, int kills, int partitions) {

  static final FaultBudget NONE = new FaultBudget(0, 0, 0, 0, 0);

  /** Returns a budget that is smaller by the given numbers of faults. */
  FaultBudget minus(int loss, int duplicate, int pause, int kill, int partition) {
    return new FaultBudget(
        losses - loss,
        duplicates - duplicate,
        pauses - pause,
        kills - kill,
        partitions - partition);
  }
}
