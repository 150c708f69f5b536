package tamarindroute.windows;

import java.time.Duration;
import java.util.List;

/**
 * What the planner answers: batches in the order of their starts, and each wish that it refuses,
 * with why.
 */
public record Plan(List<Batch> batches, List<Rejection> rejections) {

  /** Caches that go out together; they may be counted on again from {@code warmAt}. */
  public record Batch(
      String request, List<String> caches, Duration start, Duration end, Duration warmAt) {}

  /**
   * What lacks: a range without cover, one without a fill source, a cache without room, or time
   * between the bounds.
   */
  public enum ShortageKind {
    NO_EDGE,
    NO_FILL_SOURCE,
    CAPACITY,
    TIME,
    UNKNOWN_CACHE
  }

  /**
   * What refuses to let a cache out.
   *
   * @param range the place of the range in the world, or -1
   * @param cache the cache that lacks room, or the one that can't go
   * @param required how much would be needed: caches for cover, load for room, seconds for time
   * @param available how much is there
   * @param at when; the least bad of all times that were tried
   */
  public record Shortage(
      ShortageKind kind, int range, String cache, double required, double available, Duration at) {
    double severity() {
      return available > 0 ? required / available : Double.MAX_VALUE;
    }
  }

  /**
   * @param cache the wished cache that found no time
   * @param feasibleEnd the latest end of a plan for the whole wish if only {@code latest} were
   *     later: the earliest that was found; null if there is none before the load curve ends
   */
  public record Rejection(String request, String cache, Shortage shortage, Duration feasibleEnd) {}
}
