package tamarindroute.facts;

import java.time.Duration;

/**
 * An opinion of a cache, of one member or merged from several. Merging takes the greater failure
 * evidence, the shorter uptime, and "down" if anyone says so. Opinions of others therefore make a
 * cache look worse or colder here, never better or warmer, and they decay with age. Immutable.
 *
 * @param failureEvidence 0 to 9, decayed by age
 * @param uptime lower bound of how long the cache has been up, or null if unknown
 */
public record CacheOpinion(double failureEvidence, boolean up, Duration uptime) {

  /** Opinion without any information; the neutral element of {@link #merge}. */
  public static final CacheOpinion NEUTRAL = new CacheOpinion(0, true, null);

  /** Time constant of the decay, the same as of the policy's own evidence. */
  static final Duration DECAY_TIME = Duration.ofSeconds(20);

  /** Returns the merged opinion. Commutative, associative and idempotent. */
  public CacheOpinion merge(CacheOpinion other) {
    return new CacheOpinion(
        Math.max(failureEvidence, other.failureEvidence),
        up && other.up,
        shorterKnown(uptime, other.uptime));
  }

  private static Duration shorterKnown(Duration one, Duration other) {
    if (one == null) {
      return other;
    }
    if (other == null) {
      return one;
    }
    return other.compareTo(one) < 0 ? other : one;
  }

  /** Returns the opinion that a fact of this age still supports; "down" lasts one decay time. */
  static CacheOpinion of(Fact.CacheHealth health, Duration age, Duration uptime) {
    double decayTimes = age.toNanos() / (double) DECAY_TIME.toNanos();
    double decayedEvidence = health.failureEvidence() * Math.exp(-decayTimes);
    boolean up = health.up() || age.compareTo(DECAY_TIME) >= 0;
    return new CacheOpinion(decayedEvidence, up, uptime);
  }
}
