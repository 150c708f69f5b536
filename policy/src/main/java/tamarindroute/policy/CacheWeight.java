package tamarindroute.policy;

import tamarindroute.decision.PolicySettings.WeightMeaning;

/**
 * Interprets the advertised weight of one cache: its share of the objects in the placement hash,
 * and its size for capacity limits.
 */
final class CacheWeight {

  /** Smallest weight that is used. Scores and concurrencies are divided by it. */
  private static final double MIN_WEIGHT = 1e-6;

  private final WeightMeaning meaning;
  private double placementWeight = 1;
  private double size = 1;

  CacheWeight(WeightMeaning meaning) {
    this.meaning = meaning;
  }

  /**
   * Updates both values from the weight in the endpoint list.
   *
   * @param advertised relative capacity from the endpoint list
   * @param restarted whether the cache's process has been replaced since the last update
   */
  void update(double advertised, boolean restarted) {
    double weight = Math.max(MIN_WEIGHT, advertised);
    switch (meaning) {
      case OFF -> {
        // All caches have the same weight and size.
      }
      case LIVE -> {
        // A live weight falls with the load of the cache. The load must neither move objects nor
        // limit the cache a second time, in addition to the concurrency limit. The largest weight
        // since the start of the process is therefore used as the size.
        size = restarted ? weight : Math.max(size, weight);
      }
      case NOMINAL, ROUGH -> {
        placementWeight = weight;
        size = weight;
      }
    }
  }

  /** Returns the weight of the cache in the placement hash, above 0. */
  double placementWeight() {
    return placementWeight;
  }

  /** Returns the size in capacity units, above 0. Concurrency limits hold per unit. */
  double size() {
    return size;
  }
}
