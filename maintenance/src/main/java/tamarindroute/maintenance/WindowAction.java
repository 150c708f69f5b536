package tamarindroute.maintenance;

/** An action that the caller of {@link WindowCoordinator} carries out. */
public sealed interface WindowAction {

  /**
   * Put an entry into the agreed view, provided that the view still has the expected number.
   *
   * @param key the key of the entry
   * @param expectedViewNumber the number of the view on which the step was decided
   * @param value the new value of the entry; null to remove the entry
   */
  record Propose(String key, long expectedViewNumber, MaintenanceWindow value)
      implements WindowAction {}

  /**
   * Stop sending new requests to a cache.
   *
   * @param cache the name of the cache
   */
  record Drain(String cache) implements WindowAction {}

  /**
   * Resume sending requests to a cache.
   *
   * @param cache the name of the cache
   */
  record Release(String cache) implements WindowAction {}

  /**
   * Notify the operators. The same notice is repeated only after its cause had disappeared.
   *
   * @param notice the kind of event
   * @param window the id of the window
   * @param shortage the shortage that caused the notice; null if there is none
   */
  record Notify(Notice notice, String window, Shortage shortage) implements WindowAction {}
}
