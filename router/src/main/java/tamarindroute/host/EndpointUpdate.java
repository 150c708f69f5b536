package tamarindroute.host;

import java.net.InetSocketAddress;
import tamarindroute.decision.Cache;

/**
 * What an event of the control feed says of one cache. A field that the entry leaves out is null
 * and keeps its value.
 *
 * @param id of the cache
 * @param availability of the cache
 * @param zone by its name in the settings
 * @param cell within the zone
 * @param weight relative to other caches; may be out of range
 * @param kind of the machine by its name in the settings, which determines the tier
 * @param startedMillis when the process of the cache started, in Unix time; 0 for long ago
 * @param address that the cache listens on
 */
record EndpointUpdate(
    String id,
    Cache.Availability availability,
    String zone,
    Integer cell,
    Double weight,
    String kind,
    Long startedMillis,
    InetSocketAddress address) {}
