package tamarindroute.members.shares;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import tamarindroute.decision.Cache;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;

/** All shared quotas at one member. Confined to the event loop. */
public final class QuotaLeases implements LeaderStatus {

  /** Sends to other members. */
  public interface PeerTransport {

    /** This member with its current incarnation. */
    Member self();

    /** Sends to exactly this incarnation; the message may be lost. */
    void send(Member to, MemberMessage.LeasePayload lease);

    /**
     * Finds out whether the machine of a member refuses datagrams because nobody listens there.
     * Does nothing if a proxy stands between.
     *
     * @param onRefused called if it refuses within the timeout
     */
    void probe(
        Address address, MemberMessage.LeasePayload lease, Duration timeout, Runnable onRefused);
  }

  /** Receives granted shares. */
  public interface QuotaGrantListener {

    /**
     * A share was granted, in place of the one before.
     *
     * @param tier the caches that it applies to
     * @param share the part of the quota, 0 to 1
     * @param validFor how long it holds; the even share holds after it
     */
    void onQuotaGrant(Cache.Tier tier, double share, Duration validFor);
  }

  /** Ticks for each shortest lease; a quarter of the interval in which holders renew. */
  private static final int TICKS_PER_LEASE = 12;

  private static final Duration DEFAULT_LEASE_DURATION = Duration.ofSeconds(1);

  private final Scheduler scheduler;
  private final Map<Integer, QuotaGroup> groups;
  private final Duration tickInterval;

  /** Null while none is known. */
  private Member leader;

  private boolean stopped;

  /**
   * Creates the quotas; {@link #start} starts to use them.
   *
   * @param quotas the same at all members
   */
  public QuotaLeases(
      Scheduler scheduler,
      PeerTransport peers,
      QuotaGrantListener listener,
      List<QuotaDefinition> quotas) {
    this.scheduler = scheduler;
    this.groups =
        quotas.stream()
            .collect(
                Collectors.toMap(
                    QuotaDefinition::number,
                    definition -> new QuotaGroup(definition, scheduler, peers, listener)));
    this.tickInterval =
        quotas.stream()
            .map(definition -> definition.quota().leaseDuration())
            .min(Duration::compareTo)
            .orElse(DEFAULT_LEASE_DURATION)
            .dividedBy(TICKS_PER_LEASE);
  }

  /** Starts to use the quotas; the member has to listen already. */
  public void start() {
    if (!stopped) {
      scheduler.schedule(tickInterval, this::start);
      forEachGroup(group -> group.tick(Optional.ofNullable(leader)));
    }
  }

  private void forEachGroup(Consumer<QuotaGroup> task) {
    groups.values().forEach(task);
  }

  /** Handles a message of another member. */
  public void onLease(Member from, MemberMessage.LeasePayload lease) {
    QuotaGroup group = groups.get(lease.quotaNumber());
    if (group != null) {
      group.onLease(from, lease);
    }
  }

  /** Stops using the quotas and gives all leases back; to be called before the member leaves. */
  public void stop() {
    stopped = true;
    forEachGroup(group -> group.stop(Optional.ofNullable(leader)));
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
  public void onLeaderKnown(Optional<Member> leader) {
    this.leader = leader.orElse(null);
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
