package tamarindroute.vrrp;

import java.time.Duration;

/**
 * The priority with which a gateway takes part in an election: its configured priority, lowered
 * while the gateway is not fully able to serve. Immutable.
 *
 * <p>The priority falls at once and rises only after its reason has lasted for a while, so that a
 * condition that comes and goes does not move the shared address back and forth. A cold standby
 * stays below the priority of every healthy gateway and so never preempts one.
 *
 * @param configured configured priority, 1 to 255
 * @param current priority to advertise, at most {@code configured}
 * @param betterSince time since which the tracked state has justified a higher priority than the
 *     current one; null if it does not
 */
public record EffectivePriority(int configured, int current, Duration betterSince) {

  /**
   * The conditions of a gateway that its priority depends on.
   *
   * @param listReceived whether the list of caches was received and the control feed is not silent
   * @param warm whether the code is compiled and the popularity of objects is known
   * @param reachableShare share of the location's ready caches that this gateway reaches, 0 to 1;
   *     values beyond are taken as the nearest bound
   */
  public record TrackedState(boolean listReceived, boolean warm, double reachableShare) {}

  /**
   * A gateway without a list of caches can't route requests, so it should be active only if there
   * is no other.
   */
  private static final int MAX_WITHOUT_LIST = 1;

  /** Below the usual configured priorities of healthy gateways, and above those without a list. */
  private static final int MAX_COLD = 20;

  /** Several times the delay of a list or the duration of a probe. */
  private static final Duration RAISE_DELAY = Duration.ofSeconds(10);

  /** Returns the priority of a gateway that has received no list of caches yet. */
  public static EffectivePriority of(int configured) {
    return new EffectivePriority(configured, Math.min(configured, MAX_WITHOUT_LIST), null);
  }

  /**
   * Returns the priority for a tracked state.
   *
   * @param now monotonic time, not before that of earlier calls
   */
  public EffectivePriority withTrackedState(TrackedState trackedState, Duration now) {
    int target = target(trackedState);
    if (target <= current) {
      return new EffectivePriority(configured, target, null);
    }
    Duration since = betterSince == null ? now : betterSince;
    boolean delayOver = now.minus(since).compareTo(RAISE_DELAY) >= 0;
    return delayOver
        ? new EffectivePriority(configured, target, null)
        : new EffectivePriority(configured, current, since);
  }

  private int target(TrackedState trackedState) {
    if (configured == Advertisement.OWNER_PRIORITY && trackedState.listReceived) {
      return configured;
    }
    if (!trackedState.listReceived) {
      return Math.min(configured, MAX_WITHOUT_LIST);
    }
    int min = Math.min(configured, MAX_WITHOUT_LIST + 1);
    int max = trackedState.warm ? configured : Math.min(configured, MAX_COLD);
    double reachableShare = Math.max(0, Math.min(1, trackedState.reachableShare));
    return (int) Math.max(min, Math.round(max * reachableShare));
  }
}
