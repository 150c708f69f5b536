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
  private static final int MISSED = 3;

  private static final int PRIORITIES = 256;

  public enum Role {
    INITIALIZE,
    BACKUP,
    ACTIVE
  }

  /**
   * What a virtual router is told.
   *
   * @param own this gateway's address as a number, by which ties are broken: the higher one wins
   * @param preemptDelay how long a better candidate watches a worse active one before it takes over
   */
  public record Settings(long own, Duration interval, boolean preempt, Duration preemptDelay) {}

  /**
   * Where a virtual router is. Times are of the monotonic clock; null for none.
   *
   * @param heardInterval the active one's interval, as its advertisements tell it
   * @param downAt when the active one will be missed
   * @param advertiseAt when the next advertisement is due
   * @param leaseUntil until when this one may act
   * @param betterSince since when a worse one has been heard active, while this one may preempt
   * @param ranAt when an event was last taken: a long gap means that the process was stopped
   */
  public record State(
      Role role,
      int priority,
      Duration heardInterval,
      Duration downAt,
      Duration advertiseAt,
      Duration leaseUntil,
      Duration betterSince,
      Duration ranAt) {}

  public sealed interface Event {}

  /** It begins; with the owner's priority it is active at once. */
  public record Start() implements Event {}

  /** It stops in order, or resigns for now. */
  public record Stop() implements Event {}

  /** Time has passed. */
  public record Tick() implements Event {}

  /** An advertisement that was read, proven and meant for this virtual router. */
  public record Heard(int priority, long sender, Duration interval) implements Event {}

  /** How good a candidate this one is has changed. */
  public record Changed(int priority) implements Event {}

  public sealed interface Action {}

  /** Send an advertisement of this priority, now. */
  public record Advertise(int priority) implements Action {}

  /** Bind the address, announce it and serve. */
  public record Take() implements Action {}

  /** Unbind the address; answer what is open by what it still may. */
  public record Drop(Why why) implements Action {}

  public enum Why {
    STOPPED,
    BETTER_ONE,
    LEASE_OVER
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
  public static Duration due(State state) {
    return switch (state.role) {
      case INITIALIZE -> null;
      case BACKUP -> {
        Duration look = state.ranAt.plus(state.heardInterval.dividedBy(2));
        yield state.downAt.compareTo(look) < 0 ? state.downAt : look;
      }
      case ACTIVE ->
          state.advertiseAt.compareTo(state.leaseUntil) < 0 ? state.advertiseAt : state.leaseUntil;
    };
  }

  static Duration skew(int priority, Duration interval) {
    return interval.multipliedBy(PRIORITIES - priority).dividedBy(PRIORITIES);
  }

  private static Duration missedAfter(int priority, Duration interval) {
    return interval.multipliedBy(MISSED).plus(skew(priority, interval));
  }

  public static Step next(State state, Event event, Duration now, Settings settings) {
    // Whatever wakes an active one whose lease is over finds that first: it may have been stopped
    // for long.
    if (state.role == Role.ACTIVE && now.compareTo(state.leaseUntil) >= 0) {
      State back = backup(state, settings.interval(), now);
      List<Action> dropped = List.of(new Drop(Why.LEASE_OVER));
      Step after =
          event instanceof Tick ? new Step(back, List.of()) : next(back, event, now, settings);
      return new Step(after.state, join(dropped, after.actions));
    }
    if (event instanceof Start) {
      return state.role != Role.INITIALIZE
          ? new Step(state, List.of())
          : state.priority == Advertisement.OWNER
              ? activate(state, now, settings)
              : new Step(backup(state, settings.interval(), now), List.of());
    }
    if (event instanceof Stop) {
      List<Action> actions =
          state.role == Role.ACTIVE
              ? List.of(new Drop(Why.STOPPED), new Advertise(Advertisement.STOPS))
              : List.of();
      return new Step(initial(state.priority, settings), actions);
    }
    if (event instanceof Changed changed) {
      // A waiting one's timer is not set anew: its next advertisement heard does that by the new
      // priority.
      return new Step(
          new State(
              state.role,
              changed.priority,
              state.heardInterval,
              state.downAt,
              state.advertiseAt,
              state.leaseUntil,
              state.betterSince,
              now),
          List.of());
    }
    return switch (state.role) {
      case INITIALIZE -> new Step(state, List.of());
      case BACKUP ->
          event instanceof Heard heard
              ? heardAsBackup(state, heard, now, settings)
              : tickAsBackup(state, now, settings);
      case ACTIVE ->
          event instanceof Heard heard
              ? heardAsActive(state, heard, now, settings)
              : now.compareTo(state.advertiseAt) >= 0
                  ? advertise(state, now, settings)
                  : new Step(state, List.of());
    };
  }

  private static <T> List<T> join(List<T> first, List<T> second) {
    return java.util.stream.Stream.concat(first.stream(), second.stream()).toList();
  }

  private static State backup(State state, Duration interval, Duration now) {
    return new State(
        Role.BACKUP,
        state.priority,
        interval,
        now.plus(missedAfter(state.priority, interval)),
        null,
        null,
        null,
        now);
  }

  private static Step activate(State state, Duration now, Settings settings) {
    Step step = advertise(state, now, settings);
    return new Step(step.state, join(step.actions, List.of(new Take())));
  }

  private static Step advertise(State state, Duration now, Settings settings) {
    Duration lease = now.plus(settings.interval().multipliedBy(MISSED));
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
        List.of(new Advertise(state.priority)));
  }

  /**
   * Nothing was heard. A process that was stopped has its advertisements still waiting to be read,
   * and must not take them for missing: it listens for one interval more.
   */
  private static Step tickAsBackup(State state, Duration now, Settings settings) {
    boolean stopped = now.minus(state.ranAt).compareTo(state.heardInterval) > 0;
    if (now.compareTo(state.downAt) >= 0 && !stopped) {
      return activate(state, now, settings);
    }
    Duration listening = now.plus(state.heardInterval);
    Duration downAt = stopped && state.downAt.compareTo(listening) < 0 ? listening : state.downAt;
    return new Step(
        new State(
            Role.BACKUP,
            state.priority,
            state.heardInterval,
            downAt,
            null,
            null,
            state.betterSince,
            now),
        List.of());
  }

  private static Step heardAsBackup(State state, Heard heard, Duration now, Settings settings) {
    if (heard.priority == Advertisement.STOPS) {
      // It has stopped: only the skew is waited, so that the best of several comes first.
      Duration soon = now.plus(skew(state.priority, state.heardInterval));
      Duration at = state.downAt.compareTo(soon) < 0 ? state.downAt : soon;
      return new Step(
          new State(Role.BACKUP, state.priority, state.heardInterval, at, null, null, null, now),
          List.of());
    }
    boolean worse = heard.priority < state.priority;
    if (!settings.preempt() || !worse) {
      return new Step(backup(state, heard.interval, now), List.of());
    }
    Duration since = state.betterSince == null ? now : state.betterSince;
    if (now.minus(since).compareTo(settings.preemptDelay()) >= 0) {
      return activate(state, now, settings);
    }
    State watching = backup(state, heard.interval, now);
    return new Step(
        new State(
            Role.BACKUP,
            watching.priority,
            watching.heardInterval,
            watching.downAt,
            null,
            null,
            since,
            now),
        List.of());
  }

  private static Step heardAsActive(State state, Heard heard, Duration now, Settings settings) {
    if (heard.priority == Advertisement.STOPS) {
      return advertise(state, now, settings);
    }
    boolean better =
        heard.priority > state.priority
            || heard.priority == state.priority && heard.sender > settings.own();
    if (better) {
      return new Step(backup(state, heard.interval, now), List.of(new Drop(Why.BETTER_ONE)));
    }
    // RFC 9568, 6.4.3: the worse one is told at once, so that both are active for one way and no
    // longer.
    return heard.sender == settings.own()
        ? new Step(state, List.of())
        : advertise(state, now, settings);
  }
}
