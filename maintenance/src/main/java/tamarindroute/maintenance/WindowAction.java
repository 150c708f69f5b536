package tamarindroute.maintenance;

/** What the caller carries out for the window coordinator. */
public sealed interface WindowAction {

  /**
   * Put an entry into the agreed view if the view still has the expected number.
   *
   * @param key the entry's key
   * @param expectedViewNumber the number of the view on which the step was decided
   * @param value the new entry; null removes the key
   */
  record Propose(String key, long expectedViewNumber, MaintenanceWindow value)
      implements WindowAction {}

  /** Send a cache no new requests. */
  record Drain(String cache) implements WindowAction {}

  /** Send a cache requests again. */
  record Release(String cache) implements WindowAction {}

  /**
   * Notify operators; repeated only after the reason had gone.
   *
   * @param notice what has happened
   * @param window id of the window
   * @param shortage the reason; null where the notice has no shortage
   */
  record Notify(Notice notice, String window, Shortage shortage) implements WindowAction {}
}
