package tamarindroute.membership;

import java.time.Duration;

/**
 * Settings of the membership protocol. They have to be the same at all members.
 *
 * @param probePeriod interval in which each member probes its next target; at least 10 ms
 * @param probeTimeout shortest time after which a probe is repeated, used until round-trip times
 *     are known; 1 ms to a sixth of the probe period
 * @param toleratedPause longest pause of a process that does not make other members declare it
 *     faulty; at least a probe period
 * @param indirectProbes number of members that are requested to probe a silent member indirectly, 1
 *     to 16
 * @param suspectProbers minimum number of members that probe a suspect out of turn, {@code
 *     highWatermark} to 64
 * @param lowWatermark number of reports about a suspect from which on other suspects wait for it to
 *     be declared faulty together, 1 to {@code highWatermark}
 * @param highWatermark number of reports that declare a member faulty, at least 2. In small groups
 *     fewer suffice, but never fewer than two.
 * @param maxUpdatesPerMessage maximum number of updates in one message, 4 to 64
 * @param maxBytesPerSecond bound on the estimated bytes sent per second, at least 4,096
 * @param maxMembers bound on the size of the member table, including gone members; at least 2
 * @param guards extensions of SWIM that are on; all are on except in measurements
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
   * Extensions of SWIM against false failure reports. Each can be switched off to measure its
   * effect.
   *
   * @param localHealth whether the local member waits longer while it is in poor health, and
   *     reports no member while no other member answers it
   * @param confirmation whether several observers are needed to declare a member faulty
   * @param pauseDetection whether pauses of the local process are detected and those of other
   *     members are tolerated
   */
  public record Guards(boolean localHealth, boolean confirmation, boolean pauseDetection) {
    /** All extensions are on. */
    public static final Guards ALL = new Guards(true, true, true);

    /** All extensions are off, for measurements. */
    public static final Guards NONE = new Guards(false, false, false);
  }

  private static final Duration MIN_PROBE_PERIOD = Duration.ofMillis(10);
  private static final Duration MIN_PROBE_TIMEOUT = Duration.ofMillis(1);
  private static final int MAX_INDIRECT_PROBES = 16;
  private static final int MAX_SUSPECT_PROBERS = 64;
  private static final int MIN_HIGH_WATERMARK = 2;
  private static final int MIN_UPDATES_PER_MESSAGE = 4;

  /** More updates would not fit into one datagram of bounded length. */
  private static final int MAX_UPDATES_PER_MESSAGE = 64;

  private static final int MIN_BYTES_PER_SECOND = 4_096;
  private static final int MIN_MEMBERS = 2;

  /**
   * Default settings. Members tolerate pauses of 3 s and probe once per second. A failure is known
   * to all members within ten probe periods.
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

  /**
   * Checks the bounds of all settings.
   *
   * @throws IllegalArgumentException if a setting is out of its bounds; the message names the
   *     setting, its value and the allowed values
   */
  public MembershipSettings {
    require(
        probePeriod.compareTo(MIN_PROBE_PERIOD) >= 0,
        "probe period",
        probePeriod,
        "at least 10 ms");
    require(
        probeTimeout.compareTo(MIN_PROBE_TIMEOUT) >= 0
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
        "maximum updates per message",
        maxUpdatesPerMessage,
        MIN_UPDATES_PER_MESSAGE,
        MAX_UPDATES_PER_MESSAGE);
    require(
        maxBytesPerSecond >= MIN_BYTES_PER_SECOND,
        "maximum bytes per second",
        maxBytesPerSecond,
        "at least " + MIN_BYTES_PER_SECOND);
    require(maxMembers >= MIN_MEMBERS, "maximum members", maxMembers, "at least " + MIN_MEMBERS);
  }

  /** Returns a copy of these settings with the given guards. */
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

  private static void require(boolean isAllowed, String setting, Object value, String allowed) {
    if (!isAllowed) {
      throw new IllegalArgumentException(setting + " " + value + " is not allowed: " + allowed);
    }
  }
}
