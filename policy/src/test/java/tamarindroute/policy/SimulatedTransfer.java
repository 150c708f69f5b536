package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome;

/** An attempt in flight: first a wait, then the transfer of its work. */
final class SimulatedTransfer {

  /**
   * What an attempt comes to.
   *
   * @param from the cache that sends the object
   * @param delay wait before the transfer, in seconds
   */
  record Fate(SimulatedCache from, Outcome.Result result, Outcome.Detail detail, double delay) {}

  private final SimulatedRequest request;
  private final Attempt attempt;
  private final SimulatedCache at;
  private final Fate fate;
  private double remainingWait;
  private double remainingWork;

  SimulatedTransfer(SimulatedRequest request, Attempt attempt, SimulatedCache at, Fate fate) {
    this.request = request;
    this.attempt = attempt;
    this.at = at;
    this.fate = fate;
    remainingWait = fate.delay();
    remainingWork = fate.result() == Outcome.Result.SERVED ? request.work() : 0;
  }

  SimulatedRequest request() {
    return request;
  }

  Attempt attempt() {
    return attempt;
  }

  /** Returns the cache that the attempt was sent to. */
  SimulatedCache at() {
    return at;
  }

  /** Returns the cache that sends the object. */
  SimulatedCache from() {
    return fate.from();
  }

  Fate fate() {
    return fate;
  }

  boolean isSending() {
    return remainingWait <= 0;
  }

  boolean isDone() {
    return remainingWait <= 0 && remainingWork <= 0;
  }

  boolean isFill() {
    return fate.from() != at;
  }

  /** Whether it takes a part of the link into the location. */
  boolean usesInboundLink() {
    return !at.isEdge() || !fate.from().isEdge();
  }

  /**
   * Advances by one step.
   *
   * @param step seconds
   * @param linkPace speed that the link into the location allows, relative to an undisturbed
   *     transfer
   */
  void advance(double step, double linkPace, double now) {
    if (remainingWait > 0) {
      remainingWait -= at.isHung() || fate.from().isHung() ? 0 : step;
    } else {
      double pace = Math.min(linkPace, Math.min(at.pace(now), fate.from().pace(now)));
      remainingWork -= step * pace;
    }
  }
}
