package tamarindroute.decision;

import java.time.Duration;

/** A place that holds objects: an edge cache, a parent or the origin, as the list last told it. */
public final class Cache {

  public enum Tier {
    EDGE,
    PARENT,
    ORIGIN
  }

  public enum Standing {
    READY,
    DRAINING,
    GONE
  }

  /** The same at every gateway and across restarts; for placement only. */
  public final long mark;

  public Tier tier = Tier.EDGE;
  public Standing standing = Standing.READY;
  public int zone;
  public int cell;

  /** When its process started; null means long ago. */
  public Duration upSince;

  public double weight = 1;

  public Cache(long mark) {
    this.mark = mark;
  }

  public boolean ready() {
    return standing == Standing.READY;
  }
}
