package tamarindroute.versioning;

import java.util.Optional;

/**
 * The agreed fleet version and the phase of the rollout of the next one. A fleet version determines
 * the schema versions that members may use, see {@link VersionTable}.
 *
 * @param settled the fleet version that all members use; it is never reverted
 * @param phase the phase of the rollout of version {@code settled + 1}
 */
public record FleetVersion(int settled, Phase phase) {

  /** The phases of a rollout. */
  public enum Phase {
    /** No rollout is in progress. */
    STABLE,
    /** The next version is proposed. The usable schema versions are unchanged. */
    PROPOSED,
    /** The next version may be used, and the trial may still be reverted. */
    TRIAL
  }

  /** The initial state, before the fleet has agreed on a version. */
  public static final FleetVersion FIRST = new FleetVersion(0, Phase.STABLE);

  /**
   * Returns the schema versions that a member with this fleet version may use. While the member is
   * out of contact, the next version may be settled or a trial reverted without its notice, so it
   * may use only schema versions that are allowed in either case.
   *
   * @param table the allowed schema versions of all fleet versions
   * @param inContact whether the member is in contact with the agreed view, so that this is still
   *     the agreed fleet version
   */
  public VersionSet usable(VersionTable table, boolean inContact) {
    VersionSet current = table.allowed().get(settled);
    if (settled == table.last()) {
      return current;
    }
    VersionSet next = table.allowed().get(settled + 1);
    if (!inContact) {
      return current.and(next);
    }
    return phase == Phase.TRIAL ? current.or(next) : current;
  }

  /**
   * Returns the reason why a peer may not join, or empty if it may.
   *
   * @param lowest the lowest fleet version that the peer supports
   * @param highest the highest fleet version that the peer supports
   */
  public Optional<String> joinRefusal(int lowest, int highest) {
    if (settled >= lowest && settled <= highest) {
      return Optional.empty();
    }
    return Optional.of(
        "peer supports fleet versions "
            + lowest
            + " to "
            + highest
            + ", must support the settled version "
            + settled);
  }

  /** Returns the fleet version that a rollout from this one introduces. */
  int next() {
    return settled + 1;
  }

  FleetVersion proposed() {
    return new FleetVersion(settled, Phase.PROPOSED);
  }

  FleetVersion onTrial() {
    return new FleetVersion(settled, Phase.TRIAL);
  }

  FleetVersion settledNext() {
    return new FleetVersion(next(), Phase.STABLE);
  }

  FleetVersion reverted() {
    return new FleetVersion(settled, Phase.STABLE);
  }
}
