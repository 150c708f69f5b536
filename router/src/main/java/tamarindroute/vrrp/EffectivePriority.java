package tamarindroute.vrrp;

import java.time.Duration;

/**
 * Owns how good a candidate a gateway is: the priority told, less what tracked facts cost. Falls
 * count at once, rises only when the fact has held for a while, so that a fact that comes and goes
 * does not make the address flap. A cold standby stays under every healthy one's priority and so
 * never preempts it. Immutable.
 */
public record EffectivePriority(int configured, int current, Duration betterSince) {

  /**
   * What is tracked.
   *
   * @param listReceived whether the list of caches is in and the feed not silent
   * @param warm whether the code is compiled and the popularities are there
   * @param reachableShare the part of the location's ready caches that answer from here
   */
  public record TrackedState(boolean listReceived, boolean warm, double reachableShare) {}

  /**
   * Without a list a gateway can't place a view: it is a candidate only where there is no other.
   */
  private static final int MAX_WITHOUT_LIST = 1;

  /**
   * A cold one comes after every healthy one of priorities as they are given, and before those
   * without a list.
   */
  private static final int MAX_COLD = 20;

  /**
   * A fact must hold for so long before it raises the priority: several times what a list's lag or
   * a probe takes.
   */
  private static final Duration RAISE_DELAY = Duration.ofSeconds(10);

  public static EffectivePriority of(int told) {
    return new EffectivePriority(told, Math.min(told, MAX_WITHOUT_LIST), null);
  }

  /** With the facts as they are at this time. */
  public EffectivePriority with(TrackedState facts, Duration at) {
    int worth = target(facts);
    if (worth <= current) {
      return new EffectivePriority(configured, worth, null);
    }
    Duration since = betterSince == null ? at : betterSince;
    boolean proven = at.minus(since).compareTo(RAISE_DELAY) >= 0;
    return proven
        ? new EffectivePriority(configured, worth, null)
        : new EffectivePriority(configured, current, since);
  }

  private int target(TrackedState facts) {
    if (configured == Advertisement.OWNER_PRIORITY && facts.listReceived) {
      return configured;
    }
    if (!facts.listReceived) {
      return Math.min(configured, MAX_WITHOUT_LIST);
    }
    int least = Math.min(configured, MAX_WITHOUT_LIST + 1);
    int most = facts.warm ? configured : Math.min(configured, MAX_COLD);
    double reached = Math.max(0, Math.min(1, facts.reachableShare));
    return (int) Math.max(least, Math.round(most * reached));
  }
}
