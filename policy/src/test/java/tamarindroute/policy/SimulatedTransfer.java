package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome;
import tamarindroute.numeric.Seconds;

/** An attempt in flight in a simulation. It waits first, and then transfers its work. */
final class SimulatedTransfer {

  /**
   * The outcome of an attempt unless it is cut off first, by a deadline or a failure.
   *
   * @param sender the cache that sends the object
   * @param result how the attempt ends
   * @param detail where the answer comes from
   * @param delay wait before the transfer, in seconds
   */
  record PlannedOutcome(
      SimulatedCache sender, Outcome.Result result, Outcome.Detail detail, double delay) {}

  private final SimulatedRequest request;
  private final Attempt attempt;
  private final SimulatedCache target;
  private final PlannedOutcome plannedOutcome;
  private double remainingWait;
  private double remainingWork;

  SimulatedTransfer(
      SimulatedRequest request,
      Attempt attempt,
      SimulatedCache target,
      PlannedOutcome plannedOutcome) {
    this.request = request;
    this.attempt = attempt;
    this.target = target;
    this.plannedOutcome = plannedOutcome;
    remainingWait = plannedOutcome.delay();
    remainingWork = plannedOutcome.result() == Outcome.Result.SERVED ? request.work() : 0;
  }

  SimulatedRequest request() {
    return request;
  }

  Attempt attempt() {
    return attempt;
  }

  /** Returns the cache that the attempt was sent to. */
  SimulatedCache target() {
    return target;
  }

  /** Returns the cache that sends the object. */
  SimulatedCache sender() {
    return plannedOutcome.sender();
  }

  PlannedOutcome plannedOutcome() {
    return plannedOutcome;
  }

  boolean isSending() {
    return remainingWait <= 0;
  }

  boolean isDone() {
    return remainingWait <= 0 && remainingWork <= 0;
  }

  boolean isPastDeadline(double now) {
    return now >= Seconds.seconds(request.request().deadline);
  }

  boolean isFill() {
    return plannedOutcome.sender() != target;
  }

  /** Whether the transfer passes the link into the location. */
  boolean usesInboundLink() {
    return !target.isEdge() || !plannedOutcome.sender().isEdge();
  }

  /**
   * Advances the transfer by one simulation step.
   *
   * @param step duration of the step, in seconds
   * @param linkSpeed speed that the link into the location allows, relative to a transfer on an
   *     idle cache
   * @param now seconds since the start of the simulation
   */
  void advance(double step, double linkSpeed, double now) {
    if (remainingWait > 0) {
      remainingWait -= target.isHung() || plannedOutcome.sender().isHung() ? 0 : step;
    } else {
      double speed =
          Math.min(
              linkSpeed,
              Math.min(target.relativeSpeed(now), plannedOutcome.sender().relativeSpeed(now)));
      remainingWork -= step * speed;
    }
  }
}
