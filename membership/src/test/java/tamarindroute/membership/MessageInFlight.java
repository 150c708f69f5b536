package tamarindroute.membership;

/**
 * A message that the network has not delivered yet, or that a paused process has not read yet.
 *
 * @param from index of the sender
 * @param to index of the receiver
 * @param arrivesNanos virtual time of the arrival
 * @param queuedWhilePaused whether it was received while the process was paused
 */
record MessageInFlight(
    int from, int to, long arrivesNanos, Message message, boolean queuedWhilePaused) {}
