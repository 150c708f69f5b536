package tamarindroute.members.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.host.MonotonicClock;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;
import tamarindroute.shares.LeaseHolder;
import tamarindroute.shares.LeaseMessage;
import tamarindroute.shares.QuotaAllocator;
import tamarindroute.shares.SharedQuota;

/** One bound at one member: what this one holds of it, and what it has dealt of it. */
final class QuotaGroup {

  /**
   * Sockets that ask at once are bounded; asked each quarter of a length, so many a tick are about
   * a hundred a second.
   */
  private static final int MAX_PROBES_PER_TICK = 32;

  /** Longer than any time that a quiet or leased share is told for; each is ended by a timer. */
  private static final Duration UNTIL_REPLACED = Duration.ofDays(36_500);

  private final QuotaDefinition quota;
  private final Scheduler scheduler;
  private final QuotaLeases.PeerTransport peers;
  private final QuotaLeases.QuotaGrantListener listener;
  private final List<Address> gateways;
  private final Map<Address, Duration> lastHeard = new HashMap<>();
  private QuotaAllocator allocator;
  private LeaseHolder leaseHolder;
  private Member requestedFrom;
  private LeaseHolder.UsableShare told;
  private Runnable expiryTimer = () -> {};
  private int nextGateway;
  private boolean stopped;

  QuotaGroup(
      QuotaDefinition quota,
      Scheduler scheduler,
      QuotaLeases.PeerTransport peers,
      QuotaLeases.QuotaGrantListener listener) {
    this.quota = quota;
    this.scheduler = scheduler;
    this.peers = peers;
    this.listener = listener;
    this.gateways = new ArrayList<>(quota.gateways());
    this.allocator = QuotaAllocator.initial(quota.quota(), quota.gateways());
  }

  /**
   * Also for a life that found out that a later one than itself was here: it is quiet as any new
   * one is.
   */
  private void ensureLeaseHolder(Member self, Duration now) {
    if (quota.gateways().contains(self.address())
        && (leaseHolder == null || !leaseHolder.self().equals(self))) {
      leaseHolder = LeaseHolder.startedAt(self, quota.quota(), now);
      requestedFrom = null;
    }
  }

  void tick(Member leader) {
    Duration now = MonotonicClock.now();
    ensureLeaseHolder(peers.self(), now);
    if (leaseHolder != null && leader != null && now.compareTo(leaseHolder.nextRequestAt()) >= 0) {
      LeaseHolder.Step step = leaseHolder.request(now);
      leaseHolder = step.holder();
      requestedFrom = leader;
      deliver(leader, step.message());
    }
    if (now.compareTo(allocator.leadsUntil()) < 0) {
      probeSilentGateways(now);
    }
    applyShare();
  }

  /**
   * Those that said nothing of late are asked for by turns, of their machines; silence is no
   * answer.
   */
  private void probeSilentGateways(Duration now) {
    Duration probeInterval = quota.quota().leaseDuration().dividedBy(4);
    for (int i = 0, probeCount = 0; i < gateways.size() && probeCount < MAX_PROBES_PER_TICK; i++) {
      Address address = gateways.get(nextGateway++ % gateways.size());
      if (address.equals(peers.self().address())
          || now.compareTo(lastHeard.getOrDefault(address, Duration.ZERO).plus(probeInterval))
              < 0) {
        continue;
      }
      probeCount++;
      lastHeard.put(address, now);
      peers.probe(
          address,
          new MemberMessage.LeasePayload(
              quota.number(), MemberMessage.LeaseKind.PROBE, 0, 0, 0, Duration.ZERO),
          probeInterval,
          () -> allocator = allocator.onConnectionRefused(address, now));
    }
  }

  private void deliver(Member recipient, LeaseMessage message) {
    if (recipient.equals(peers.self())) {
      told(recipient, message);
    } else {
      peers.send(recipient, toPayload(message));
    }
  }

  void onLease(Member from, MemberMessage.LeasePayload lease) {
    if (stopped) {
      return;
    }
    Duration now = MonotonicClock.now();
    if (lease.kind() == MemberMessage.LeaseKind.GRANT) {
      // Only of the one that was asked last: no other deals, whatever it says.
      if (leaseHolder != null
          && from.equals(requestedFrom)
          && lease.holderIncarnation() == leaseHolder.self().incarnation()) {
        onGrant(
            new LeaseMessage.Grant(
                leaseHolder.self(),
                lease.requestNumber(),
                lease.shareMillionths(),
                lease.duration()));
      }
    } else if (lease.kind() == MemberMessage.LeaseKind.PROBE
        || lease.holderIncarnation() != from.incarnation()) {
      allocator = allocator.onMemberSeen(from, now);
    } else {
      told(
          from,
          switch (lease.kind()) {
            case RELEASE -> new LeaseMessage.Release(from, lease.requestNumber());
            case LEAVE -> new LeaseMessage.Leave(from, lease.requestNumber());
            default -> new LeaseMessage.Request(from, lease.requestNumber());
          });
    }
  }

  private void told(Member from, LeaseMessage message) {
    Duration now = MonotonicClock.now();
    if (quota.gateways().contains(from.address())) {
      lastHeard.put(from.address(), now);
    }
    QuotaAllocator.Step step = allocator.onMessage(message, now);
    allocator = step.allocator();
    if (step.grant() == null) {
      return;
    }
    if (from.equals(peers.self())) {
      onGrant(step.grant());
    } else {
      peers.send(from, toPayload(step.grant()));
    }
  }

  private void onGrant(LeaseMessage.Grant grant) {
    leaseHolder = leaseHolder.onGrant(grant);
    applyShare();
  }

  private MemberMessage.LeasePayload toPayload(LeaseMessage message) {
    LeaseMessage.Grant grant =
        message instanceof LeaseMessage.Grant grantMessage ? grantMessage : null;
    MemberMessage.LeaseKind kind =
        grant != null
            ? MemberMessage.LeaseKind.GRANT
            : message instanceof LeaseMessage.Release
                ? MemberMessage.LeaseKind.RELEASE
                : message instanceof LeaseMessage.Leave
                    ? MemberMessage.LeaseKind.LEAVE
                    : MemberMessage.LeaseKind.REQUEST;
    return new MemberMessage.LeasePayload(
        quota.number(),
        kind,
        message.holder().incarnation(),
        message.requestNumber(),
        grant == null ? 0 : grant.share(),
        grant == null ? Duration.ZERO : grant.leaseDuration());
  }

  /**
   * Tells the decisions what is held from now on. Their clock is the system's and may be set: a
   * part over the even share ends there at its time and here by a timer, one under it by the timer
   * alone, so that a clock that jumps never gives more.
   */
  private void applyShare() {
    if (leaseHolder == null || stopped) {
      return;
    }
    Duration now = MonotonicClock.now();
    LeaseHolder.UsableShare share = leaseHolder.usableShare(now);
    if (share.equals(told)) {
      return;
    }
    told = share;
    expiryTimer.run();
    expiryTimer = () -> {};
    if (share.validUntil().equals(LeaseHolder.FOREVER)) {
      listener.onQuotaGrant(quota.tier(), toFraction(share.share()), Duration.ZERO);
      return;
    }
    boolean belowFixedShare = share.share() < quota.quota().fixedShare();
    listener.onQuotaGrant(
        quota.tier(),
        toFraction(share.share()),
        belowFixedShare ? UNTIL_REPLACED : share.validUntil().minus(now));
    expiryTimer = scheduler.schedule(share.validUntil().minus(now), this::applyShare);
  }

  private static double toFraction(long millionths) {
    return (double) millionths / SharedQuota.FULL_QUOTA;
  }

  void onLeadership(long term, Duration expiresAt) {
    allocator = allocator.onLeadership(term, expiresAt, MonotonicClock.now());
  }

  void onLeadershipLost() {
    allocator = allocator.onLeadershipLost(MonotonicClock.now());
  }

  void onMemberSeen(Member member) {
    allocator = allocator.onMemberSeen(member, MonotonicClock.now());
  }

  void onDecommissioned(Address address, boolean confirmed) {
    allocator = allocator.onDecommissioned(address, confirmed);
  }

  /** What this one may use at this moment; null where it is not among those that share. */
  LeaseHolder.UsableShare usableShare() {
    return leaseHolder == null
        ? null
        : stopped
            ? new LeaseHolder.UsableShare(0, LeaseHolder.FOREVER)
            : leaseHolder.usableShare(MonotonicClock.now());
  }

  /** Nothing is used from now on, and then the dealer is told so. */
  void stop(Member leader) {
    if (leaseHolder != null && !stopped) {
      stopped = true;
      expiryTimer.run();
      listener.onQuotaGrant(quota.tier(), 0, UNTIL_REPLACED);
      if (leader != null && !leader.equals(peers.self())) {
        peers.send(leader, toPayload(leaseHolder.leave()));
      }
    }
    stopped = true;
  }
}
