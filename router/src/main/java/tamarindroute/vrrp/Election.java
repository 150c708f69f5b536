package tamarindroute.vrrp;

import java.time.Duration;
import java.util.List;

/**
 * Owns the state machine of one virtual router (RFC 9568, 6.4) as a function: a state, an event and
 * the time of a clock that never goes back give the next state and what is to be done. What it adds
 * to the standard is the lease: who is active may act only for the time in which no peer that heard
 * its last advertisement can have taken over. It must never keep anything between calls.
 *
 * <p>The lease is three intervals from the last advertisement's sending: a peer that heard it waits
 * three intervals and its skew from then or later. Whoever acts asks mayAct first, on the thread
 * that acts: a process that was stopped finds out before it does anything, and not by a timer.
 */
public final class Election {

  /** RFC 9568, 6.1: an active router is missed after so many intervals and the skew. */
  private static final int MISSED_INTERVALS = 3;

  private static final int PRIORITY_COUNT = 256;

  public enum Role {
    INITIALIZE,
    BACKUP,
    ACTIVE
  }

  /**
   * What a virtual router is told.
   *
   * @param tieBreaker this gateway's address as a number, by which ties are broken: the higher one
   *     wins
   * @param preemptDelay how long a better candidate watches a worse active one before it takes over
   */
  public record Settings(
      long tieBreaker, Duration interval, boolean preempt, Duration preemptDelay) {}

  /**
   * Where a virtual router is. Times are of the monotonic clock; null for none.
   *
   * @param activeInterval the active one's interval, as its advertisements tell it
   * @param activeDownAt when the active one will be missed
   * @param advertiseAt when the next advertisement is due
   * @param leaseUntil until when this one may act
   * @param preemptableSince since when a worse one has been heard active, while this one may
   *     preempt
   * @param lastEventAt when an event was last taken: a long gap means that the process was stopped
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

  public sealed interface Event {}

  /** It begins; with the owner's priority it is active at once. */
  public record Startup() implements Event {}

  /** It stops in order, or resigns for now. */
  public record Shutdown() implements Event {}

  /** Time has passed. */
  public record Tick() implements Event {}

  /** An advertisement that was read, proven and meant for this virtual router. */
  public record AdvertisementReceived(int priority, long sender, Duration interval)
      implements Event {}

  /** How good a candidate this one is has changed. */
  public record PriorityChanged(int priority) implements Event {}

  public sealed interface Action {}

  /** Send an advertisement of this priority, now. */
  public record SendAdvertisement(int priority) implements Action {}

  /** Bind the address, announce it and serve. */
  public record TakeAddress() implements Action {}

  /** Unbind the address; answer what is open by what it still may. */
  public record ReleaseAddress(ReleaseReason reason) implements Action {}

  public enum ReleaseReason {
    STOPPED,
    HIGHER_PRIORITY,
    LEASE_EXPIRED
  }

  /** The next state, and what is to be done, in this order. */
  public record Step(State state, List<Action> actions) {}

  private Election() {}

  /** Before its start. */
  public static State initial(int priority, Settings settings) {
    return new State(Role.INITIALIZE, priority, settings.interval(), null, null, null, null, null);
  }

  /** Whether whoever holds this state may act for the address, asked at the moment of acting. */
  public static boolean mayAct(State state, Duration now) {
    return state.role == Role.ACTIVE && now.compareTo(state.leaseUntil) < 0;
  }

  /** When something is due though nothing is heard; null for never. */
  public static Duration nextDeadline(State state) {
    return switch (state.role) {
      case INITIALIZE -> null;
      case BACKUP -> {
        Duration look = state.lastEventAt.plus(state.activeInterval.dividedBy(2));
        yield state.activeDownAt.compareTo(look) < 0 ? state.activeDownAt : look;
      }
      case ACTIVE ->
          state.advertiseAt.compareTo(state.leaseUntil) < 0 ? state.advertiseAt : state.leaseUntil;
    };
  }

  static Duration skewTime(int priority, Duration interval) {
    return interval.multipliedBy(PRIORITY_COUNT - priority).dividedBy(PRIORITY_COUNT);
  }

  private static Duration activeDownInterval(int priority, Duration interval) {
    return interval.multipliedBy(MISSED_INTERVALS).plus(skewTime(priority, interval));
  }

  public static Step next(State state, Event event, Duration now, Settings settings) {
    // Whatever wakes an active one whose lease is over finds that first: it may have been stopped
    // for long.
    if (state.role == Role.ACTIVE && now.compareTo(state.leaseUntil) >= 0) {
      State back = toBackup(state, settings.interval(), now);
      List<Action> dropped = List.of(new ReleaseAddress(ReleaseReason.LEASE_EXPIRED));
      Step after =
          event instanceof Tick ? new Step(back, List.of()) : next(back, event, now, settings);
      return new Step(after.state, concat(dropped, after.actions));
    }
    if (event instanceof Startup) {
      return state.role != Role.INITIALIZE
          ? new Step(state, List.of())
          : state.priority == Advertisement.OWNER_PRIORITY
              ? toActive(state, now, settings)
              : new Step(toBackup(state, settings.interval(), now), List.of());
    }
    if (event instanceof Shutdown) {
      List<Action> actions =
          state.role == Role.ACTIVE
              ? List.of(
                  new ReleaseAddress(ReleaseReason.STOPPED),
                  new SendAdvertisement(Advertisement.RESIGN_PRIORITY))
              : List.of();
      return new Step(initial(state.priority, settings), actions);
    }
    if (event instanceof PriorityChanged changed) {
      // A waiting one's timer is not set anew: its next advertisement heard does that by the new
      // priority.
      return new Step(
          new State(
              state.role,
              changed.priority,
              state.activeInterval,
              state.activeDownAt,
              state.advertiseAt,
              state.leaseUntil,
              state.preemptableSince,
              now),
          List.of());
    }
    return switch (state.role) {
      case INITIALIZE -> new Step(state, List.of());
      case BACKUP ->
          event instanceof AdvertisementReceived advertisement
              ? receiveAsBackup(state, advertisement, now, settings)
              : tickAsBackup(state, now, settings);
      case ACTIVE ->
          event instanceof AdvertisementReceived advertisement
              ? receiveAsActive(state, advertisement, now, settings)
              : now.compareTo(state.advertiseAt) >= 0
                  ? advertise(state, now, settings)
                  : new Step(state, List.of());
    };
  }

  private static <T> List<T> concat(List<T> first, List<T> second) {
    return java.util.stream.Stream.concat(first.stream(), second.stream()).toList();
  }

  private static State toBackup(State state, Duration interval, Duration now) {
    return new State(
        Role.BACKUP,
        state.priority,
        interval,
        now.plus(activeDownInterval(state.priority, interval)),
        null,
        null,
        null,
        now);
  }

  private static Step toActive(State state, Duration now, Settings settings) {
    Step step = advertise(state, now, settings);
    return new Step(step.state, concat(step.actions, List.of(new TakeAddress())));
  }

  private static Step advertise(State state, Duration now, Settings settings) {
    Duration lease = now.plus(settings.interval().multipliedBy(MISSED_INTERVALS));
    return new Step(
        new State(
            Role.ACTIVE,
            state.priority,
            settings.interval(),
            null,
            now.plus(settings.interval()),
            lease,
            null,
            now),
        List.of(new SendAdvertisement(state.priority)));
  }

  /**
   * Nothing was heard. A process that was stopped has its advertisements still waiting to be read,
   * and must not take them for missing: it listens for one interval more.
   */
  private static Step tickAsBackup(State state, Duration now, Settings settings) {
    boolean stopped = now.minus(state.lastEventAt).compareTo(state.activeInterval) > 0;
    if (now.compareTo(state.activeDownAt) >= 0 && !stopped) {
      return toActive(state, now, settings);
    }
    Duration listening = now.plus(state.activeInterval);
    Duration downAt =
        stopped && state.activeDownAt.compareTo(listening) < 0 ? listening : state.activeDownAt;
    return new Step(
        new State(
            Role.BACKUP,
            state.priority,
            state.activeInterval,
            downAt,
            null,
            null,
            state.preemptableSince,
            now),
        List.of());
  }

  private static Step receiveAsBackup(
      State state, AdvertisementReceived advertisement, Duration now, Settings settings) {
    if (advertisement.priority == Advertisement.RESIGN_PRIORITY) {
      // It has stopped: only the skew is waited, so that the best of several comes first.
      Duration soon = now.plus(skewTime(state.priority, state.activeInterval));
      Duration at = state.activeDownAt.compareTo(soon) < 0 ? state.activeDownAt : soon;
      return new Step(
          new State(Role.BACKUP, state.priority, state.activeInterval, at, null, null, null, now),
          List.of());
    }
    boolean worse = advertisement.priority < state.priority;
    if (!settings.preempt() || !worse) {
      return new Step(toBackup(state, advertisement.interval, now), List.of());
    }
    Duration since = state.preemptableSince == null ? now : state.preemptableSince;
    if (now.minus(since).compareTo(settings.preemptDelay()) >= 0) {
      return toActive(state, now, settings);
    }
    State watching = toBackup(state, advertisement.interval, now);
    return new Step(
        new State(
            Role.BACKUP,
            watching.priority,
            watching.activeInterval,
            watching.activeDownAt,
            null,
            null,
            since,
            now),
        List.of());
  }

  private static Step receiveAsActive(
      State state, AdvertisementReceived advertisement, Duration now, Settings settings) {
    if (advertisement.priority == Advertisement.RESIGN_PRIORITY) {
      return advertise(state, now, settings);
    }
    boolean better =
        advertisement.priority > state.priority
            || (advertisement.priority == state.priority
                && advertisement.sender > settings.tieBreaker());
    if (better) {
      return new Step(
          toBackup(state, advertisement.interval, now),
          List.of(new ReleaseAddress(ReleaseReason.HIGHER_PRIORITY)));
    }
    // RFC 9568, 6.4.3: the worse one is told at once, so that both are active for one way and no
    // longer.
    return advertisement.sender == settings.tieBreaker()
        ? new Step(state, List.of())
        : advertise(state, now, settings);
  }
}
