package tamarindroute.maintenance;

import java.time.Duration;
import java.util.List;

/**
 * The result of planning.
 *
 * @param batches the planned outages in the order of their starts
 * @param rejections the requests that were not placed, in the order in which they were tried
 */
public record Plan(List<Batch> batches, List<Rejection> rejections) {

  /**
   * Caches of one request that are out of service at the same time.
   *
   * @param request the id of the maintenance request
   * @param caches names of the caches
   * @param start agreed time from which they are out of service
   * @param end agreed time at which they are back, still cold
   * @param warmAt agreed time from which they count towards coverage and capacity again
   */
  public record Batch(
      String request, List<String> caches, Duration start, Duration end, Duration warmAt) {}

  /**
   * A request that was not placed.
   *
   * @param request the id of the maintenance request
   * @param cache the name of a requested cache for which no start was found; empty if the request
   *     concerns no cache
   * @param shortage the least severe shortage of all starts that were tried
   * @param feasibleEnd the agreed time at which the earliest plan ends that was found for the whole
   *     request without its {@code latest} bound; null if none was found within the bins of the
   *     input
   */
  public record Rejection(String request, String cache, Shortage shortage, Duration feasibleEnd) {}
}
