package tamarindroute.decision;

import java.time.Duration;

/**
 * A cache server of any tier as the endpoint list last described it. The front creates one instance
 * per server, updates it before each {@link RoutingPolicy#onEndpoints} and is the only writer.
 * Compared by identity.
 */
public final class Cache {

  /**
   * Where the cache stands in the hierarchy: an edge is filled by parents, a parent by the origin.
   */
  public enum Tier {
    EDGE,
    PARENT,
    ORIGIN
  }

  /** Whether the cache takes new requests. */
  public enum Availability {
    /** Takes new requests. */
    READY,
    /** Completes what it has and takes nothing new. */
    DRAINING,
    /** Not on the endpoint list any more. */
    GONE
  }

  /** Input of the placement hash: the same at every gateway and across restarts. */
  public final long stableId;

  public Tier tier = Tier.EDGE;
  public Availability availability = Availability.READY;

  /** Index of the zone; zones are the outer failure domain. */
  public int zone;

  /** Index of the cell; cells are failure domains within a zone. */
  public int cell;

  /** Start of the cache's process; null if it started long ago. */
  public Duration startedAt;

  /** Relative capacity; its meaning is set by {@link PolicySettings.WeightMeaning}. */
  public double weight = 1;

  /** Creates a ready edge of weight 1. */
  public Cache(long stableId) {
    this.stableId = stableId;
  }

  /** Whether new requests may be sent there. */
  public boolean isReady() {
    return availability == Availability.READY;
  }
}
