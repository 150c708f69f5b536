package tamarindroute.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.host.RouterInstance;
import tamarindroute.members.agreed.AgreedViewService;
import tamarindroute.members.shares.QuotaDefinition;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MalformedMessageException;

/** A gateway's membership, as lives beside it on its owner's thread. */
public final class MembershipService
    implements LifecycleComponent, MembershipEndpoint.Listener, FeedEventReplicator.Peers {

  private final MemberConfiguration settings;
  private final List<QuotaDefinition> quotas;
  private MembershipEndpoint endpoint;
  private FeedEventReplicator feedReplicator;
  private AgreedViewService agreedViews;
  private QuotaService quotaService;

  public MembershipService(MemberConfiguration settings) {
    this(settings, List.of());
  }

  /**
   * With bounds that are shared under the agreed view; all are told them alike, and the decisions
   * as many gateways.
   */
  public MembershipService(MemberConfiguration settings, List<QuotaDefinition> quotas) {
    this.settings = settings;
    this.quotas = List.copyOf(quotas);
  }

  @Override
  public void onStarted(RouterInstance instance) throws IOException {
    EndpointRegistry endpoints = instance.endpoints();
    feedReplicator =
        new FeedEventReplicator(
            settings.advertisedAddress(),
            new FeedEventReplicator.FeedFollower() {
              @Override
              public long lastNumber() {
                return endpoints.lastEventNumber();
              }

              @Override
              public boolean apply(long number, String event) throws MalformedMessageException {
                return endpoints.applyReplicatedEvent(number, event);
              }
            },
            instance.eventLoop(),
            this);
    endpoint =
        new MembershipEndpoint(
            instance.eventLoop(),
            new DatagramTransport(instance.eventLoop()),
            settings,
            System.currentTimeMillis(),
            this);
    endpoint.start();
    endpoints.onFeedRead(feedReplicator::onFeedText);
    feedReplicator.poll();
    if (!settings.voters().isEmpty()) {
      agreedViews =
          new AgreedViewService(
              instance.eventLoop(),
              settings.advertisedAddress(),
              settings.voters(),
              settings.voterStore(),
              new EndpointTransport(endpoint));
      agreedViews.tick();
      if (!quotas.isEmpty()) {
        quotaService =
            new QuotaService(
                instance.eventLoop(), endpoint, agreedViews, instance::applyQuotaGrant, quotas);
      }
    }
  }

  @Override
  public void onAgreementMessage(Member from, byte[] bytes) {
    if (agreedViews != null) {
      agreedViews.onPayload(from, bytes);
    }
  }

  @Override
  public void onStateChanged(Member about, MemberState state) {
    if (quotaService != null) {
      quotaService.onStateChanged(about, state);
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
