package tamarindroute.policy;

import java.util.List;
import tamarindroute.decision.Request;

/** Decides which edges keep an object: its hashed edge alone, or, if it is hot, several. */
final class ObjectPlacement {

  /**
   * The placement of one object.
   *
   * @param ranked the edges in the order of the object's hash
   * @param hot whether several edges keep it
   * @param spread whether any edge may serve it now
   */
  record Placement(List<CacheState> ranked, boolean hot, boolean spread) {}

  private final CacheTiers tiers;
  private final ObjectPopularity popularity;
  private final RatioTest ratioTest;
  private final PurgeTracker purges;

  ObjectPlacement(
      CacheTiers tiers, ObjectPopularity popularity, RatioTest ratioTest, PurgeTracker purges) {
    this.tiers = tiers;
    this.popularity = popularity;
    this.ratioTest = ratioTest;
    this.purges = purges;
  }

  Placement place(Request request, double now) {
    ObjectStatistics object = popularity.statistics(request, now);
    List<CacheState> ranked = CacheTiers.ranked(tiers.edges(), ObjectPopularity.key(request));
    boolean hot = ratioTest.test(object);
    return new Placement(ranked, hot, hot && isStoredSincePurge(object, request));
  }

  /**
   * After a purge no edge holds the object: until the hashed edge has proved to hold it again, it
   * alone fetches it.
   */
  private boolean isStoredSincePurge(ObjectStatistics object, Request request) {
    return object.lastStoredAtHome() > purges.lastPurge(request);
  }
}
