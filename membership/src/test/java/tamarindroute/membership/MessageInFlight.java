package tamarindroute.membership;

/**
 * A message under way, or received by a paused process and not read yet.
 *
 * @param from index of the sender
 * @param to index of the receiver
 * @param arrivesNanos virtual time of its arrival
 * @param message the message
 * @param queuedAtPaused whether it was received while the process was paused
 */
record MessageInFlight(
    int from, int to, long arrivesNanos, Message message, boolean queuedAtPaused) {}
