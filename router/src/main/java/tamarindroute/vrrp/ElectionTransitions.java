package tamarindroute.vrrp;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import tamarindroute.vrrp.Election.Action;
import tamarindroute.vrrp.Election.AdvertisementReceived;
import tamarindroute.vrrp.Election.Event;
import tamarindroute.vrrp.Election.PriorityChanged;
import tamarindroute.vrrp.Election.ReleaseAddress;
import tamarindroute.vrrp.Election.ReleaseReason;
import tamarindroute.vrrp.Election.Role;
import tamarindroute.vrrp.Election.SendAdvertisement;
import tamarindroute.vrrp.Election.Settings;
import tamarindroute.vrrp.Election.Shutdown;
import tamarindroute.vrrp.Election.Startup;
import tamarindroute.vrrp.Election.State;
import tamarindroute.vrrp.Election.Step;
import tamarindroute.vrrp.Election.TakeAddress;
import tamarindroute.vrrp.Election.Tick;

/** The transitions of {@link Election}'s state machine. */
final class ElectionTransitions {

  /** Priorities 0 to 255. The skew time is a fraction of the interval with this denominator. */
  private static final int PRIORITY_COUNT = 256;

  private ElectionTransitions() {}

  static Step next(State state, Event event, Duration now, Settings settings) {
    // Checked before the event itself, because the process may have been suspended for long.
    if (state.role() == Role.ACTIVE && now.compareTo(state.leaseUntil()) >= 0) {
      return expireLease(state, event, now, settings);
    }
    if (event instanceof Startup) {
      return start(state, now, settings);
    }
    if (event instanceof Shutdown) {
      return shutDown(state, settings);
    }
    if (event instanceof PriorityChanged changed) {
      return changePriority(state, changed, now);
    }
    return switch (state.role()) {
      case INITIALIZE -> new Step(state, List.of());
      case BACKUP ->
          event instanceof AdvertisementReceived advertisement
              ? receiveAsBackup(state, advertisement, now, settings)
              : tickAsBackup(state, now, settings);
      case ACTIVE ->
          event instanceof AdvertisementReceived advertisement
              ? receiveAsActive(state, advertisement, now, settings)
              : tickAsActive(state, now, settings);
    };
  }

  /** Releases the address, then handles the event as a backup. */
  private static Step expireLease(State state, Event event, Duration now, Settings settings) {
    State backup = toBackup(state, settings.interval(), now);
    List<Action> release = List.of(new ReleaseAddress(ReleaseReason.LEASE_EXPIRED));
    Step following =
        event instanceof Tick ? new Step(backup, List.of()) : next(backup, event, now, settings);
    return new Step(following.state(), concat(release, following.actions()));
  }

  private static Step start(State state, Duration now, Settings settings) {
    if (state.role() != Role.INITIALIZE) {
      return new Step(state, List.of());
    }
    return state.priority() == Advertisement.OWNER_PRIORITY
        ? toActive(state, now, settings)
        : new Step(toBackup(state, settings.interval(), now), List.of());
  }

  private static Step shutDown(State state, Settings settings) {
    List<Action> actions =
        state.role() == Role.ACTIVE
            ? List.of(
                new ReleaseAddress(ReleaseReason.STOPPED),
                new SendAdvertisement(Advertisement.RESIGN_PRIORITY))
            : List.of();
    return new Step(Election.initial(state.priority(), settings), actions);
  }

  /**
   * Leaves the timer of a backup as it is. The next advertisement received sets it by the new
   * priority.
   */
  private static Step changePriority(State state, PriorityChanged changed, Duration now) {
    return new Step(
        new State(
            state.role(),
            changed.priority(),
            state.activeInterval(),
            state.activeDownAt(),
            state.advertiseAt(),
            state.leaseUntil(),
            state.preemptableSince(),
            now),
        List.of());
  }

  private static <T> List<T> concat(List<T> first, List<T> second) {
    return Stream.concat(first.stream(), second.stream()).toList();
  }

  /** Returns the skew time (RFC 9568, 6.1): shorter for a higher priority. */
  private static Duration skewTime(int priority, Duration interval) {
    return interval.multipliedBy(PRIORITY_COUNT - priority).dividedBy(PRIORITY_COUNT);
  }

  private static Duration activeDownInterval(int priority, Duration interval) {
    return interval.multipliedBy(Election.ACTIVE_DOWN_INTERVALS).plus(skewTime(priority, interval));
  }

  private static State toBackup(State state, Duration activeInterval, Duration now) {
    return new State(
        Role.BACKUP,
        state.priority(),
        activeInterval,
        now.plus(activeDownInterval(state.priority(), activeInterval)),
        null,
        null,
        null,
        now);
  }

  private static Step toActive(State state, Duration now, Settings settings) {
    Step step = advertise(state, now, settings);
    return new Step(step.state(), concat(step.actions(), List.of(new TakeAddress())));
  }

  /** Sends an advertisement and thereby renews the lease. */
  private static Step advertise(State state, Duration now, Settings settings) {
    Duration leaseUntil =
        now.plus(settings.interval().multipliedBy(Election.ACTIVE_DOWN_INTERVALS));
    return new Step(
        new State(
            Role.ACTIVE,
            state.priority(),
            settings.interval(),
            null,
            now.plus(settings.interval()),
            leaseUntil,
            null,
            now),
        List.of(new SendAdvertisement(state.priority())));
  }

  /**
   * Takes over if the active router is down. A process that was suspended still has advertisements
   * to read from its socket and must not count them as missing, so it waits for one more interval.
   */
  private static Step tickAsBackup(State state, Duration now, Settings settings) {
    boolean wasSuspended = now.minus(state.lastEventAt()).compareTo(state.activeInterval()) > 0;
    if (now.compareTo(state.activeDownAt()) >= 0 && !wasSuspended) {
      return toActive(state, now, settings);
    }
    Duration oneIntervalLater = now.plus(state.activeInterval());
    Duration activeDownAt =
        wasSuspended && state.activeDownAt().compareTo(oneIntervalLater) < 0
            ? oneIntervalLater
            : state.activeDownAt();
    return new Step(
        new State(
            Role.BACKUP,
            state.priority(),
            state.activeInterval(),
            activeDownAt,
            null,
            null,
            state.preemptableSince(),
            now),
        List.of());
  }

  private static Step tickAsActive(State state, Duration now, Settings settings) {
    return now.compareTo(state.advertiseAt()) >= 0
        ? advertise(state, now, settings)
        : new Step(state, List.of());
  }

  private static Step receiveAsBackup(
      State state, AdvertisementReceived advertisement, Duration now, Settings settings) {
    if (advertisement.priority() == Advertisement.RESIGN_PRIORITY) {
      return receiveResignation(state, now);
    }
    boolean lowerPriority = advertisement.priority() < state.priority();
    if (!settings.preempt() || !lowerPriority) {
      return new Step(toBackup(state, advertisement.interval(), now), List.of());
    }
    Duration preemptableSince = state.preemptableSince() == null ? now : state.preemptableSince();
    if (now.minus(preemptableSince).compareTo(settings.preemptDelay()) >= 0) {
      return toActive(state, now, settings);
    }
    State backup = toBackup(state, advertisement.interval(), now);
    return new Step(
        new State(
            Role.BACKUP,
            backup.priority(),
            backup.activeInterval(),
            backup.activeDownAt(),
            null,
            null,
            preemptableSince,
            now),
        List.of());
  }

  /**
   * Waits only for the skew time because the active router has stopped. The backup of the highest
   * priority takes over first.
   */
  private static Step receiveResignation(State state, Duration now) {
    Duration skewOver = now.plus(skewTime(state.priority(), state.activeInterval()));
    Duration activeDownAt =
        state.activeDownAt().compareTo(skewOver) < 0 ? state.activeDownAt() : skewOver;
    return new Step(
        new State(
            Role.BACKUP,
            state.priority(),
            state.activeInterval(),
            activeDownAt,
            null,
            null,
            null,
            now),
        List.of());
  }

  private static Step receiveAsActive(
      State state, AdvertisementReceived advertisement, Duration now, Settings settings) {
    if (advertisement.priority() == Advertisement.RESIGN_PRIORITY) {
      return advertise(state, now, settings);
    }
    boolean senderWins =
        advertisement.priority() > state.priority()
            || (advertisement.priority() == state.priority()
                && advertisement.sender() > settings.tieBreaker());
    if (senderWins) {
      return new Step(
          toBackup(state, advertisement.interval(), now),
          List.of(new ReleaseAddress(ReleaseReason.HIGHER_PRIORITY)));
    }
    // Answers the losing router at once (RFC 9568, 6.4.3), so that two are active for no longer
    // than an advertisement takes to arrive.
    return advertisement.sender() == settings.tieBreaker()
        ? new Step(state, List.of())
        : advertise(state, now, settings);
  }
}
