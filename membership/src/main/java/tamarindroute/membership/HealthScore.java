package tamarindroute.membership;

import java.util.List;

/**
 * Owns how well one's own word is to be trusted (Lifeguard's local health) and how long answers
 * take. It must never shorten a wait below what was told at the start.
 */
final class HealthScore {

  /** Lifeguard's bound: a member at its worst waits nine times as long. */
  private static final int MAX_SCORE = 8;

  /** A probe's stages; the last ends within a period. */
  static final int PROBE_STAGES = 6;

  private final MembershipSettings settings;
  private final long minStageNanos;
  private final long maxStageNanos;
  private int score;

  /** Smoothed round trip and its spread, as RFC 6298 has them; 0 where nothing is known. */
  private long smoothedRoundTripNanos;

  private long roundTripVariationNanos;

  HealthScore(MembershipSettings settings) {
    this.settings = settings;
    this.minStageNanos = settings.probeTimeout().toNanos();
    this.maxStageNanos = settings.probePeriod().toNanos() / PROBE_STAGES;
  }

  HealthScore copy() {
    HealthScore copy = new HealthScore(settings);
    copy.score = score;
    copy.smoothedRoundTripNanos = smoothedRoundTripNanos;
    copy.roundTripVariationNanos = roundTripVariationNanos;
    return copy;
  }

  /** Round trips by the wait that they lead to: in a small world all are the same. */
  List<Object> stateKey() {
    return List.of(score, stageNanos());
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  void degrade() {
    score = settings.guards().localHealth() ? Math.min(MAX_SCORE, score + 1) : 0;
  }

  int score() {
    return score;
  }

  void recordRoundTrip(long roundTripNanos) {
    roundTripVariationNanos =
        smoothedRoundTripNanos == 0
            ? roundTripNanos / 2
            : (3 * roundTripVariationNanos + Math.abs(smoothedRoundTripNanos - roundTripNanos)) / 4;
    smoothedRoundTripNanos =
        smoothedRoundTripNanos == 0
            ? roundTripNanos
            : (7 * smoothedRoundTripNanos + roundTripNanos) / 8;
  }

  /** How long one stage of a probe lasts. */
  long stageNanos() {
    return Math.min(
            maxStageNanos,
            Math.max(minStageNanos, smoothedRoundTripNanos + 4 * roundTripVariationNanos))
        * (1 + score);
  }
}
