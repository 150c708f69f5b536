package tamarindroute.shares;

import java.time.Duration;
import java.util.TreeMap;
import tamarindroute.membership.Member;

/**
 * Owns what one life of a gateway may use. A lease counts from its asking and is given up a
 * hundredth early, so that it is over here before it is over at its dealer, whatever the way took.
 * Past it the fixed share is used. What may be used is asked at the moment of acting, so that one
 * that was stopped finds its lease over first. Immutable.
 *
 * @param startedAt once it listened where it is told to be found: a refusal proves that no life has
 *     begun before
 * @param requestTimes when, by number; the latest few
 * @param lease the one in use or past, or null
 */
public record LeaseHolder(
    Member self,
    SharedQuota quota,
    Duration startedAt,
    long lastRequestNumber,
    TreeMap<Long, Duration> requestTimes,
    Lease lease) {

  /** An answer that is later than three askings comes when most of its lease is over. */
  private static final int MAX_PENDING_REQUESTS = 4;

  /** That a share holds until something is heard. */
  public static final Duration FOREVER = Duration.ofSeconds(Long.MAX_VALUE);

  record Lease(long requestNumber, long share, Duration expiresAt) {}

  /**
   * What may be used now; the policy reads it as so many sharers until then, and as the fixed share
   * past it.
   */
  public record UsableShare(long share, Duration validUntil) {

    /** By how many the bound is divided for this one; without bound where it has no part. */
    public double equivalentSharers() {
      return share <= 0 ? Double.POSITIVE_INFINITY : (double) SharedQuota.FULL_QUOTA / share;
    }
  }

  /** What follows, and what is to be sent to the dealer. */
  public record Step(LeaseHolder holder, LeaseMessage message) {}

  public LeaseHolder {
    requestTimes = new TreeMap<>(requestTimes);
  }

  public static LeaseHolder startedAt(Member self, SharedQuota quota, Duration now) {
    return new LeaseHolder(self, quota, now, 0, new TreeMap<>(), null);
  }

  /** Asks anew; what was granted before goes on until its end. */
  public Step request(Duration now) {
    TreeMap<Long, Duration> more = new TreeMap<>(requestTimes);
    more.put(lastRequestNumber + 1, now);
    while (more.size() > MAX_PENDING_REQUESTS) {
      more.pollFirstEntry();
    }
    return new Step(
        new LeaseHolder(self, quota, startedAt, lastRequestNumber + 1, more, lease),
        new LeaseMessage.Request(self, lastRequestNumber + 1));
  }

  /** When to ask next. */
  public Duration nextRequestAt() {
    return requestTimes.isEmpty()
        ? startedAt
        : requestTimes.lastEntry().getValue().plus(quota.leaseDuration().dividedBy(3));
  }

  /**
   * A grant that answers none of the latest askings of this life, or an earlier one than is held,
   * changes nothing.
   */
  public LeaseHolder onGrant(LeaseMessage.Grant grant) {
    Duration from = requestTimes.get(grant.requestNumber());
    boolean fits =
        grant.holder().equals(self)
            && from != null
            && grant.share() >= 0
            && grant.share() <= quota.limit()
            && !grant.leaseDuration().isNegative()
            && grant.leaseDuration().compareTo(quota.leaseDuration()) <= 0;
    if (!fits || lease != null && grant.requestNumber() < lease.requestNumber) {
      return this;
    }
    return new LeaseHolder(
        self,
        quota,
        startedAt,
        lastRequestNumber,
        requestTimes,
        new Lease(
            grant.requestNumber(),
            grant.share(),
            from.plus(SharedQuota.shortenedForDrift(grant.leaseDuration()))));
  }

  /** Uses the fixed share from now on; what was asked for and comes yet is not taken. */
  public Step release() {
    return new Step(
        new LeaseHolder(self, quota, startedAt, lastRequestNumber, new TreeMap<>(), null),
        new LeaseMessage.Release(self, lastRequestNumber));
  }

  /** Uses nothing from now on, for whoever calls it drops this. */
  public LeaseMessage leave() {
    return new LeaseMessage.Leave(self, lastRequestNumber);
  }

  /** What may be used at this moment. */
  public UsableShare usableShare(Duration now) {
    Duration quietUntil = startedAt.plus(quota.quietPeriod());
    boolean quiet = now.compareTo(quietUntil) < 0;
    long own = quiet ? 0 : quota.fixedShare();
    if (lease != null && now.compareTo(lease.expiresAt) < 0 && lease.share > own) {
      return new UsableShare(lease.share, lease.expiresAt);
    }
    return new UsableShare(own, quiet ? quietUntil : FOREVER);
  }
}
