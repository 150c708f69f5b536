/**
 * Group membership after SWIM as a pure state machine: failure detection by direct and indirect
 * probes, suspicion with refutation, gossip, anti-entropy exchange of state, and detection of the
 * own pauses and of the own isolation (after Lifeguard).
 *
 * <p>{@link tamarindroute.membership.Membership} is the entry point. A step takes an event and the
 * monotonic time, and returns {@link tamarindroute.membership.Action}s; equal events at equal times
 * give equal actions. The package opens no socket, file or thread and reads no clock. Inside it
 * times are nanoseconds of the caller's monotonic clock.
 *
 * <p>{@code tamarindroute.members} carries the messages over UDP and runs the steps on its event
 * loop. The design is described in {@code docs/membership-design.md}.
 */
package tamarindroute.membership;
