package tamarindroute.membership;

import java.time.Duration;

/**
 * What a membership is told; all members of one have the same.
 *
 * @param probePeriod in which each member probes one other
 * @param probeTimeout after which a probe is repeated, until round trips are known
 * @param toleratedPause how long a member may be stopped and still not be said to be away
 * @param indirectProbes how many others are asked to probe in one's place, each time
 * @param suspectProbers how many are drawn to look at a suspect, at the least
 * @param lowWatermark so many reports make the others' cut wait for this suspect's
 * @param highWatermark so many observers' reports make a cut; fewer where fewer are there, two at
 *     the least
 * @param maxUpdatesPerMessage most in one message
 * @param maxBytesPerSecond most that are sent a second
 * @param maxMembers most that are remembered, gone ones included
 * @param guards all on, but in measurements
 */
public record MembershipSettings(
    Duration probePeriod,
    Duration probeTimeout,
    Duration toleratedPause,
    int indirectProbes,
    int suspectProbers,
    int lowWatermark,
    int highWatermark,
    int maxUpdatesPerMessage,
    int maxBytesPerSecond,
    int maxMembers,
    Guards guards) {

  /** What can be left out, to see what it is good for. */
  public record Guards(boolean localHealth, boolean confirmation, boolean pauseDetection) {
    public static final Guards ALL = new Guards(true, true, true);
    public static final Guards NONE = new Guards(false, false, false);
  }

  /**
   * A second's probes; pauses of three are borne, and the dead known to all within ten periods
   * (design note).
   */
  public static final MembershipSettings DEFAULTS =
      new MembershipSettings(
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
  private static final int MAX_UPDATES_PER_MESSAGE = 64;

  public MembershipSettings {
    require(probePeriod.compareTo(Duration.ofMillis(10)) >= 0, "period: 10 ms at the least");
    require(
        probeTimeout.compareTo(Duration.ofMillis(1)) >= 0
            && probeTimeout.multipliedBy(6).compareTo(probePeriod) <= 0,
        "timeout: 1 ms to a sixth of the period");
    require(toleratedPause.compareTo(probePeriod) >= 0, "pause: a period at the least");
    require(indirectProbes >= 1 && indirectProbes <= 16, "indirect: 1 to 16");
    require(suspectProbers >= highWatermark && suspectProbers <= 64, "observers: high to 64");
    require(
        lowWatermark >= 1 && lowWatermark <= highWatermark && highWatermark >= 2,
        "low and high: 1 <= low <= high, high 2 at the least");
    require(
        maxUpdatesPerMessage >= 4 && maxUpdatesPerMessage <= MAX_UPDATES_PER_MESSAGE,
        "rumours: 4 to 64");
    require(maxBytesPerSecond >= 4_096, "bytes: 4096 at the least");
    require(maxMembers >= 2, "members: 2 at the least");
  }

  public MembershipSettings withGuards(Guards replacement) {
    return new MembershipSettings(
        probePeriod,
        probeTimeout,
        toleratedPause,
        indirectProbes,
        suspectProbers,
        lowWatermark,
        highWatermark,
        maxUpdatesPerMessage,
        maxBytesPerSecond,
        maxMembers,
        replacement);
  }

  private static void require(boolean holds, String requirement) {
    if (!holds) {
      throw new IllegalArgumentException(requirement);
    }
  }
}
