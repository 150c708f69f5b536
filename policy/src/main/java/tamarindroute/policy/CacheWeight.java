package tamarindroute.policy;

import tamarindroute.decision.PolicySettings.WeightMeaning;

/** What the advertised weight of a cache means for placement and for capacity. */
final class CacheWeight {

  private static final double MIN_WEIGHT = 1e-6;

  private final WeightMeaning meaning;
  private double placementWeight = 1;
  private double size = 1;

  CacheWeight(WeightMeaning meaning) {
    this.meaning = meaning;
  }

  /**
   * Takes over an advertised weight.
   *
   * @param restarted whether the cache's process has changed since the last update
   */
  void update(double advertised, boolean restarted) {
    double weight = Math.max(MIN_WEIGHT, advertised);
    switch (meaning) {
      case OFF -> {
        // All caches count alike.
      }
      case LIVE -> {
        // It shrinks with the load, which must neither move objects nor limit the cache a second
        // time: the largest counts.
        size = restarted ? weight : Math.max(size, weight);
      }
      case NOMINAL, ROUGH -> {
        placementWeight = weight;
        size = weight;
      }
    }
  }

  /** Returns the weight in the placement hash. */
  double placementWeight() {
    return placementWeight;
  }

  /** Returns the number of capacity units. */
  double size() {
    return size;
  }
}
