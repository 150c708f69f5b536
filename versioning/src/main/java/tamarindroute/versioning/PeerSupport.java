package tamarindroute.versioning;

import java.time.Duration;

/**
 * The fleet versions that a peer has reported.
 *
 * @param lowest the least supported version
 * @param highest the greatest supported version
 * @param since when the unbroken series of equal reports began
 * @param lastReport when the last of them came
 */
record PeerSupport(int lowest, int highest, Duration since, Duration lastReport) {

  boolean supports(int version) {
    return lowest <= version && version <= highest;
  }

  boolean isSilent(Duration now, Duration maxSilence) {
    return now.minus(lastReport).compareTo(maxSilence) > 0;
  }

  PeerSupport countedFrom(Duration now) {
    return new PeerSupport(lowest, highest, now, lastReport);
  }

  /** The later report, which keeps the time of this one if it continues the series. */
  PeerSupport followedBy(PeerSupport later, Duration maxSilence) {
    boolean continues =
        lowest == later.lowest
            && highest == later.highest
            && !isSilent(later.lastReport, maxSilence);
    return continues ? new PeerSupport(lowest, highest, since, later.lastReport) : later;
  }
}
