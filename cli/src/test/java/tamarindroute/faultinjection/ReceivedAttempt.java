package tamarindroute.faultinjection;

import java.util.Map;

/**
 * An attempt as a scripted cache received it.
 *
 * @param number its number, unique in the scenario
 * @param fields the fields of the ASK command
 */
record ReceivedAttempt(int number, String requestId, Map<String, String> fields) {

  private static final String DEFAULT_REMAINING_MS = "1000";

  String requestClass() {
    return fields.get("lane");
  }

  boolean isCacheable() {
    return RequestClass.CACHEABLE.configuredName.equals(requestClass());
  }

  String object() {
    return fields.get("name");
  }

  int part() {
    return Integer.parseInt(fields.get("piece"));
  }

  /** The source of a fill; null if the attempt names none. */
  String parent() {
    return fields.get("parent");
  }

  /** The age up to which a copy may be served, in milliseconds; 0 for any age. */
  long maxAgeMillis() {
    return Long.parseLong(fields.getOrDefault("accept", "0"));
  }

  /** Digest of the copy that the client holds; null if it holds none. */
  String heldDigest() {
    return fields.get("got");
  }

  /** Time for which the client still waits. */
  long remainingMillis() {
    return Long.parseLong(fields.getOrDefault("ttl", DEFAULT_REMAINING_MS));
  }

  /** Completes the journal's event of this attempt's arrival and adds it. */
  void addTo(Journal.Entry entry, Fault plannedFault) {
    entry
        .request(requestId)
        .with(EventField.ATTEMPT, number)
        .with(EventField.REQUEST_CLASS, requestClass())
        .with(EventField.OBJECT, object())
        .with(EventField.PART, fields.get("piece"))
        .with(EventField.PARENT, parent())
        .with(EventField.MAX_AGE_MS, fields.get("accept"))
        .with(EventField.HELD_DIGEST, heldDigest())
        .with(EventField.REMAINING_MS, fields.get("ttl"))
        .with(EventField.PLANNED_FAULT, plannedFault)
        .add();
  }
}
