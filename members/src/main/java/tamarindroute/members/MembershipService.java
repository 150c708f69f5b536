package tamarindroute.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.host.RouterInstance;
import tamarindroute.members.agreed.AgreedViewService;
import tamarindroute.members.shares.QuotaDefinition;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Runs the membership of a gateway, its agreed view and its shared quotas beside the gateway, on
 * its event loop.
 */
public final class MembershipService
    implements LifecycleComponent, MembershipEndpoint.Listener, FeedEventReplicator.Peers {

  private final MemberConfiguration configuration;
  private final List<QuotaDefinition> quotas;
  private MembershipEndpoint endpoint;
  private FeedEventReplicator feedReplicator;

  /** Null without voters. */
  private AgreedViewService agreedViews;

  /** Null without voters or shared quotas. */
  private QuotaService quotaService;

  /** A membership without shared quotas. */
  public MembershipService(MemberConfiguration configuration) {
    this(configuration, List.of());
  }

  /**
   * A membership with shared quotas.
   *
   * @param quotas the same at all members; used only if there are voters
   */
  public MembershipService(MemberConfiguration configuration, List<QuotaDefinition> quotas) {
    this.configuration = configuration;
    this.quotas = List.copyOf(quotas);
  }

  @Override
  public void onStarted(RouterInstance instance) throws IOException {
    EventLoop eventLoop = instance.eventLoop();
    EndpointRegistry endpoints = instance.endpoints();
    feedReplicator =
        new FeedEventReplicator(
            configuration.advertisedAddress(), followerOf(endpoints), eventLoop, this);
    endpoint =
        new MembershipEndpoint(
            eventLoop,
            new DatagramTransport(eventLoop),
            configuration,
            System.currentTimeMillis(),
            this);
    endpoint.start();
    endpoints.onFeedRead(feedReplicator::onFeedText);
    feedReplicator.poll();
    if (!configuration.voters().isEmpty()) {
      startAgreedViews(instance);
    }
  }

  private static FeedEventReplicator.FeedFollower followerOf(EndpointRegistry endpoints) {
    return new FeedEventReplicator.FeedFollower() {
      @Override
      public long lastNumber() {
        return endpoints.lastEventNumber();
      }

      @Override
      public boolean apply(long number, String event) throws MalformedMessageException {
        return endpoints.applyReplicatedEvent(number, event);
      }
    };
  }

  private void startAgreedViews(RouterInstance instance) throws IOException {
    EventLoop eventLoop = instance.eventLoop();
    agreedViews =
        new AgreedViewService(
            eventLoop,
            configuration.advertisedAddress(),
            configuration.voters(),
            configuration.voterStore(),
            new EndpointTransport(endpoint));
    agreedViews.tick();
    if (!quotas.isEmpty()) {
      quotaService =
          new QuotaService(eventLoop, endpoint, agreedViews, instance::applyQuotaGrant, quotas);
    }
  }

  @Override
  public void onAgreementMessage(Member from, byte[] bytes) {
    if (agreedViews != null) {
      agreedViews.onPayload(from, bytes);
    }
  }

  @Override
  public void onStateChanged(Member member, MemberState state) {
    if (quotaService != null) {
      quotaService.onStateChanged(member, state);
    }
  }

  @Override
  public void onLease(Member from, MemberMessage.LeasePayload lease) {
    if (quotaService != null) {
      quotaService.onLease(from, lease);
    }
  }

  @Override
  public void onFeedEvents(Member from, MemberMessage.FeedEventsPayload events) {
    feedReplicator.onFeedEvents(from, events);
  }

  @Override
  public List<Member> liveOthers() {
    List<Member> others = new ArrayList<>(endpoint.liveMembers());
    others.remove(endpoint.self());
    return others;
  }

  @Override
  public void send(Member to, MemberMessage.Payload payload) {
    endpoint.send(to, payload);
  }

  @Override
  public void onStopping() {
    if (quotaService != null) {
      quotaService.stop();
    }
    if (agreedViews != null) {
      agreedViews.close();
    }
    if (endpoint != null) {
      endpoint.leave();
    }
  }
}
