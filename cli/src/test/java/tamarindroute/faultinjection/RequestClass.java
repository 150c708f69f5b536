package tamarindroute.faultinjection;

import java.util.Arrays;

/** The request classes that a scenario configures. */
enum RequestClass {
  /** Idempotent; copies are valid until purged. */
  CACHEABLE("clip", true, false, true),
  /** Keyed, with a short deduplication window; all caches recognize a repeated key. */
  KEYED("pick", false, true, true),
  /** Executed at most once. */
  NON_IDEMPOTENT("once", false, false, false),
  /** Keyed, with a short deduplication window; only caches of the same cell recognize a key. */
  KEYED_IN_CELL("tied", false, true, false);

  final String configuredName;
  final boolean idempotent;
  final boolean keyed;

  /** Whether the gateway may reject a request that a cache may have executed. */
  final boolean rejectAlwaysSafe;

  RequestClass(String configuredName, boolean idempotent, boolean keyed, boolean rejectAlwaysSafe) {
    this.configuredName = configuredName;
    this.idempotent = idempotent;
    this.keyed = keyed;
    this.rejectAlwaysSafe = rejectAlwaysSafe;
  }

  /** Finds a class by the name that the settings and the wire use. */
  static RequestClass of(String configuredName) {
    return Arrays.stream(values())
        .filter(requestClass -> requestClass.configuredName.equals(configuredName))
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("no request class \"" + configuredName + "\""));
  }
}
