package tamarindroute.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import tamarindroute.vrrp.Election;

/**
 * Simulates an election between two routers whose advertisements are lost at random and
 * independently: how often the backup takes over from a running active router, and for how long
 * both act.
 */
final class ElectionSimulation {

  private static final Duration INTERVAL = Duration.ofMillis(100);
  private static final Duration TRANSIT_TIME = Duration.ofMillis(1);
  private static final int[] PRIORITIES = {200, 100};
  private static final int ACTIVE = 0;
  private static final int BACKUP = 1;

  /** An event that a router is to handle. */
  private record ScheduledEvent(Duration at, int router, Election.Event event) {}

  private final Random random = new Random(7);
  private final double loss;
  private final List<Election.Settings> settings =
      List.of(
          new Election.Settings(2, INTERVAL, true, Duration.ZERO),
          new Election.Settings(1, INTERVAL, true, Duration.ZERO));
  private final List<Election.State> states = new ArrayList<>();
  private final PriorityQueue<ScheduledEvent> queue =
      new PriorityQueue<>(Comparator.comparing(ScheduledEvent::at));
  private int falseTakeovers;
  private Duration bothActive = Duration.ZERO;
  private Duration longestBothActive = Duration.ZERO;

  /** Since when both act; null while they do not. */
  private Duration bothActiveSince;

  private ElectionSimulation(double loss) {
    this.loss = loss;
    for (int router = 0; router < PRIORITIES.length; router++) {
      states.add(Election.initial(PRIORITIES[router], settings.get(router)));
      queue.add(new ScheduledEvent(Duration.ZERO, router, new Election.Startup()));
    }
  }

  /**
   * Runs a simulation and prints its result.
   *
   * @param loss probability that an advertisement is lost
   * @param intervals duration in advertisement intervals
   */
  static void run(double loss, int intervals) {
    ElectionSimulation simulation = new ElectionSimulation(loss);
    simulation.runUntil(INTERVAL.multipliedBy(intervals));
    System.out.printf(
        "simulated, %.0f%% lost, interval 100 ms, %d intervals: %d false take-overs, both active for "
            + "%.3f s in all, %.1f ms at the longest%n",
        loss * 100,
        intervals,
        simulation.falseTakeovers,
        simulation.bothActive.toNanos() / 1e9,
        simulation.longestBothActive.toNanos() / 1e6);
  }

  private void runUntil(Duration end) {
    while (!queue.isEmpty() && queue.peek().at.compareTo(end) < 0) {
      ScheduledEvent next = queue.remove();
      if (!isObsolete(next)) {
        handle(next);
      }
    }
  }

  /** Whether a timer was set again since the event was scheduled. */
  private boolean isObsolete(ScheduledEvent scheduled) {
    Duration due = Election.nextDeadline(states.get(scheduled.router));
    return scheduled.event instanceof Election.Tick
        && (due == null || due.compareTo(scheduled.at) > 0);
  }

  private void handle(ScheduledEvent scheduled) {
    int router = scheduled.router;
    Election.State before = states.get(router);
    Election.Step step = Election.next(before, scheduled.event, scheduled.at, settings.get(router));
    states.set(router, step.state());
    if (router == BACKUP
        && before.role() == Election.Role.BACKUP
        && step.state().role() == Election.Role.ACTIVE
        && states.get(ACTIVE).role() == Election.Role.ACTIVE) {
      falseTakeovers++;
    }
    for (Election.Action action : step.actions()) {
      if (action instanceof Election.SendAdvertisement advertise && random.nextDouble() >= loss) {
        deliver(advertise, scheduled);
      }
    }
    scheduleTimer(scheduled);
    recordBothActive(scheduled.at);
  }

  private void deliver(Election.SendAdvertisement advertise, ScheduledEvent cause) {
    Election.Event heard =
        new Election.AdvertisementReceived(
            advertise.priority(), settings.get(cause.router).tieBreaker(), INTERVAL);
    queue.add(new ScheduledEvent(cause.at.plus(TRANSIT_TIME), 1 - cause.router, heard));
  }

  private void scheduleTimer(ScheduledEvent handled) {
    Duration due = Election.nextDeadline(states.get(handled.router));
    if (due != null) {
      Duration at = due.compareTo(handled.at) > 0 ? due : handled.at.plusNanos(1);
      queue.add(new ScheduledEvent(at, handled.router, new Election.Tick()));
    }
  }

  private void recordBothActive(Duration now) {
    boolean both =
        Election.mayAct(states.get(ACTIVE), now) && Election.mayAct(states.get(BACKUP), now);
    if (both && bothActiveSince == null) {
      bothActiveSince = now;
    } else if (!both && bothActiveSince != null) {
      Duration span = now.minus(bothActiveSince);
      bothActive = bothActive.plus(span);
      longestBothActive = span.compareTo(longestBothActive) > 0 ? span : longestBothActive;
      bothActiveSince = null;
    }
  }
}
