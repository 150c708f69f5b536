package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Owns what a dealer counts for one told address: what whoever lives there may use at most.
 * Immutable.
 *
 * @param incarnation the latest life that was heard; 0 for none
 * @param incarnationSeenAt when that one was first heard
 * @param ended whether that one is proven to have ended
 * @param provenEmptyAt whoever lives here and was not heard has begun after this, or null; it is
 *     quiet until well past it
 * @param decommissioned an agreed word of an operator says that nothing runs here
 * @param assumedEmptyUntil until when leases of others rely on nobody being here
 * @param lastRequestAt when it last asked, also while nothing was dealt yet: those that asked of
 *     late are dealt equal parts. With the holders of leases alone the first that asked a new
 *     dealer was dealt all, and the rest waited for its end
 * @param grants the leases that may be in use; of two the one that is neither larger nor longer is
 *     left out
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
   * A holder asks every third of a length, so that sound ones have three or four; more are refused.
   */
  private static final int MAX_GRANTS = 6;

  static final LeaseSlot NEVER_SEEN =
      new LeaseSlot(0, Duration.ZERO, true, null, false, Duration.ZERO, Duration.ZERO, List.of());

  record LeaseGrant(long requestNumber, long share, Duration grantedAt, Duration expiresAt) {}

  /**
   * Whoever speaks lives, if it is no former life; what a former one had is free, for that life is
   * over. It may speak against an operator's word: then its fixed share is kept back again, but it
   * gets no lease until the word is taken back.
   */
  LeaseSlot onIncarnationSeen(long from, Duration now) {
    if (from > incarnation) {
      return new LeaseSlot(
          from,
          now,
          false,
          provenEmptyAt,
          decommissioned,
          assumedEmptyUntil,
          lastRequestAt,
          List.of());
    }
    return from == incarnation && decommissioned
        ? withIncarnationEnded(false, provenEmptyAt)
        : this;
  }

  /**
   * Nobody lived here at this time. That ends the life that was heard before then; one that was
   * first heard since, or at the same reading of the clock, may have begun since: its lease was
   * dropped here while it used it.
   */
  LeaseSlot onProvenEmpty(Duration at) {
    Duration latest = provenEmptyAt != null && provenEmptyAt.compareTo(at) > 0 ? provenEmptyAt : at;
    return incarnationSeenAt.compareTo(at) < 0
        ? withIncarnationEnded(true, latest)
        : new LeaseSlot(
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
   * That life is over. It lived when its asking was answered, so that whoever follows has begun
   * since.
   */
  LeaseSlot onLeave(long life, long number) {
    if (life != incarnation || ended) {
      return this;
    }
    return withIncarnationEnded(
        true,
        grants.stream()
            .filter(one -> one.requestNumber == number)
            .map(LeaseGrant::grantedAt)
            .findFirst()
            .orElse(provenEmptyAt));
  }

  LeaseSlot onRelease(long life, long number) {
    return life != incarnation
        ? this
        : withGrants(grants.stream().filter(one -> one.requestNumber > number).toList());
  }

  LeaseSlot decommissioned(boolean agreed) {
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

  /** Whatever was dealt before is waited out by whoever calls this. */
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

  /** Somebody else's lease until then counts on nobody being here, if that is so. */
  LeaseSlot assumeEmpty(Duration until, SharedQuota quota) {
    return isProvenEmpty(until, quota)
        ? new LeaseSlot(
            incarnation,
            incarnationSeenAt,
            ended,
            provenEmptyAt,
            decommissioned,
            until,
            lastRequestAt,
            grants)
        : this;
  }

  boolean isAlive() {
    return !ended && !decommissioned;
  }

  boolean isFull() {
    return grants.size() >= MAX_GRANTS;
  }

  LeaseSlot grants(LeaseGrant next, Duration now) {
    List<LeaseGrant> kept =
        new ArrayList<>(
            grants.stream()
                .filter(one -> now.compareTo(one.expiresAt) < 0 && one.share > next.share)
                .toList());
    kept.add(next);
    return withGrants(kept);
  }

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

  /** Whether it is one of those among whom is dealt. */
  boolean isSharing(Duration now, SharedQuota quota) {
    return isAlive()
        && (holdsLease(now) || lastRequestAt.plus(quota.leaseDuration()).compareTo(now) > 0);
  }

  boolean holdsLease(Duration now) {
    return grants.stream().anyMatch(one -> now.compareTo(one.expiresAt) < 0);
  }

  /**
   * Whether nobody uses anything here until then: nobody lives, and whoever starts is quiet until
   * then.
   */
  boolean isProvenEmpty(Duration until, SharedQuota quota) {
    return ended
        && (decommissioned
            || provenEmptyAt != null
                && provenEmptyAt
                        .plus(SharedQuota.shortenedForDrift(quota.quietPeriod()))
                        .compareTo(until)
                    >= 0);
  }

  /** Whether the fixed share is kept back for whoever is here, in all that was dealt to others. */
  boolean isFixedShareReserved(Duration now) {
    return assumedEmptyUntil.compareTo(now) <= 0;
  }

  /** The most that may be in use here until then. */
  long maxUse(Duration now, Duration until, SharedQuota quota) {
    long maxGrant =
        grants.stream()
            .filter(one -> now.compareTo(one.expiresAt) < 0)
            .mapToLong(LeaseGrant::share)
            .max()
            .orElse(0);
    return isProvenEmpty(until, quota) ? 0 : Math.max(maxGrant, quota.fixedShare());
  }

  private LeaseSlot withIncarnationEnded(boolean proven, Duration empty) {
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        proven,
        empty,
        decommissioned,
        assumedEmptyUntil,
        lastRequestAt,
        List.of());
  }

  private LeaseSlot withGrants(List<LeaseGrant> other) {
    return new LeaseSlot(
        incarnation,
        incarnationSeenAt,
        ended,
        provenEmptyAt,
        decommissioned,
        assumedEmptyUntil,
        lastRequestAt,
        List.copyOf(other));
  }
}
