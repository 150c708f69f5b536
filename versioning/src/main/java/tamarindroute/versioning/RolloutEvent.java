package tamarindroute.versioning;

import java.util.Optional;
import java.util.Set;

/** An event that the caller reports to {@link VersionRollout}. */
public sealed interface RolloutEvent {

  /**
   * The agreed entry was received.
   *
   * @param entryNumber the number of the entry, which increases with each change of the entry
   * @param version the value of the entry
   * @param peers names of the members and caches whose support is required: all that the agreed
   *     view has not removed
   */
  record VersionAgreed(long entryNumber, FleetVersion version, Set<String> peers)
      implements RolloutEvent {}

  /**
   * This member gained or lost the leadership.
   *
   * @param leader whether this member is the leader now
   */
  record LeadershipChanged(boolean leader) implements RolloutEvent {}

  /**
   * The operators changed the requested fleet version.
   *
   * @param target the requested fleet version; empty to stay at the settled one
   */
  record TargetChanged(Optional<Integer> target) implements RolloutEvent {}

  /**
   * A peer reported the range of fleet versions that it supports.
   *
   * @param peer the name of the member or cache
   * @param lowest the lowest supported fleet version
   * @param highest the highest supported fleet version
   */
  record SupportReported(String peer, int lowest, int highest) implements RolloutEvent {}

  /** This member has lost contact with the agreed view. */
  record ContactLost() implements RolloutEvent {}

  /** Time has passed without another event. */
  record Tick() implements RolloutEvent {}
}
