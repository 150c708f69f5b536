package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The allocator's account of one configured address: what the gateway there may use at most.
 * Immutable.
 *
 * @param incarnation the latest incarnation seen; 0 for none
 * @param incarnationSeenAt when that one was first seen
 * @param ended whether that one is proven to have ended
 * @param provenEmptyAt last time at which nobody was running here, or null. Whoever runs here and
 *     was not seen has started after it, and is quiet until well past it
 * @param decommissioned whether operators agreed that nothing runs here
 * @param assumedEmptyUntil until when leases of others rely on nobody running here
 * @param lastRequestAt when the gateway last requested a share, granted or not
 * @param grants grants that may be in use; one that is covered by a later, larger one is left out
 */
record LeaseSlot(
    long incarnation,
    Duration incarnationSeenAt,
    boolean ended,
    Duration provenEmptyAt,
    boolean decommissioned,
    Duration assumedEmptyUntil,
    Duration lastRequestAt,
    List<LeaseGrant> grants) {

  /**
   * Bound of the grants. A holder requests each third of a lease, so that a correct one has three
   * or four; more are not granted.
   */
  private static final int MAX_GRANTS = 6;

  /** Slot of an address that nobody was seen at. */
  static final LeaseSlot NEVER_SEEN =
      new LeaseSlot(0, Duration.ZERO, true, null, false, Duration.ZERO, Duration.ZERO, List.of());

  /**
   * A grant of a share.
   *
   * @param share in millionths
   */
  record LeaseGrant(long requestNumber, long share, Duration grantedAt, Duration expiresAt) {

    boolean isInUse(Duration now) {
      return now.compareTo(expiresAt) < 0;
    }
  }

  /**
   * Returns the slot after a sign of an incarnation. A later incarnation proves that the previous
   * one has ended. One at a decommissioned address gets its fixed share reserved again, but no
   * lease.
   */
  LeaseSlot onIncarnationSeen(long seen, Duration now) {
    if (seen > incarnation) {
      return new LeaseSlot(
          seen,
          now,
          false,
          provenEmptyAt,
          decommissioned,
          assumedEmptyUntil,
          lastRequestAt,
          List.of());
    }
    return seen == incarnation && decommissioned
        ? withIncarnationEnded(false, provenEmptyAt)
        : this;
  }

  /**
   * Returns the slot after proof that nobody was running here at a time. It ends an incarnation
   * that was first seen before. One seen since then, or at the same reading of the clock, may have
   * started since.
   */
  LeaseSlot onProvenEmpty(Duration at) {
    Duration latest = provenEmptyAt != null && provenEmptyAt.compareTo(at) > 0 ? provenEmptyAt : at;
    if (incarnationSeenAt.compareTo(at) < 0) {
      return withIncarnationEnded(true, latest);
    }
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        ended,
        latest,
        decommissioned,
        assumedEmptyUntil,
        lastRequestAt,
        grants);
  }

  /**
   * Returns the slot after an incarnation left. It was running when its request was granted, so
   * that any successor has started since.
   */
  LeaseSlot onLeave(long left, long requestNumber) {
    if (left != incarnation || ended) {
      return this;
    }
    Optional<LeaseGrant> lastGrant =
        grants.stream().filter(grant -> grant.requestNumber == requestNumber).findFirst();
    return withIncarnationEnded(true, lastGrant.map(LeaseGrant::grantedAt).orElse(provenEmptyAt));
  }

  /** Returns the slot after an incarnation released what it had requested up to a number. */
  LeaseSlot onRelease(long releasing, long requestNumber) {
    if (releasing != incarnation) {
      return this;
    }
    return withGrants(
        grants.stream().filter(grant -> grant.requestNumber > requestNumber).toList());
  }

  /** Returns the slot after operators agreed that nothing runs here, or withdrew that. */
  LeaseSlot withDecommissioned(boolean agreed) {
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        ended || agreed,
        provenEmptyAt,
        agreed,
        assumedEmptyUntil,
        lastRequestAt,
        agreed ? List.of() : grants);
  }

  /** Returns the slot at the start of a leadership, which waits until earlier grants have ended. */
  LeaseSlot withoutGrants() {
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        ended,
        provenEmptyAt,
        decommissioned,
        Duration.ZERO,
        lastRequestAt,
        List.of());
  }

  /** Returns the slot after a grant to another, which relies on this slot if it is proven empty. */
  LeaseSlot assumeEmpty(Duration until, SharedQuota quota) {
    if (!isProvenEmpty(until, quota)) {
      return this;
    }
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        ended,
        provenEmptyAt,
        decommissioned,
        until,
        lastRequestAt,
        grants);
  }

  /** Returns whether an incarnation is running here, as far as known. */
  boolean isAlive() {
    return !ended && !decommissioned;
  }

  /** Returns whether no further grant fits. */
  boolean isFull() {
    return grants.size() >= MAX_GRANTS;
  }

  /** Returns the slot after a grant. */
  LeaseSlot addGrant(LeaseGrant added, Duration now) {
    List<LeaseGrant> remaining = new ArrayList<>();
    for (LeaseGrant grant : grants) {
      if (grant.isInUse(now) && grant.share > added.share) {
        remaining.add(grant);
      }
    }
    remaining.add(added);
    return withGrants(remaining);
  }

  /** Returns the slot after a request. */
  LeaseSlot onRequest(Duration now) {
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        ended,
        provenEmptyAt,
        decommissioned,
        assumedEmptyUntil,
        now,
        grants);
  }

  /**
   * Returns whether this is one of the gateways that the quota is divided among: it holds a lease,
   * or has requested one recently. With holders alone, a new leader would allocate everything to
   * the first that asks, and the others would wait until that lease ends.
   */
  boolean isSharing(Duration now, SharedQuota quota) {
    boolean requestedRecently = lastRequestAt.plus(quota.leaseDuration()).compareTo(now) > 0;
    return isAlive() && (holdsLease(now) || requestedRecently);
  }

  /** Returns whether a grant may be in use. */
  boolean holdsLease(Duration now) {
    return grants.stream().anyMatch(grant -> grant.isInUse(now));
  }

  /** Returns whether nothing is used here until then: whoever starts is quiet for so long. */
  boolean isProvenEmpty(Duration until, SharedQuota quota) {
    return ended && (decommissioned || isQuietUntil(until, quota));
  }

  private boolean isQuietUntil(Duration until, SharedQuota quota) {
    if (provenEmptyAt == null) {
      return false;
    }
    Duration quietPeriod = SharedQuota.shortenedForDrift(quota.quietPeriod());
    return provenEmptyAt.plus(quietPeriod).compareTo(until) >= 0;
  }

  /** Returns whether the fixed share of this slot is reserved in all leases of others. */
  boolean isFixedShareReserved(Duration now) {
    return assumedEmptyUntil.compareTo(now) <= 0;
  }

  /** Returns the most that may be in use here until then, in millionths. */
  long maxUse(Duration now, Duration until, SharedQuota quota) {
    if (isProvenEmpty(until, quota)) {
      return 0;
    }
    long maxGrant =
        grants.stream()
            .filter(grant -> grant.isInUse(now))
            .mapToLong(LeaseGrant::share)
            .max()
            .orElse(0);
    return Math.max(maxGrant, quota.fixedShare());
  }

  private LeaseSlot withIncarnationEnded(boolean proven, Duration emptyAt) {
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        proven,
        emptyAt,
        decommissioned,
        assumedEmptyUntil,
        lastRequestAt,
        List.of());
  }

  private LeaseSlot withGrants(List<LeaseGrant> newGrants) {
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        ended,
        provenEmptyAt,
        decommissioned,
        assumedEmptyUntil,
        lastRequestAt,
        List.copyOf(newGrants));
  }
}
