package tamarindroute.faultinjection;

import java.util.Map;

/**
 * One observation.
 *
 * @param earliest the earliest time at which it can have happened, by {@link System#nanoTime}
 * @param latest the latest such time
 * @param requestId the request that it belongs to, or an empty string
 * @param location where it was observed: a client's connection, a cache, or another part
 * @param fields its details
 */
record JournalEvent(
    long earliest,
    long latest,
    EventKind kind,
    String requestId,
    String location,
    Map<EventField, String> fields) {

  /** A field's value; an empty string if absent. */
  String field(EventField field) {
    return fields.getOrDefault(field, "");
  }

  /** A field's value as a number; NaN if absent. */
  double number(EventField field) {
    return fields.containsKey(field) ? Double.parseDouble(fields.get(field)) : Double.NaN;
  }

  boolean has(EventField field) {
    return !field(field).isEmpty();
  }
}
