package tamarindroute.membership;

import java.time.Duration;

/**
 * What a membership is told; all members of one have the same.
 *
 * @param period in which each member probes one other
 * @param timeout after which a probe is repeated, until round trips are known
 * @param pause how long a member may be stopped and still not be said to be away
 * @param indirect how many others are asked to probe in one's place, each time
 * @param observers how many are drawn to look at a suspect, at the least
 * @param low so many reports make the others' cut wait for this suspect's
 * @param high so many observers' reports make a cut; fewer where fewer are there, two at the least
 * @param rumours most in one message
 * @param bytes most that are sent a second
 * @param members most that are remembered, gone ones included
 * @param guards all on, but in measurements
 */
public record Settings(
    Duration period,
    Duration timeout,
    Duration pause,
    int indirect,
    int observers,
    int low,
    int high,
    int rumours,
    int bytes,
    int members,
    Guards guards) {

  /** What can be left out, to see what it is good for. */
  public record Guards(boolean health, boolean confirm, boolean pauses) {
    public static final Guards ALL = new Guards(true, true, true);
    public static final Guards NONE = new Guards(false, false, false);
  }

  /**
   * A second's probes; pauses of three are borne, and the dead known to all within ten periods
   * (design note).
   */
  public static final Settings USUAL =
      new Settings(
          Duration.ofSeconds(1),
          Duration.ofMillis(120),
          Duration.ofSeconds(3),
          3,
          12,
          2,
          5,
          24,
          65_536,
          8_192,
          Guards.ALL);

  /** A cluster in need of more than this would not fit the bounds on one datagram's length. */
  private static final int MOST_RUMOURS = 64;

  public Settings {
    require(period.compareTo(Duration.ofMillis(10)) >= 0, "period: 10 ms at the least");
    require(
        timeout.compareTo(Duration.ofMillis(1)) >= 0
            && timeout.multipliedBy(6).compareTo(period) <= 0,
        "timeout: 1 ms to a sixth of the period");
    require(pause.compareTo(period) >= 0, "pause: a period at the least");
    require(indirect >= 1 && indirect <= 16, "indirect: 1 to 16");
    require(observers >= high && observers <= 64, "observers: high to 64");
    require(
        low >= 1 && low <= high && high >= 2,
        "low and high: 1 <= low <= high, high 2 at the least");
    require(rumours >= 4 && rumours <= MOST_RUMOURS, "rumours: 4 to 64");
    require(bytes >= 4_096, "bytes: 4096 at the least");
    require(members >= 2, "members: 2 at the least");
  }

  public Settings with(Guards others) {
    return new Settings(
        period, timeout, pause, indirect, observers, low, high, rumours, bytes, members, others);
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new IllegalArgumentException(what);
    }
  }
}
