package tamarindroute.versioning;

import java.time.Duration;

/**
 * An uninterrupted series of equal reports of the fleet versions that a peer supports. Times are
 * monotonic.
 *
 * @param lowest the lowest supported fleet version
 * @param highest the highest supported fleet version
 * @param since the time from which the series counts
 * @param lastReport the time of the latest report of the series
 */
record PeerSupport(int lowest, int highest, Duration since, Duration lastReport) {

  boolean supports(int version) {
    return lowest <= version && version <= highest;
  }

  boolean isSilent(Duration now, Duration maxSilence) {
    return now.minus(lastReport).compareTo(maxSilence) > 0;
  }

  /** Returns the series with {@code since} moved to now. */
  PeerSupport countedFrom(Duration now) {
    return new PeerSupport(lowest, highest, now, lastReport);
  }

  /**
   * Returns the series after a later report. An equal report within the maximum silence extends the
   * series. Any other report starts a new one, so a cache that flaps never completes a long series.
   */
  PeerSupport followedBy(PeerSupport later, Duration maxSilence) {
    boolean extendsSeries =
        lowest == later.lowest
            && highest == later.highest
            && !isSilent(later.lastReport, maxSilence);
    return extendsSeries ? new PeerSupport(lowest, highest, since, later.lastReport) : later;
  }
}
