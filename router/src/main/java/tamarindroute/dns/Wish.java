package tamarindroute.dns;

import tamarindroute.decision.RequestClass;

/** What a name asks to be steered to. */
public sealed interface Wish {

  /** Where; null for one cache, wherever it is. */
  Location location();

  /** The same at another location. */
  Wish at(Location other);

  /** Any cache of a location. */
  record AnyOf(Location location) implements Wish {
    @Override
    public Wish at(Location other) {
      return new AnyOf(other);
    }
  }

  /** Whoever serves a profile there. */
  record ForProfile(Location location, RequestClass requestClass) implements Wish {
    @Override
    public Wish at(Location other) {
      return new ForProfile(other, requestClass);
    }
  }

  /** The home of one of the parts into which the objects are hashed. */
  record HomeOf(Location location, int part) implements Wish {
    @Override
    public Wish at(Location other) {
      return new HomeOf(other, part);
    }
  }

  /** One cache, by its id; it was chosen before, in an answer that named it. */
  record ById(String id) implements Wish {
    @Override
    public Location location() {
      return null;
    }

    @Override
    public Wish at(Location other) {
      return this;
    }
  }
}
