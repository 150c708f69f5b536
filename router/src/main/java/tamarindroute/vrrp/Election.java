package tamarindroute.vrrp;

import java.time.Duration;
import java.util.List;

/**
 * The state machine of one virtual router (RFC 9568, 6.4), extended by a lease, as a pure function:
 * {@link #next} maps a state, an event and the time to the next state and the actions to carry out.
 *
 * <p>The lease limits for how long an active router may act after its last advertisement: three
 * advertisement intervals from when it was sent. A peer that received the advertisement takes over
 * only after three intervals and its skew time, counted from then or later, so the lease has ended
 * by that time. The lease is checked with {@link #mayAct} by whoever acts for the address, on the
 * same thread and right before the act, and not by a timer. A process that was suspended thereby
 * notices the end of its lease before it does anything.
 *
 * <p>All times are of a monotonic clock.
 */
public final class Election {

  /**
   * An active router counts as down after this many intervals without an advertisement and the skew
   * time (RFC 9568, 6.1).
   */
  static final int ACTIVE_DOWN_INTERVALS = 3;

  /** The roles of a virtual router (RFC 9568, 6.3). */
  public enum Role {
    /** Not started. */
    INITIALIZE,
    /** Watches the active router. */
    BACKUP,
    /** Sends advertisements; may act for the address until the lease ends. */
    ACTIVE
  }

  /**
   * The configuration of a virtual router.
   *
   * @param tieBreaker number of this gateway; of two active routers of equal priority the one with
   *     the higher number stays active
   * @param interval time between two of its advertisements
   * @param preempt whether it takes over from an active router of lower priority
   * @param preemptDelay for how long it observes an active router of lower priority before it takes
   *     over
   */
  public record Settings(
      long tieBreaker, Duration interval, boolean preempt, Duration preemptDelay) {}

  /**
   * The state of a virtual router.
   *
   * @param role its role
   * @param priority its priority, 1 to 255
   * @param activeInterval advertisement interval of the active router, from its advertisements; its
   *     own interval if it is active itself or has received none
   * @param activeDownAt when the active router counts as down; null unless {@code BACKUP}
   * @param advertiseAt when the next advertisement is due; null unless {@code ACTIVE}
   * @param leaseUntil end of the lease; null unless {@code ACTIVE}
   * @param preemptableSince since when advertisements of lower priority have been received while
   *     preemption is enabled; null unless {@code BACKUP}, or if there are none
   * @param lastEventAt when an event last changed the state, null after {@link #initial}; in a
   *     backup a long gap shows that the process was suspended
   */
  public record State(
      Role role,
      int priority,
      Duration activeInterval,
      Duration activeDownAt,
      Duration advertiseAt,
      Duration leaseUntil,
      Duration preemptableSince,
      Duration lastEventAt) {}

  /** An input of the state machine. */
  public sealed interface Event {}

  /** The router starts. With the owner's priority it becomes active at once, else a backup. */
  public record Startup() implements Event {}

  /** The router stops in an orderly way, or gives up the address and will start again. */
  public record Shutdown() implements Event {}

  /** Time has passed, at least up to {@link #nextDeadline}. Earlier ticks are harmless. */
  public record Tick() implements Event {}

  /**
   * A valid advertisement for this virtual router was received.
   *
   * @param priority sender's priority; {@link Advertisement#RESIGN_PRIORITY} if it stops
   * @param sender sender's number, comparable with {@link Settings#tieBreaker}
   * @param interval sender's advertisement interval
   */
  public record AdvertisementReceived(int priority, long sender, Duration interval)
      implements Event {}

  /**
   * The priority of this gateway has changed.
   *
   * @param priority the new one, 1 to 255
   */
  public record PriorityChanged(int priority) implements Event {}

  /** An output of the state machine. */
  public sealed interface Action {}

  /**
   * Send an advertisement to all peers at once.
   *
   * @param priority priority to advertise
   */
  public record SendAdvertisement(int priority) implements Action {}

  /** Bind the shared address, announce it and serve. */
  public record TakeAddress() implements Action {}

  /** Unbind the shared address. Requests in flight get the answers that are still allowed. */
  public record ReleaseAddress(ReleaseReason reason) implements Action {}

  /** The reasons for which a router gives up the shared address. */
  public enum ReleaseReason {
    /** The router was shut down or resigned. */
    STOPPED,
    /** Another active router has a higher priority, or the same one and a higher number. */
    HIGHER_PRIORITY,
    /** The lease, or the grants of a quorum, ended before they were renewed. */
    LEASE_EXPIRED
  }

  /**
   * The result of an event.
   *
   * @param state next state
   * @param actions actions to carry out, in this order
   */
  public record Step(State state, List<Action> actions) {}

  private Election() {}

  /** Returns the state of a router that has not been started. */
  public static State initial(int priority, Settings settings) {
    return new State(Role.INITIALIZE, priority, settings.interval(), null, null, null, null, null);
  }

  /**
   * Whether a router in this state may act for the shared address. To be checked right before each
   * act.
   */
  public static boolean mayAct(State state, Duration now) {
    return state.role == Role.ACTIVE && now.compareTo(state.leaseUntil) < 0;
  }

  /** Returns when a {@link Tick} is due if no other event occurs before; null for never. */
  public static Duration nextDeadline(State state) {
    return switch (state.role) {
      case INITIALIZE -> null;
      case BACKUP -> {
        // Wakes twice per interval, so that a longer gap between events shows a suspended process.
        Duration wakeAt = state.lastEventAt.plus(state.activeInterval.dividedBy(2));
        yield state.activeDownAt.compareTo(wakeAt) < 0 ? state.activeDownAt : wakeAt;
      }
      case ACTIVE ->
          state.advertiseAt.compareTo(state.leaseUntil) < 0 ? state.advertiseAt : state.leaseUntil;
    };
  }

  /**
   * Returns the next state and the actions to carry out.
   *
   * @param now time of the event, not before that of earlier events
   */
  public static Step next(State state, Event event, Duration now, Settings settings) {
    return ElectionTransitions.next(state, event, now, settings);
  }
}
