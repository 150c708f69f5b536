package tamarindroute.maintenance;

import java.util.List;

/**
 * A maintenance request in bins of time.
 *
 * @param caches indexes of the caches that may be placed
 * @param required how many of them must be placed
 * @param length bins for which each is out
 * @param warmUp bins for which each is cold afterwards
 * @param firstStart the first bin in which a window may start
 * @param lastStart the last bin in which a window may start; before the first if there is none
 */
record BinnedRequest(
    List<Integer> caches, int required, int length, int warmUp, int firstStart, int lastStart) {

  BinnedRequest withLastStart(int newLastStart) {
    return new BinnedRequest(caches, required, length, warmUp, firstStart, newLastStart);
  }

  /** The bins that a placement touches. */
  int span() {
    return length + warmUp;
  }
}
