package tamarindroute.membership;

/**
 * Event of the {@link MembershipSimulator}: the arrival of a message if it has one, a task if it
 * has one, otherwise a tick of a node. Events are ordered by time, then by sequence number.
 *
 * @param atNanos virtual time of the event
 * @param sequence number that increases with each scheduled event
 * @param node index of the node, or {@link MembershipSimulator#NO_NODE} for a task
 * @param message message that arrives, or null
 * @param task task to run, or null
 */
record SimulationEvent(long atNanos, long sequence, int node, Message message, Runnable task)
    implements Comparable<SimulationEvent> {

  @Override
  public int compareTo(SimulationEvent other) {
    return atNanos != other.atNanos
        ? Long.compare(atNanos, other.atNanos)
        : Long.compare(sequence, other.sequence);
  }
}
