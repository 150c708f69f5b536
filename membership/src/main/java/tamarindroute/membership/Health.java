package tamarindroute.membership;

import java.util.List;

/**
 * Owns how well one's own word is to be trusted (Lifeguard's local health) and how long answers
 * take. It must never shorten a wait below what was told at the start.
 */
final class Health {

  /** Lifeguard's bound: a member at its worst waits nine times as long. */
  private static final int WORST = 8;

  /** A probe's stages; the last ends within a period. */
  static final int STAGES = 6;

  private final Settings settings;
  private final long shortest;
  private final long longest;
  private int score;

  /** Smoothed round trip and its spread, as RFC 6298 has them; 0 where nothing is known. */
  private long trip;

  private long spread;

  Health(Settings settings) {
    this.settings = settings;
    this.shortest = settings.timeout().toNanos();
    this.longest = settings.period().toNanos() / STAGES;
  }

  Health copy() {
    Health copy = new Health(settings);
    copy.score = score;
    copy.trip = trip;
    copy.spread = spread;
    return copy;
  }

  /** Round trips by the wait that they lead to: in a small world all are the same. */
  List<Object> key() {
    return List.of(score, stage());
  }

  void better() {
    score = Math.max(0, score - 1);
  }

  void worse() {
    score = settings.guards().health() ? Math.min(WORST, score + 1) : 0;
  }

  int score() {
    return score;
  }

  void answered(long nanos) {
    spread = trip == 0 ? nanos / 2 : (3 * spread + Math.abs(trip - nanos)) / 4;
    trip = trip == 0 ? nanos : (7 * trip + nanos) / 8;
  }

  /** How long one stage of a probe lasts. */
  long stage() {
    return Math.min(longest, Math.max(shortest, trip + 4 * spread)) * (1 + score);
  }
}
