package tamarindroute.membership;

import java.util.List;

/**
 * Lifeguard's local health multiplier and the round trip estimate of RFC 6298; together they give
 * the length of a probe's stages. A member in poor health waits longer before it suspects others.
 */
final class HealthScore {

  /** Bound of Lifeguard's multiplier: at most nine times the usual wait. */
  private static final int MAX_SCORE = 8;

  /** Stages of a probe; all of them fit into a period. */
  static final int PROBE_STAGES = 6;

  private final MembershipSettings settings;
  private final long minStageNanos;
  private final long maxStageNanos;
  private int score;

  /** Smoothed round trip time and its mean deviation; 0 before the first measurement. */
  private long smoothedRoundTripNanos;

  private long roundTripDeviationNanos;

  HealthScore(MembershipSettings settings) {
    this.settings = settings;
    this.minStageNanos = settings.probeTimeout().toNanos();
    this.maxStageNanos = settings.probePeriod().toNanos() / PROBE_STAGES;
  }

  HealthScore copy() {
    HealthScore copy = new HealthScore(settings);
    copy.score = score;
    copy.smoothedRoundTripNanos = smoothedRoundTripNanos;
    copy.roundTripDeviationNanos = roundTripDeviationNanos;
    return copy;
  }

  /** The round trip estimate only counts by the stage length that it leads to. */
  List<Object> stateKey() {
    return List.of(score, stageNanos());
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  void degrade() {
    score = settings.guards().localHealth() ? Math.min(MAX_SCORE, score + 1) : 0;
  }

  /** 0 is healthy; greater is worse. */
  int score() {
    return score;
  }

  void recordRoundTrip(long roundTripNanos) {
    if (smoothedRoundTripNanos == 0) {
      roundTripDeviationNanos = roundTripNanos / 2;
      smoothedRoundTripNanos = roundTripNanos;
      return;
    }
    long deviation = Math.abs(smoothedRoundTripNanos - roundTripNanos);
    roundTripDeviationNanos = (3 * roundTripDeviationNanos + deviation) / 4;
    smoothedRoundTripNanos = (7 * smoothedRoundTripNanos + roundTripNanos) / 8;
  }

  /** Length of one stage of a probe, never below the configured probe timeout. */
  long stageNanos() {
    long estimate = smoothedRoundTripNanos + 4 * roundTripDeviationNanos;
    return Math.min(maxStageNanos, Math.max(minStageNanos, estimate)) * (1 + score);
  }
}
