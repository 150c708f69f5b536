package tamarindroute.net;

import java.util.ArrayList;
import java.util.List;

/**
 * The connections on which a request was sent so far. All attempts of a request have the same id,
 * so on one connection a late or second response to an earlier attempt cannot be told from the
 * response to a later one.
 */
public abstract class UsedConnections {

  /** For requests to which such a confusion does no harm: no connection counts as used. */
  private static final UsedConnections UNTRACKED =
      new UsedConnections() {
        @Override
        boolean contains(CacheConnection connection) {
          return false;
        }

        @Override
        void add(CacheConnection connection) {}
      };

  private UsedConnections() {}

  /** For a request that may be executed again without harm. */
  public static UsedConnections untracked() {
    return UNTRACKED;
  }

  /** For a request each of whose attempts needs a connection that no other one had. */
  public static UsedConnections tracked() {
    return new Tracked();
  }

  abstract boolean contains(CacheConnection connection);

  abstract void add(CacheConnection connection);

  private static final class Tracked extends UsedConnections {

    private final List<CacheConnection> connections = new ArrayList<>(1);

    @Override
    boolean contains(CacheConnection connection) {
      return connections.contains(connection);
    }

    @Override
    void add(CacheConnection connection) {
      connections.add(connection);
    }
  }
}
