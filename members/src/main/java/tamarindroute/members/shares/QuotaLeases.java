package tamarindroute.members.shares;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import tamarindroute.decision.Cache;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;
import tamarindroute.shares.LeaseHolder;

/**
 * All bounds at one member; all of it on the owner's thread. Whoever carries it starts it once the
 * member listens.
 */
public final class QuotaLeases implements LeaderStatus {

  /** The way to others. */
  public interface PeerTransport {

    Member self();

    /** Sends to a life; it may be lost. */
    void send(Member to, MemberMessage.LeasePayload lease);

    /**
     * Asks the machine itself whether anybody listens there; says nothing where a proxy stands
     * between.
     */
    void probe(
        Address address, MemberMessage.LeasePayload lease, Duration timeout, Runnable onRefused);
  }

  /** Where a part goes: it holds from now on for so long, and the even share after it. */
  public interface QuotaGrantListener {
    void onQuotaGrant(Cache.Tier tier, double share, Duration validFor);
  }

  private final Scheduler scheduler;
  private final PeerTransport peers;
  private final Map<Integer, QuotaGroup> groups;
  private final Duration tickInterval;
  private Member leader;
  private boolean stopped;

  public QuotaLeases(
      Scheduler scheduler,
      PeerTransport peers,
      QuotaGrantListener listener,
      List<QuotaDefinition> quotas) {
    this.scheduler = scheduler;
    this.peers = peers;
    this.groups =
        quotas.stream()
            .collect(
                Collectors.toMap(
                    QuotaDefinition::number,
                    quota -> new QuotaGroup(quota, scheduler, peers, listener)));
    // A quarter of the time in which a holder asks anew, so that it asks hardly late.
    this.tickInterval =
        quotas.stream()
            .map(quota -> quota.quota().leaseDuration())
            .min(Duration::compareTo)
            .orElse(Duration.ofSeconds(1))
            .dividedBy(12);
  }

  /** Takes the first steps, and more from then on. */
  public void start() {
    if (stopped) {
      return;
    }
    scheduler.schedule(tickInterval, this::start);
    forEachGroup(group -> group.tick(leader));
  }

  private void forEachGroup(Consumer<QuotaGroup> task) {
    groups.values().forEach(task);
  }

  /** A letter of another member. */
  public void onLease(Member from, MemberMessage.LeasePayload lease) {
    QuotaGroup group = groups.get(lease.quotaNumber());
    if (group != null) {
      group.onLease(from, lease);
    }
  }

  /** What may be used of a bound at this moment; null where this one has no part in it. */
  public LeaseHolder.UsableShare usableShare(int term) {
    return groups.get(term).usableShare();
  }

  /** Ahead of the member's leaving: nothing is used any more. */
  public void stop() {
    stopped = true;
    forEachGroup(group -> group.stop(leader));
  }

  @Override
  public void onLeadership(long term, Duration until) {
    forEachGroup(group -> group.onLeadership(term, until));
  }

  @Override
  public void onLeadershipLost() {
    forEachGroup(QuotaGroup::onLeadershipLost);
  }

  @Override
  public void onLeaderKnown(Member member) {
    leader = member;
  }

  @Override
  public void onMemberSeen(Member member) {
    forEachGroup(group -> group.onMemberSeen(member));
  }

  @Override
  public void onDecommissioned(Address address, boolean confirmed) {
    forEachGroup(group -> group.onDecommissioned(address, confirmed));
  }
}
