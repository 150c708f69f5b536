package tamarindroute.policy;

/**
 * Running statistics of one request class: transfer times, their scatter, and the share of requests
 * served by size.
 */
final class ClassStatistics {

  /**
   * Requests of a size are underserved if their share served is below this part of the share of the
   * whole class. On quiet days larger requests have to get at least two thirds of the class's
   * share. 0.7 leaves a margin.
   */
  private static final double FAIR_SHARE = 0.7;

  /**
   * Smallest weight of a new transfer time in the mean. Until it is reached, the mean is a plain
   * mean.
   */
  private static final double MIN_TRANSFER_STEP = 0.02;

  /** Weight of a new request in the shares served. */
  private static final double SERVED_STEP = 0.03;

  /** Smallest factor that is allowed for the scatter of durations. */
  private static final double MIN_SCATTER = 1.25;

  /** Step of the scatter factor per hit, on a logarithmic scale. */
  private static final double SCATTER_STEP = 0.05;

  /**
   * Weight of a step up. With a weight of -0.1 for a step down, nine in ten hits stay within the
   * factor.
   */
  private static final double SCATTER_UP_WEIGHT = 0.9;

  /** Weight of a step down. */
  private static final double SCATTER_DOWN_WEIGHT = -0.1;

  private double meanTransferTime;
  private double scatter = MIN_SCATTER;
  private int transfers;

  /**
   * Recent shares of requests served, 0 to 1: of all requests, of those between one and two mean
   * transfer times, and of larger ones.
   */
  private final double[] servedShare = {1, 1, 1};

  /**
   * Creates statistics without requests.
   *
   * @param initialTransferTime mean transfer time until the first transfer, in seconds
   */
  ClassStatistics(double initialTransferTime) {
    meanTransferTime = initialTransferTime;
  }

  /**
   * Returns the mean duration of transfers on an idle cache, in seconds. It comes from known sizes,
   * or from hits where sizes are unknown.
   */
  double meanTransferTime() {
    return meanTransferTime;
  }

  /**
   * Returns the factor of the expected duration within which nine in ten hits stay, at least 1.25.
   */
  double scatter() {
    return scatter;
  }

  /** Records the duration of a transfer on an idle cache, in seconds. */
  void recordTransfer(double transferTime) {
    meanTransferTime +=
        Math.max(MIN_TRANSFER_STEP, 1.0 / ++transfers) * (transferTime - meanTransferTime);
  }

  /** Records the duration of a hit and its expected duration, both in seconds. */
  void recordHit(double duration, double expected) {
    double direction = duration > scatter * expected ? SCATTER_UP_WEIGHT : SCATTER_DOWN_WEIGHT;
    scatter = Math.max(MIN_SCATTER, scatter * Math.exp(SCATTER_STEP * direction));
  }

  /**
   * Records the end of a request.
   *
   * @param transferTime expected duration on an idle cache, in seconds
   * @param served whether the request was served
   */
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

  /**
   * Whether requests of this size are served so rarely that they are admitted even if they miss the
   * latency objective.
   *
   * @param transferTime expected duration on an idle cache, in seconds
   */
  boolean isUnderserved(double transferTime) {
    return servedShare[sizeBand(transferTime)] < FAIR_SHARE * servedShare[0];
  }

  private int sizeBand(double transferTime) {
    return (int) Math.min(servedShare.length - 1, transferTime / meanTransferTime);
  }
}
