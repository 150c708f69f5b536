package tamarindroute.dns;

import tamarindroute.decision.RequestClass;

/** What a steered name stands for. */
public sealed interface SteeringTarget {

  /** Returns the location; null for a single cache, which has no need of one. */
  Location location();

  /** Returns the same target at another location. */
  SteeringTarget withLocation(Location other);

  /** Any cache of a location. */
  record AnyCache(Location location) implements SteeringTarget {
    @Override
    public SteeringTarget withLocation(Location other) {
      return new AnyCache(other);
    }
  }

  /** A cache that serves requests of a class at a location. */
  record ForRequestClass(Location location, RequestClass requestClass) implements SteeringTarget {
    @Override
    public SteeringTarget withLocation(Location other) {
      return new ForRequestClass(other, requestClass);
    }
  }

  /** The home of one of the partitions into which objects are hashed. */
  record HomeOfPartition(Location location, int partition) implements SteeringTarget {
    @Override
    public SteeringTarget withLocation(Location other) {
      return new HomeOfPartition(other, partition);
    }
  }

  /** One cache, which an earlier answer named by its id. */
  record ById(String id) implements SteeringTarget {
    @Override
    public Location location() {
      return null;
    }

    @Override
    public SteeringTarget withLocation(Location other) {
      return this;
    }
  }
}
