package tamarindroute.maintenance;

/** An event of a maintenance window of which operators are notified. */
public enum Notice {
  /** No start time was found for a requested window. */
  NO_SLOT,
  /** The start of a scheduled window is delayed because of a shortage. */
  START_DELAYED,
  /** The caches of a started window must return early because of a shortage. */
  RECALLED,
  /**
   * A key range is uncovered now, without any further failure. Members that are not the leader or
   * are out of contact send this notice as well.
   */
  UNCOVERED,
  /** A cache is not up and warm although the warm-up after its window has passed. */
  RETURN_LATE,
  /** A cache did not return within the return timeout, so its window is closed. */
  RETURN_TIMED_OUT,
  /** A window was cancelled because it can no longer end by its latest time. */
  CANCELLED,
  /** A requested window was not added to the agreed view because the view is full. */
  TOO_MANY_WINDOWS
}
