package tamarindroute.versioning;

import java.util.Optional;
import java.util.Set;

/** What the caller reports to a rollout. */
public sealed interface RolloutEvent {

  /**
   * The agreed entry.
   *
   * @param entryNumber increases with each change of the entry
   * @param version the entry
   * @param peers names of the members and caches whose support is required
   */
  record VersionAgreed(long entryNumber, FleetVersion version, Set<String> peers)
      implements RolloutEvent {}

  /** This member became the leader, or no longer is. */
  record LeadershipChanged(boolean leader) implements RolloutEvent {}

  /** Operators want this fleet version; empty for the one that is settled. */
  record TargetChanged(Optional<Integer> target) implements RolloutEvent {}

  /** A peer reports the fleet versions that it supports. */
  record SupportReported(String peer, int lowest, int highest) implements RolloutEvent {}

  /** The agreed view can't be reached. */
  record ContactLost() implements RolloutEvent {}

  /** Time has passed. */
  record Tick() implements RolloutEvent {}
}
