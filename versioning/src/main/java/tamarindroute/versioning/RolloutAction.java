package tamarindroute.versioning;

/** An action that the caller of {@link VersionRollout} carries out. */
public sealed interface RolloutAction {

  /**
   * Replace the agreed entry, provided that its number is unchanged.
   *
   * @param entryNumber the number of the entry from which the proposal was derived
   * @param version the new value of the entry
   */
  record Propose(long entryNumber, FleetVersion version) implements RolloutAction {}

  /**
   * Notify the operators.
   *
   * @param text the message
   */
  record Notify(String text) implements RolloutAction {}
}
