package tamarindroute.versioning;

/** What the caller carries out for a rollout. */
public sealed interface RolloutAction {

  /** Replace the agreed entry if it still has this number. */
  record Propose(long entryNumber, FleetVersion version) implements RolloutAction {}

  /** Notify operators. */
  record Notify(String text) implements RolloutAction {}
}
