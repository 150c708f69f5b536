package tamarindroute.wirehost;

/**
 * What an event about an instance's list of caches brings; in the order of the numbers on the wire.
 */
enum EndpointListKind {
  /** Changed entries only. */
  DELTA,
  /** The complete list. */
  COMPLETE,
  /** The complete list as the instance last had it before it started. */
  CACHED,
  /** No entries: a request for the list has failed, or the subscription has broken. */
  FAILED;

  private static final EndpointListKind[] BY_NUMBER = values();

  /** Whether caches that are not in the list are gone. */
  boolean isComplete() {
    return this == COMPLETE || this == CACHED;
  }

  static EndpointListKind of(int number) throws MalformedFrameException {
    if (number < 0 || number >= BY_NUMBER.length) {
      throw new MalformedFrameException("no list of caches is of the kind " + number);
    }
    return BY_NUMBER[number];
  }
}
