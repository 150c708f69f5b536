package tamarindroute.decision;

import java.time.Duration;

/**
 * A cache server of any tier, as the endpoint list last described it. The front creates one
 * instance per server, updates it before each {@link RoutingPolicy#onEndpoints} and is the only
 * writer. Instances are compared by identity.
 */
public final class Cache {

  /**
   * Position of a cache in the hierarchy. An edge is filled from parents, a parent from the origin.
   */
  public enum Tier {
    /** Serves the requests of its zone. */
    EDGE,
    /** Fills edges of all zones. */
    PARENT,
    /** Holds every object and executes uncacheable requests. */
    ORIGIN
  }

  /** Whether the cache accepts new requests. */
  public enum Availability {
    /** Accepts new requests. */
    READY,
    /** Completes the requests in flight and accepts no new ones. */
    DRAINING,
    /** No longer on the endpoint list. */
    GONE
  }

  /**
   * Identifier in the placement hash. It is the same at every gateway and does not change with a
   * restart.
   */
  public final long stableId;

  /** Position of the cache in the hierarchy. */
  public Tier tier = Tier.EDGE;

  /** Whether the cache accepts new requests. */
  public Availability availability = Availability.READY;

  /** Index of the zone. Zones are the outer failure domains. */
  public int zone;

  /** Index of the cell. Cells are failure domains within a zone. */
  public int cell;

  /**
   * Start of the cache's process, since the start of the instance; null if the process started long
   * ago.
   */
  public Duration startedAt;

  /**
   * Relative capacity, above 0. {@link PolicySettings.WeightMeaning} states how it is to be
   * interpreted.
   */
  public double weight = 1;

  /** Creates a ready edge of weight 1. */
  public Cache(long stableId) {
    this.stableId = stableId;
  }

  /** Whether new requests may be sent to the cache. */
  public boolean isReady() {
    return availability == Availability.READY;
  }
}
