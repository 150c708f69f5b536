package tamarindroute.policy;

/**
 * Running statistics of one request class: transfer times, their scatter, and the share served by
 * size.
 */
final class ClassStatistics {

  /** Larger requests are underserved below this part of the share served of the whole class. */
  private static final double FAIR_SHARE = 0.7;

  private static final double MIN_TRANSFER_STEP = 0.02;
  private static final double SERVED_STEP = 0.03;
  private static final double MIN_SCATTER = 1.25;
  private static final double SCATTER_STEP = 0.05;
  private static final double SCATTER_UP = 0.9;
  private static final double SCATTER_DOWN = -0.1;

  private double meanTransferTime;
  private double scatter = MIN_SCATTER;
  private int transfers;

  /**
   * Share served of all requests, of those over the mean transfer time, and of those over twice
   * that.
   */
  private final double[] servedShare = {1, 1, 1};

  /** Starts with a mean transfer time in seconds, which holds until the first transfer. */
  ClassStatistics(double initialTransferTime) {
    meanTransferTime = initialTransferTime;
  }

  /** Returns the mean time of an undisturbed transfer, in seconds. */
  double meanTransferTime() {
    return meanTransferTime;
  }

  /** Returns the factor over their expected duration within which nine in ten hits stay. */
  double scatter() {
    return scatter;
  }

  /** Records the time of an undisturbed transfer, in seconds. */
  void recordTransfer(double transferTime) {
    meanTransferTime +=
        Math.max(MIN_TRANSFER_STEP, 1.0 / ++transfers) * (transferTime - meanTransferTime);
  }

  /** Records how long a hit took and was expected to take, in seconds. */
  void recordHit(double duration, double expected) {
    double direction = duration > scatter * expected ? SCATTER_UP : SCATTER_DOWN;
    scatter = Math.max(MIN_SCATTER, scatter * Math.exp(SCATTER_STEP * direction));
  }

  /** Records the end of a request. */
  void recordEnd(double transferTime, boolean served) {
    update(0, served);
    int band = sizeBand(transferTime);
    if (band > 0) {
      update(band, served);
    }
  }

  private void update(int band, boolean served) {
    servedShare[band] += SERVED_STEP * ((served ? 1 : 0) - servedShare[band]);
  }

  /** Whether requests of this size are served so rarely that they go first, in time or not. */
  boolean isUnderserved(double transferTime) {
    return servedShare[sizeBand(transferTime)] < FAIR_SHARE * servedShare[0];
  }

  private int sizeBand(double transferTime) {
    return (int) Math.min(servedShare.length - 1, transferTime / meanTransferTime);
  }
}
