package tamarindroute.rig.check;

import java.time.Duration;

/** Delays that are the rig's own, on a machine of two cores with many processes. */
final class Tolerance {

  /** Lateness of the rig in reading lines and of its clients and caches. */
  static final Duration RIG_LATENESS = Duration.ofMillis(400);

  private Tolerance() {}
}
