package tamarindroute.dns;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

/**
 * Load of the answers given under the current settings and under earlier ones, while resolvers may
 * still cache them.
 */
final class OutstandingLoad {

  private final HandedOutLoad current;
  private final List<HandedOutLoad> previous;

  private OutstandingLoad(HandedOutLoad current, List<HandedOutLoad> previous) {
    this.current = current;
    this.previous = previous;
  }

  /** Creates an account without answers, for answers that are cached up to this long. */
  static OutstandingLoad create(Duration maxCacheTime) {
    return new OutstandingLoad(new HandedOutLoad(maxCacheTime), List.of());
  }

  /** Creates an account for changed settings that still counts the answers given before. */
  OutstandingLoad succeededBy(Duration maxCacheTime, Duration now) {
    List<HandedOutLoad> unexpired =
        Stream.concat(Stream.of(current), previous.stream())
            .filter(load -> !load.isEmpty(now))
            .toList();
    return new OutstandingLoad(new HandedOutLoad(maxCacheTime), unexpired);
  }

  /** Returns the load in concurrent transfers that cached answers bring to an address. */
  double at(DnsSettings.CacheAddress address, Duration now) {
    double load = current.load(address.socketAddress(), now);
    for (HandedOutLoad earlier : previous) {
      load += earlier.load(address.socketAddress(), now);
    }
    return load;
  }

  /** Counts an answer; false if the table is full, so that the address must not be answered. */
  boolean add(DnsSettings.CacheAddress address, double load, Duration cacheTime, Duration now) {
    return current.add(address.socketAddress(), load, cacheTime, now);
  }
}
