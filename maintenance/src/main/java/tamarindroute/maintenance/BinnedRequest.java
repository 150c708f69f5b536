package tamarindroute.maintenance;

import java.util.List;

/**
 * A maintenance request whose times are converted to bins.
 *
 * @param caches indexes of the caches that may be placed
 * @param required the number of these caches that must be placed
 * @param length the number of bins for which each cache is out of service
 * @param warmUp the number of bins for which each cache is cold afterwards
 * @param firstStart the first bin in which a window may start
 * @param lastStart the last bin in which a window may start; less than {@code firstStart} if no bin
 *     is possible
 */
record BinnedRequest(
    List<Integer> caches, int required, int length, int warmUp, int firstStart, int lastStart) {

  BinnedRequest withLastStart(int newLastStart) {
    return new BinnedRequest(caches, required, length, warmUp, firstStart, newLastStart);
  }

  /** Returns the number of bins that a placement changes: the outage and the warm-up. */
  int span() {
    return length + warmUp;
  }
}
