package tamarindroute.decision;

import java.time.Duration;

/** A place that holds objects: an edge cache, a parent or the origin, as the list last told it. */
public final class Cache {

  public enum Tier {
    EDGE,
    PARENT,
    ORIGIN
  }

  public enum Availability {
    READY,
    DRAINING,
    GONE
  }

  /** The same at every gateway and across restarts; for placement only. */
  public final long stableId;

  public Tier tier = Tier.EDGE;
  public Availability availability = Availability.READY;
  public int zone;
  public int cell;

  /** When its process started; null means long ago. */
  public Duration startedAt;

  public double weight = 1;

  public Cache(long stableId) {
    this.stableId = stableId;
  }

  public boolean isReady() {
    return availability == Availability.READY;
  }
}
