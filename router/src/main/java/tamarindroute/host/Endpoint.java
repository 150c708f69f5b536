package tamarindroute.host;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import tamarindroute.decision.Cache;
import tamarindroute.net.CacheConnectionPool;

/**
 * One cache of the registry with its connections and the number of attempts in flight that refer to
 * it.
 */
final class Endpoint {

  final String id;
  final Cache cache;
  CacheConnectionPool connectionPool;
  int attemptsInFlight;

  /** Creates an endpoint that is not connected to anything yet. */
  Endpoint(String id) {
    this.id = id;
    this.cache = new Cache(checksum(id));
  }

  /** The same on every gateway and after every restart. */
  private static long checksum(String id) {
    CRC32 checksum = new CRC32();
    checksum.update(id.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }
}
