package tamarindroute.members;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.members.agreed.AgreedViewService;
import tamarindroute.members.shares.LeaderLease;
import tamarindroute.members.shares.QuotaDefinition;
import tamarindroute.members.shares.QuotaLeases;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.net.Scheduler;

/**
 * Shares quotas under the agreed view: the leader of the view allocates them and the others ask it
 * for leases. Confined to the event loop.
 */
final class QuotaService {

  /** A twelfth of the duration of a leader lease. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

  private final Scheduler scheduler;
  private final MembershipEndpoint endpoint;
  private final AgreedViewService agreedViews;
  private final QuotaLeases quotaLeases;
  private final LeaderLease leaderLease;
  private boolean stopped;

  /**
   * Starts to share quotas.
   *
   * @param endpoint listens already: a refused probe has to prove that no process there uses quotas
   */
  QuotaService(
      Scheduler scheduler,
      MembershipEndpoint endpoint,
      AgreedViewService agreedViews,
      QuotaLeases.QuotaGrantListener listener,
      List<QuotaDefinition> quotas) {
    this.scheduler = scheduler;
    this.endpoint = endpoint;
    this.agreedViews = agreedViews;
    this.quotaLeases =
        new QuotaLeases(scheduler, new EndpointTransport(endpoint), listener, quotas);
    this.leaderLease = new LeaderLease(quotaLeases);
    quotaLeases.start();
    tick();
  }

  private void tick() {
    if (!stopped) {
      scheduler.schedule(TICK_INTERVAL, this::tick);
      leaderLease.tick(agreedViews.agreement());
      quotaLeases.onLeaderKnown(agreedViews.leader().flatMap(this::findLive));
    }
  }

  /** The live member at an address; a voter's own incarnation is that of its store's start. */
  private Optional<Member> findLive(Address address) {
    return endpoint.liveMembers().stream()
        .filter(member -> member.address().equals(address))
        .findFirst();
  }

  void onStateChanged(Member member, MemberState state) {
    if (state == MemberState.JOINING || state == MemberState.ALIVE) {
      quotaLeases.onMemberSeen(member);
    }
  }

  void onLease(Member from, MemberMessage.LeasePayload lease) {
    quotaLeases.onLease(from, lease);
  }

  /** Stops using quotas; to be called before the endpoint leaves. */
  void stop() {
    stopped = true;
    quotaLeases.stop();
  }
}
