package tamarindroute.facts;

import java.time.Duration;

/**
 * What is thought of a cache, and how the thoughts of several are joined: the greater doubt, the
 * shorter time up, down if any says so. So a word of others can make a cache worse and colder here,
 * never better or warmer, whatever its age; and it fades, so that an old one says nothing.
 * Immutable.
 *
 * @param uptime how long it has been up, at least; null where that is not known
 */
public record CacheOpinion(double failureEvidence, boolean up, Duration uptime) {

  /** Of whom nothing is known: the neutral one in every joining. */
  public static final CacheOpinion NEUTRAL = new CacheOpinion(0, true, null);

  /** As the policy's own evidence fades. */
  static final Duration DECAY_TIME = Duration.ofSeconds(20);

  public CacheOpinion merge(CacheOpinion other) {
    Duration shorter =
        uptime == null || other.uptime != null && other.uptime.compareTo(uptime) < 0
            ? other.uptime
            : uptime;
    return new CacheOpinion(
        Math.max(failureEvidence, other.failureEvidence), up && other.up, shorter);
  }

  /** What a word of this age still says. That it was down is said for as long as evidence fades. */
  static CacheOpinion of(Fact.CacheHealth health, Duration age, Duration uptime) {
    double faded =
        health.failureEvidence() * Math.exp(-age.toNanos() / (double) DECAY_TIME.toNanos());
    return new CacheOpinion(faded, health.up() || age.compareTo(DECAY_TIME) >= 0, uptime);
  }
}
