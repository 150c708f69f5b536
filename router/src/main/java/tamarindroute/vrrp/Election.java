package tamarindroute.vrrp;

import java.time.Duration;
import java.util.List;

/**
 * The state machine of one virtual router (RFC 9568, 6.4), extended by a lease, as a pure function:
 * {@link #next} maps a state, an event and the time to the next state and the actions to carry out.
 *
 * <p>The lease limits for how long an active router may act for the shared address: until three
 * advertisement intervals after it sent its last advertisement. A peer that received this
 * advertisement takes over only three intervals and its skew time after it received it, so the
 * lease has ended by then. Code that acts for the address checks the lease with {@link #mayAct}, on
 * the same thread and right before it acts. No timer is involved, so a process that was suspended
 * notices the end of its lease before it acts.
 *
 * <p>Where voters are required, an active router also needs their grants, see {@link VoterGrant}.
 * This class does not handle grants.
 *
 * <p>All times are of a monotonic clock.
 */
public final class Election {

  /**
   * A backup regards the active router as down if it receives no advertisement for this many
   * advertisement intervals plus the skew time (RFC 9568, 6.1).
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
   * @param tieBreaker number that identifies this gateway, computed from its IP address and port;
   *     of two active routers of equal priority the one with the higher number stays active
   * @param interval time between two advertisements of this router
   * @param preempt whether this router takes over from an active router of lower priority
   * @param preemptDelay how long this router must receive advertisements of lower priority before
   *     it preempts their sender
   */
  public record Settings(
      long tieBreaker, Duration interval, boolean preempt, Duration preemptDelay) {}

  /**
   * The state of a virtual router.
   *
   * @param role current role
   * @param priority current priority, 1 to 255
   * @param activeInterval advertisement interval of the active router, taken from its
   *     advertisements; the configured interval of this router if it is active itself or has
   *     received no advertisement
   * @param activeDownAt when the active router is regarded as down; null unless {@code BACKUP}
   * @param advertiseAt when the next advertisement is due; null unless {@code ACTIVE}
   * @param leaseUntil end of the lease; null unless {@code ACTIVE}
   * @param preemptableSince when the first of an unbroken series of advertisements of lower
   *     priority was received; null if there is no such series, preemption is disabled or the role
   *     is not {@code BACKUP}
   * @param lastEventAt when an event last changed the state, null after {@link #initial}; a backup
   *     for which this is more than one interval ago was suspended
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

  /**
   * The router starts. It becomes active at once if its priority is {@link
   * Advertisement#OWNER_PRIORITY}, and a backup otherwise.
   */
  public record Startup() implements Event {}

  /**
   * The router stops, or resigns as the active router. After a resignation it is started again with
   * {@link Startup}.
   */
  public record Shutdown() implements Event {}

  /**
   * The time of {@link #nextDeadline} has come. An earlier tick changes no role and causes no
   * action.
   */
  public record Tick() implements Event {}

  /**
   * A valid advertisement for this virtual router was received.
   *
   * @param priority sender's priority; {@link Advertisement#RESIGN_PRIORITY} if the sender stops
   * @param sender sender's {@link Settings#tieBreaker}
   * @param interval sender's advertisement interval
   */
  public record AdvertisementReceived(int priority, long sender, Duration interval)
      implements Event {}

  /**
   * The priority of this gateway has changed.
   *
   * @param priority new priority, 1 to 255
   */
  public record PriorityChanged(int priority) implements Event {}

  /** An output of the state machine. */
  public sealed interface Action {}

  /**
   * Immediately send an advertisement to all peers.
   *
   * @param priority priority to advertise
   */
  public record SendAdvertisement(int priority) implements Action {}

  /** Bind the shared address, announce it and serve, once all required grants are held. */
  public record TakeAddress() implements Action {}

  /**
   * Unbind the shared address. Requests in flight get the answers that are still allowed, which is
   * not decided here.
   *
   * @param reason why the address is released
   */
  public record ReleaseAddress(ReleaseReason reason) implements Action {}

  /** The reasons for which a router gives up the shared address. */
  public enum ReleaseReason {
    /** The router was shut down or resigned. */
    STOPPED,
    /** Another active router has a higher priority, or equal priority and a higher tie breaker. */
    HIGHER_PRIORITY,
    /** The lease, or the grants of more than half of the voters, ended before their renewal. */
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
   * Whether the lease lets a router in this state act for the shared address. To be checked right
   * before each action on its behalf, such as accepting a request.
   */
  public static boolean mayAct(State state, Duration now) {
    return state.role == Role.ACTIVE && now.compareTo(state.leaseUntil) < 0;
  }

  /** Returns when a {@link Tick} is due unless another event occurs earlier; null for never. */
  public static Duration nextDeadline(State state) {
    return switch (state.role) {
      case INITIALIZE -> null;
      case BACKUP -> {
        // A backup ticks twice per interval. A gap of more than one interval between its events
        // therefore means that the process was suspended.
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
