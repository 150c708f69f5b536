/**
 * SWIM group membership as a pure state machine: failure detection with direct and indirect probes,
 * suspicion with refutation, gossip, and anti-entropy state exchange.
 *
 * <p>Extensions: local health as in Lifeguard, detection of pauses and of isolation of the local
 * member, and cuts, which declare a member faulty only on the reports of several observers.
 *
 * <p>{@link tamarindroute.membership.Membership} is the entry point. A step takes an event and the
 * monotonic time, and returns {@link tamarindroute.membership.Action}s. Equal events at equal times
 * give equal actions. The package opens no socket, file or thread and reads no clock. Internal
 * times are nanoseconds of the caller's monotonic clock.
 *
 * <p>{@code tamarindroute.members} carries the messages over UDP and runs the steps on its event
 * loop. The design is described in {@code docs/membership-design.md}.
 */
package tamarindroute.membership;
