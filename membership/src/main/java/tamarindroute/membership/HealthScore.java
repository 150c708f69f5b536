package tamarindroute.membership;

import java.util.List;

/**
 * Length of the stages of a probe, from Lifeguard's local health multiplier and the round-trip time
 * estimate of RFC 6298. A member in poor health waits longer before it suspects others.
 *
 * <p>A stage is never shorter than the configured probe timeout.
 */
final class HealthScore {

  /** Maximum of Lifeguard's multiplier: a stage is at most nine times its usual length. */
  private static final int MAX_SCORE = 8;

  /** Number of stages of a probe. All of them fit into one probe period in good health. */
  static final int PROBE_STAGES = 6;

  private final MembershipSettings settings;
  private final long minStageNanos;
  private final long maxStageNanos;
  private int score;

  /** SRTT of RFC 6298; 0 before the first measurement. */
  private long smoothedRoundTripNanos;

  /** RTTVAR of RFC 6298; 0 before the first measurement. */
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

  /**
   * Returns the state that determines future behaviour, for a model checker. Contains the stage
   * length in place of the round-trip estimate, which only affects the stage length.
   */
  List<Object> stateKey() {
    return List.of(score, stageNanos());
  }

  /** Records that a probe of the local member was answered. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  /** Records a sign of poor local health: a failed probe without a NACK, or a refuted suspicion. */
  void degrade() {
    score = settings.guards().localHealth() ? Math.min(MAX_SCORE, score + 1) : 0;
  }

  /** Returns the local health score, 0 (healthy) to {@link #MAX_SCORE}. */
  int score() {
    return score;
  }

  /** Updates the round-trip estimate with a measured time, with the weights of RFC 6298. */
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

  /** Returns the current length of one stage of a probe, at least the configured probe timeout. */
  long stageNanos() {
    long estimateNanos = smoothedRoundTripNanos + 4 * roundTripDeviationNanos;
    return Math.min(maxStageNanos, Math.max(minStageNanos, estimateNanos)) * (1 + score);
  }
}
