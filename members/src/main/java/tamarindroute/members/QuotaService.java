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
 * The shares beside the agreed view: who leads it deals, and is asked for parts. On the owner's
 * thread.
 */
final class QuotaService {

  /** A twelfth of the time that a lead lasts. */
  private static final Duration TICK = Duration.ofMillis(250);

  private final Scheduler scheduler;
  private final MembershipEndpoint endpoint;
  private final AgreedViewService agreedViews;
  private final QuotaLeases quotaLeases;
  private final LeaderLease leaderLease;
  private boolean stopped;

  /** The endpoint listens already: a refusal must prove that no life that uses shares is there. */
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
      scheduler.schedule(TICK, this::tick);
      leaderLease.tick(agreedViews.agreement());
      quotaLeases.onLeaderKnown(agreedViews.leader().flatMap(this::findLive).orElse(null));
    }
  }

  /**
   * A voter is known by the life that its store began with; the one that is there now is
   * membership's to tell.
   */
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

  /** Ahead of the endpoint's leaving. */
  void stop() {
    stopped = true;
    quotaLeases.stop();
  }
}
