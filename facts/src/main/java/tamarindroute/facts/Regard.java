package tamarindroute.facts;

import java.time.Duration;

/**
 * What is thought of a cache, and how the thoughts of several are joined: the greater doubt, the
 * shorter time up, down if any says so. So a word of others can make a cache worse and colder here,
 * never better or warmer, whatever its age; and it fades, so that an old one says nothing.
 * Immutable.
 *
 * @param upFor how long it has been up, at least; null where that is not known
 */
public record Regard(double doubt, boolean up, Duration upFor) {

  /** Of whom nothing is known: the neutral one in every joining. */
  public static final Regard NOTHING = new Regard(0, true, null);

  /** As the policy's own evidence fades. */
  static final Duration FADES = Duration.ofSeconds(20);

  public Regard and(Regard other) {
    Duration shorter =
        upFor == null || other.upFor != null && other.upFor.compareTo(upFor) < 0
            ? other.upFor
            : upFor;
    return new Regard(Math.max(doubt, other.doubt), up && other.up, shorter);
  }

  /** What a word of this age still says. That it was down is said for as long as evidence fades. */
  static Regard of(Fact.Health health, Duration age, Duration upFor) {
    double faded = health.doubt() * Math.exp(-age.toNanos() / (double) FADES.toNanos());
    return new Regard(faded, health.up() || age.compareTo(FADES) >= 0, upFor);
  }
}
