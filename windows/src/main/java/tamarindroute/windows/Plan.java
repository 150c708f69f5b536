package tamarindroute.windows;

import java.time.Duration;
import java.util.List;

/**
 * What the planner answers: batches in the order of their starts, and each wish that it refuses,
 * with why.
 */
public record Plan(List<Batch> batches, List<Refusal> refusals) {

  /** Caches that go out together; they may be counted on again from {@code warm}. */
  public record Batch(
      String wish, List<String> caches, Duration start, Duration end, Duration warm) {}

  /**
   * What lacks: a range without cover, one without a fill source, a cache without room, or time
   * between the bounds.
   */
  public enum Lacks {
    COVER,
    FILL,
    ROOM,
    TIME,
    UNKNOWN
  }

  /**
   * What refuses to let a cache out.
   *
   * @param range the place of the range in the world, or -1
   * @param cache the cache that lacks room, or the one that can't go
   * @param need how much would be needed: caches for cover, load for room, seconds for time
   * @param have how much is there
   * @param at when; the least bad of all times that were tried
   */
  public record Lack(Lacks what, int range, String cache, double need, double have, Duration at) {
    double shortage() {
      return have > 0 ? need / have : Double.MAX_VALUE;
    }
  }

  /**
   * @param cache the wished cache that found no time
   * @param wouldEnd the latest end of a plan for the whole wish if only {@code latest} were later:
   *     the earliest that was found; null if there is none before the load curve ends
   */
  public record Refusal(String wish, String cache, Lack lack, Duration wouldEnd) {}
}
