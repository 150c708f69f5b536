package tamarindroute.membership;

import java.time.Duration;

/**
 * Settings of a membership; they have to be the same at all members.
 *
 * @param probePeriod interval in which each member probes one other; at least 10 ms
 * @param probeTimeout time after which a probe is repeated until round trips are known; 1 ms to a
 *     sixth of the period
 * @param toleratedPause how long a member may stand still without being declared faulty; at least a
 *     period
 * @param indirectProbes how many others are asked for an indirect probe, 1 to 16
 * @param suspectProbers how many members probe a suspect out of turn, highWatermark to 64
 * @param lowWatermark number of reports from which on other suspects wait for this one
 * @param highWatermark number of reports that declare a member faulty; fewer, but at least two, in
 *     small groups
 * @param maxUpdatesPerMessage 4 to 64
 * @param maxBytesPerSecond bound on what is sent, at least 4,096
 * @param maxMembers bound on the table, members that are gone included; at least 2
 * @param guards all on, except in measurements
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

  /**
   * Parts of the protocol that can be switched off to measure their effect.
   *
   * @param localHealth waits longer while this member is in poor health
   * @param confirmation needs several observers to declare a member faulty
   * @param pauseDetection detects pauses of this process and tolerates those of others
   */
  public record Guards(boolean localHealth, boolean confirmation, boolean pauseDetection) {
    public static final Guards ALL = new Guards(true, true, true);
    public static final Guards NONE = new Guards(false, false, false);
  }

  private static final Duration MIN_PERIOD = Duration.ofMillis(10);
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);
  private static final int MAX_INDIRECT_PROBES = 16;
  private static final int MAX_SUSPECT_PROBERS = 64;
  private static final int MIN_HIGH_WATERMARK = 2;
  private static final int MIN_UPDATES_PER_MESSAGE = 4;
  private static final int MAX_UPDATES_PER_MESSAGE = 64;
  private static final int MIN_BYTES_PER_SECOND = 4_096;
  private static final int MIN_MEMBERS = 2;

  /** Tolerates pauses of 3 s; a failure is known to all within ten periods. */
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

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if a setting is out of its bounds
   */
  public MembershipSettings {
    require(probePeriod.compareTo(MIN_PERIOD) >= 0, "probe period", probePeriod, "at least 10 ms");
    require(
        probeTimeout.compareTo(MIN_TIMEOUT) >= 0
            && probeTimeout.multipliedBy(HealthScore.PROBE_STAGES).compareTo(probePeriod) <= 0,
        "probe timeout",
        probeTimeout,
        "1 ms to a sixth of the probe period");
    require(
        toleratedPause.compareTo(probePeriod) >= 0,
        "tolerated pause",
        toleratedPause,
        "at least a probe period");
    requireRange("indirect probes", indirectProbes, 1, MAX_INDIRECT_PROBES);
    require(highWatermark >= MIN_HIGH_WATERMARK, "high watermark", highWatermark, "at least 2");
    requireRange("low watermark", lowWatermark, 1, highWatermark);
    requireRange("suspect probers", suspectProbers, highWatermark, MAX_SUSPECT_PROBERS);
    requireRange(
        "updates per message",
        maxUpdatesPerMessage,
        MIN_UPDATES_PER_MESSAGE,
        MAX_UPDATES_PER_MESSAGE);
    require(
        maxBytesPerSecond >= MIN_BYTES_PER_SECOND,
        "bytes per second",
        maxBytesPerSecond,
        "at least " + MIN_BYTES_PER_SECOND);
    require(maxMembers >= MIN_MEMBERS, "members", maxMembers, "at least " + MIN_MEMBERS);
  }

  /** These settings with other guards. */
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

  private static void requireRange(String setting, int value, int min, int max) {
    require(value >= min && value <= max, setting, value, min + " to " + max);
  }

  private static void require(boolean holds, String setting, Object value, String allowed) {
    if (!holds) {
      throw new IllegalArgumentException(setting + " " + value + " is not allowed: " + allowed);
    }
  }
}
