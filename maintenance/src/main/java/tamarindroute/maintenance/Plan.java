package tamarindroute.maintenance;

import java.time.Duration;
import java.util.List;

/**
 * The planner's answer.
 *
 * @param batches accepted outages, ordered by start
 * @param rejections the requests that were not placed
 */
public record Plan(List<Batch> batches, List<Rejection> rejections) {

  /**
   * Caches that go out together.
   *
   * @param request id of the maintenance request
   * @param caches names of the caches
   * @param start agreed time at which they go out
   * @param end agreed time at which they are back, still cold
   * @param warmAt agreed time from which they count as cover again
   */
  public record Batch(
      String request, List<String> caches, Duration start, Duration end, Duration warmAt) {}

  /**
   * A request that was not placed.
   *
   * @param request id of the maintenance request
   * @param cache a requested cache for which no time was found
   * @param shortage the least severe shortage of all times that were tried
   * @param feasibleEnd the end of the earliest plan that was found for the whole request with a
   *     later {@code latest}; null if there is none before the load curve ends
   */
  public record Rejection(String request, String cache, Shortage shortage, Duration feasibleEnd) {}
}
