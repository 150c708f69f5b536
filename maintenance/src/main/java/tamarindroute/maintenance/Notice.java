package tamarindroute.maintenance;

/** What operators are notified of. */
public enum Notice {
  /** No time was found for a requested window. */
  NO_SLOT,
  /** A scheduled window can't start because of a shortage. */
  START_DELAYED,
  /** A window's caches are called back because of a shortage. */
  RECALLED,
  /** A key range is uncovered, even without a further failure. */
  UNCOVERED,
  /** A cache is not back and warm after its window's end and the warm-up. */
  RETURN_LATE,
  /** A cache was given up; its window closes. */
  RETURN_TIMED_OUT,
  /** A window was cancelled because its latest time can't be met. */
  CANCELLED,
  /** A requested window is not taken over because the view holds too many. */
  TOO_MANY_WINDOWS
}
