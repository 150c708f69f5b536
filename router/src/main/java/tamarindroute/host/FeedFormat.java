package tamarindroute.host;

import com.google.gson.JsonObject;
import tamarindroute.decision.Cache;

/**
 * The keys of the control feed's JSON and the decoding of its entries. A response is {@code {"n":
 * newest number, "events": [event, ...]}}; an event has a number {@code n} and a list of caches
 * under {@code members}, a purge under {@code purge}, or something that this version does not know.
 */
final class FeedFormat {

  static final String NUMBER = "n";
  static final String EVENTS = "events";
  static final String ENDPOINTS = "members";
  static final String PURGE = "purge";
  static final String COMPLETE_LIST = "full";
  static final String ENDPOINT_ENTRIES = "servers";
  static final String ID = "id";

  private static final String STATE = "state";
  private static final String READY = "ready";
  private static final String DRAINING = "draining";
  private static final String GONE = "gone";
  private static final String ZONE = "zone";
  private static final String CELL = "cell";
  private static final String WEIGHT = "weight";
  private static final String KIND = "kind";
  private static final String STARTED_MILLIS = "started_ms";
  private static final String ADDRESS = "addr";

  private static final String PURGED_OBJECT = "key";
  private static final String PURGED_GROUP = "group";
  private static final String PURGED_AT_MILLIS = "at";

  private FeedFormat() {}

  /** A response with this event alone. */
  static String responseOf(long number, String event) {
    return "{\"" + NUMBER + "\":" + number + ",\"" + EVENTS + "\":[" + event + "]}";
  }

  /**
   * The id of an endpoint's entry.
   *
   * @throws RuntimeException of the JSON library if the entry has no id
   */
  static String endpointId(JsonObject entry) {
    return entry.get(ID).getAsString();
  }

  /**
   * Decodes an endpoint's entry.
   *
   * @throws RuntimeException of the JSON library or IllegalArgumentException if a field has another
   *     form
   */
  static EndpointUpdate endpointUpdate(JsonObject entry) {
    return new EndpointUpdate(
        endpointId(entry),
        availability(entry.get(STATE).getAsString()),
        entry.has(ZONE) ? entry.get(ZONE).getAsString() : null,
        entry.has(CELL) ? entry.get(CELL).getAsInt() : null,
        entry.has(WEIGHT) ? entry.get(WEIGHT).getAsDouble() : null,
        entry.has(KIND) ? entry.get(KIND).getAsString() : null,
        entry.has(STARTED_MILLIS) ? entry.get(STARTED_MILLIS).getAsLong() : null,
        entry.has(ADDRESS) ? NumericAddress.parse(entry.get(ADDRESS).getAsString()) : null);
  }

  private static Cache.Availability availability(String state) {
    return switch (state) {
      case READY -> Cache.Availability.READY;
      case DRAINING -> Cache.Availability.DRAINING;
      case GONE -> Cache.Availability.GONE;
      default -> throw new IllegalArgumentException("unknown state \"" + state + "\"");
    };
  }

  /**
   * Decodes a purge.
   *
   * @throws RuntimeException of the JSON library or IllegalArgumentException if a field has another
   *     form
   */
  static PurgeNotice purge(JsonObject purge) {
    long issuedAtMillis = purge.get(PURGED_AT_MILLIS).getAsLong();
    if (purge.has(PURGED_OBJECT)) {
      long objectId = Long.parseUnsignedLong(purge.get(PURGED_OBJECT).getAsString(), 16);
      return new PurgeNotice(objectId, PurgeNotice.NO_GROUP, issuedAtMillis);
    }
    return new PurgeNotice(null, purge.get(PURGED_GROUP).getAsInt(), issuedAtMillis);
  }
}
