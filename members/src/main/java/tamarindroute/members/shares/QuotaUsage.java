package tamarindroute.members.shares;

import java.time.Duration;
import java.util.Optional;
import tamarindroute.host.MonotonicClock;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;
import tamarindroute.shares.LeaseHolder;
import tamarindroute.shares.LeaseMessage;
import tamarindroute.shares.SharedQuota;

/**
 * Holder's side of one quota: requests leases in time and hands the usable share to the routing
 * policies.
 */
final class QuotaUsage {

  /** Validity of a share that a timer replaces. */
  private static final Duration UNTIL_REPLACED = Duration.ofDays(36_500);

  private final QuotaDefinition definition;
  private final Scheduler scheduler;
  private final QuotaLeases.QuotaGrantListener listener;

  /** Null until the first tick, and if this member does not share the quota. */
  private LeaseHolder leaseHolder;

  /** Whom the last request went to; nobody else's grants count. */
  private Member requestedFrom;

  private LeaseHolder.UsableShare lastApplied;
  private Runnable cancelExpiry = () -> {};
  private boolean stopped;

  QuotaUsage(
      QuotaDefinition definition, Scheduler scheduler, QuotaLeases.QuotaGrantListener listener) {
    this.definition = definition;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /** Starts a holder for this member; a new incarnation starts with the quiet period again. */
  void ensureHolder(Member self, Duration now) {
    boolean sharesQuota = definition.gateways().contains(self.address());
    if (sharesQuota && (leaseHolder == null || !leaseHolder.self().equals(self))) {
      leaseHolder = LeaseHolder.startedAt(self, definition.quota(), now);
      requestedFrom = null;
    }
  }

  /** The request to be sent to the leader if it is time for one. */
  Optional<LeaseMessage> requestIfDue(Member leader, Duration now) {
    if (leaseHolder == null || now.compareTo(leaseHolder.nextRequestAt()) < 0) {
      return Optional.empty();
    }
    LeaseHolder.Step step = leaseHolder.request(now);
    leaseHolder = step.holder();
    requestedFrom = leader;
    return Optional.of(step.message());
  }

  /** Accepts a grant of another member, if it is the one that was asked last. */
  void onGrant(Member from, MemberMessage.LeasePayload payload) {
    if (leaseHolder != null
        && from.equals(requestedFrom)
        && payload.holderIncarnation() == leaseHolder.self().incarnation()) {
      onGrant(LeasePayloadConverter.toGrant(leaseHolder.self(), payload));
    }
  }

  void onGrant(LeaseMessage.Grant grant) {
    leaseHolder = leaseHolder.onGrant(grant);
    applyShare();
  }

  /**
   * Hands the usable share to the policies if it has changed. Their clock is the system's, which
   * may be set: a share above the fixed one ends both at its time there and by a timer here, one
   * below it by the timer only, so that a clock that jumps never gives more.
   */
  void applyShare() {
    if (leaseHolder == null || stopped) {
      return;
    }
    Duration now = MonotonicClock.now();
    LeaseHolder.UsableShare share = leaseHolder.usableShare(now);
    if (share.equals(lastApplied)) {
      return;
    }
    lastApplied = share;
    cancelExpiry.run();
    cancelExpiry = () -> {};
    if (share.validUntil().equals(LeaseHolder.FOREVER)) {
      grant(share.share(), Duration.ZERO);
      return;
    }
    Duration remaining = share.validUntil().minus(now);
    boolean belowFixedShare = share.share() < definition.quota().fixedShare();
    grant(share.share(), belowFixedShare ? UNTIL_REPLACED : remaining);
    cancelExpiry = scheduler.schedule(remaining, this::applyShare);
  }

  private void grant(long shareMillionths, Duration validFor) {
    double fraction = (double) shareMillionths / SharedQuota.FULL_QUOTA;
    listener.onQuotaGrant(definition.tier(), fraction, validFor);
  }

  /** Stops using the quota; returns the message that gives its lease back. */
  Optional<LeaseMessage> stop() {
    if (leaseHolder == null || stopped) {
      stopped = true;
      return Optional.empty();
    }
    stopped = true;
    cancelExpiry.run();
    grant(0, UNTIL_REPLACED);
    return Optional.of(leaseHolder.leave());
  }
}
