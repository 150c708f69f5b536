package tamarindroute.dns;

import tamarindroute.decision.RequestClass;

/** What a name asks to be steered to. */
public sealed interface SteeringTarget {

  /** Where; null for one cache, wherever it is. */
  Location location();

  /** The same at another location. */
  SteeringTarget withLocation(Location other);

  /** Any cache of a location. */
  record AnyCache(Location location) implements SteeringTarget {
    @Override
    public SteeringTarget withLocation(Location other) {
      return new AnyCache(other);
    }
  }

  /** Whoever serves a profile there. */
  record ForRequestClass(Location location, RequestClass requestClass) implements SteeringTarget {
    @Override
    public SteeringTarget withLocation(Location other) {
      return new ForRequestClass(other, requestClass);
    }
  }

  /** The home of one of the parts into which the objects are hashed. */
  record HomeOfPartition(Location location, int partition) implements SteeringTarget {
    @Override
    public SteeringTarget withLocation(Location other) {
      return new HomeOfPartition(other, partition);
    }
  }

  /** One cache, by its id; it was chosen before, in an answer that named it. */
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
