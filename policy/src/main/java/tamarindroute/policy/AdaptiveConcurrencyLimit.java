package tamarindroute.policy;

/**
 * An adaptive concurrency limit: how many transfers at full pace a unit of a cache's size bears. n
 * transfers over a limit of c take n / c times as long. Hits among many are held against hits among
 * few: if they took no longer, what they met is borne, else the limit is less by as much; in
 * logarithms against outliers.
 */
final class AdaptiveConcurrencyLimit {

  /**
   * Hits among many that took no longer than alone prove room; within a quarter they prove nothing.
   */
  private static final double SLOWER = 1.25, ALONE = 1.05;

  private double met, quiet, crowded, crowdedMet, limit;
  private final double told, trust;
  private int samples;

  /** What is told counts until hits contradict it by more than this factor. */
  AdaptiveConcurrencyLimit(double told, double trust) {
    this.told = told;
    this.trust = trust;
    limit = told;
  }

  double limit() {
    return limit < told * trust && limit > told / trust ? told : limit;
  }

  double stretch(double concurrency) {
    return Math.max(1, concurrency / limit());
  }

  /**
   * A hit among so many took this many times as long as alone; where all do, that is no proof of
   * room.
   */
  void sample(double concurrency, double slower, boolean sized) {
    double step = Math.max(0.03, 1.0 / ++samples),
        log = Math.log(Math.max(0.05, Math.min(20, slower)));
    met += step * (concurrency - met);
    if (concurrency <= met) {
      quiet += step * (log - quiet);
      return;
    }
    crowded += step * (log - crowded);
    crowdedMet += step * (concurrency - crowdedMet);
    double ratio = Math.exp(crowded - quiet);
    if (ratio >= SLOWER && samples > 50) {
      limit = Math.min(limit, 4 * crowdedMet);
      limit += 0.05 * (crowdedMet / ratio - limit);
    } else if (ratio < SLOWER && (!sized || Math.exp(crowded) < ALONE)) {
      limit = Math.max(limit, crowdedMet);
    }
  }

  /** What was surely borne: no more than was told, and where nothing was, most of what was met. */
  double surely(boolean weighed) {
    return Math.min(limit(), weighed ? 1 : Math.max(1, 0.7 * met));
  }
}
