package tamarindroute.policy;

import java.util.List;
import tamarindroute.decision.Request;

/**
 * Decides which edges store an object: its hashed edge alone or, if the object is hot, several
 * edges.
 */
final class ObjectPlacement {

  /**
   * The placement of one object.
   *
   * @param ranked the edges in the order of the object's placement hash
   * @param hot whether several edges store the object
   * @param spread whether any edge may serve the object now. After a purge a hot object is not
   *     spread until its hashed edge has stored it again
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

  /** Returns the current placement of the requested part of an object. */
  Placement place(Request request, double now) {
    ObjectStatistics object = popularity.statistics(request, now);
    List<CacheState> ranked = CacheTiers.ranked(tiers.edges(), ObjectPopularity.key(request));
    boolean hot = ratioTest.test(object);
    return new Placement(ranked, hot, hot && isStoredSincePurge(object, request));
  }

  /**
   * Whether the hashed edge has stored the object since its last purge. A purge removes every copy
   * at once. The hashed edge alone fetches the object first, and the other edges follow once it
   * holds a copy.
   */
  private boolean isStoredSincePurge(ObjectStatistics object, Request request) {
    return object.lastStoredAtHome() > purges.lastPurge(request);
  }
}
