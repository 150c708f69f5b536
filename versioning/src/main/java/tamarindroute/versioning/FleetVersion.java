package tamarindroute.versioning;

import java.util.Optional;

/**
 * The fleet's version as it is agreed.
 *
 * @param settled the version that all use; never taken back
 * @param phase how far the rollout of the next version has come
 */
public record FleetVersion(int settled, Phase phase) {

  /** The phases of a rollout. */
  public enum Phase {
    /** No rollout. */
    STABLE,
    /** The next version is proposed; nothing changes yet. */
    PROPOSED,
    /** The next version may be used, and may be taken back. */
    TRIAL
  }

  /** The version of a fleet that has agreed on none. */
  public static final FleetVersion FIRST = new FleetVersion(0, Phase.STABLE);

  /**
   * The schema versions that a member may use that knows this fleet version. Without contact, the
   * next version may have been settled, or a trial taken back, so only what is right in either case
   * remains.
   *
   * @param table of all fleet versions
   * @param inContact whether this fleet version is the agreed one
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

  /** The reason why a peer that supports these fleet versions may not join; empty if it may. */
  public Optional<String> joinRefusal(int lowest, int highest) {
    if (settled >= lowest && settled <= highest) {
      return Optional.empty();
    }
    return Optional.of(
        "the fleet has settled on version "
            + settled
            + ", this peer supports "
            + lowest
            + " to "
            + highest);
  }

  /** The version that a rollout leads to. */
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

  FleetVersion takenBack() {
    return new FleetVersion(settled, Phase.STABLE);
  }
}
