package tamarindroute.members;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import tamarindroute.decision.Cache;
import tamarindroute.host.EventLoop;
import tamarindroute.host.MonotonicClock;
import tamarindroute.members.agreed.AgreedViewService;
import tamarindroute.members.shares.QuotaDefinition;
import tamarindroute.members.shares.QuotaLeases;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MessageAuthenticator;
import tamarindroute.shares.SharedQuota;

/** Gateways that share a quota, each with an event loop and a socket of its own. */
final class QuotaCluster implements AutoCloseable {

  static final int SIZE = 5;
  static final double EVEN_SHARE = 1.0 / SIZE;

  /** Short, but long enough to be renewed in time on a busy machine. */
  static final Duration LEASE = Duration.ofSeconds(1);

  static final Duration QUIET_PERIOD = Duration.ofSeconds(3);
  private static final SharedQuota QUOTA =
      new SharedQuota(SIZE, SharedQuota.FULL_QUOTA, LEASE, QUIET_PERIOD);

  private static final Duration LEADERSHIP = Duration.ofMillis(500);
  private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(100);
  private static final double TOLERANCE = 1e-4;

  private final MemberCluster cluster = new MemberCluster(SIZE);
  private final List<Gateway> gateways = Collections.synchronizedList(new ArrayList<>());

  /** Seeds a defect: gateways that do not answer are reported as not listening. */
  private final boolean reportsSilenceAsRefusal;

  QuotaCluster(boolean reportsSilenceAsRefusal) throws IOException {
    this.reportsSilenceAsRefusal = reportsSilenceAsRefusal;
  }

  /** A gateway with the history of the shares granted to its policies. */
  abstract class Gateway implements MembershipEndpoint.Listener {
    final EventLoop eventLoop = new EventLoop();
    final DatagramTransport datagrams = new DatagramTransport(eventLoop);
    final MembershipEndpoint endpoint;
    volatile boolean disconnected;
    final GrantHistory history = new GrantHistory(EVEN_SHARE);
    private volatile Duration endedAt;

    Gateway(int index, long incarnation, List<Address> seeds) {
      Address self = MemberConfiguration.toAddress(cluster.addresses.get(index));
      MemberConfiguration configuration =
          new MemberConfiguration(
              cluster.addresses.get(index),
              self,
              null,
              new MessageAuthenticator(Map.of(1, MemberCluster.KEY), 1),
              seeds,
              List.of(),
              Map.of(),
              MemberCluster.FAST_SETTINGS);
      endpoint = new MembershipEndpoint(eventLoop, datagrams, configuration, incarnation, this);
      gateways.add(this);
    }

    final void onQuotaGrant(Cache.Tier tier, double share, Duration validFor) {
      history.add(share, MonotonicClock.now(), validFor);
    }

    private double shareInUse(Duration now) {
      boolean ended = endedAt != null && endedAt.compareTo(now) <= 0;
      return ended ? 0 : history.shareAt(now);
    }

    final double shareInUse() {
      return shareInUse(MonotonicClock.now());
    }

    final void awaitShare(double share) throws Exception {
      MemberCluster.awaitTrue(() -> Math.abs(shareInUse() - share) < TOLERANCE);
    }

    final void markEnded() {
      endedAt = MonotonicClock.now();
    }

    /** Ends the use of the quota, and then closes the socket, as the end of a process does. */
    void kill() throws Exception {
      MemberCluster.run(
          eventLoop,
          () -> {
            markEnded();
            disconnected = true;
            endpoint.leave();
          });
      datagrams.shutDown();
    }
  }

  /** A gateway that is told by the test who leads. */
  final class LedGateway extends Gateway implements QuotaLeases.PeerTransport {
    private final EndpointTransport transport;
    private final QuotaLeases quotaLeases;
    private volatile boolean leads;

    LedGateway(int index, long incarnation) throws Exception {
      super(index, incarnation, List.of());
      transport = new EndpointTransport(endpoint);
      quotaLeases = new QuotaLeases(eventLoop, this, this::onQuotaGrant, quotas());
      MemberCluster.run(
          eventLoop,
          () -> {
            endpoint.start();
            quotaLeases.start();
          });
    }

    @Override
    public Member self() {
      return transport.self();
    }

    @Override
    public void send(Member to, MemberMessage.LeasePayload lease) {
      if (!disconnected) {
        transport.send(to, lease);
      }
    }

    @Override
    public void probe(
        Address address, MemberMessage.LeasePayload lease, Duration timeout, Runnable onRefused) {
      if (reportsSilenceAsRefusal && isDisconnected(address)) {
        onRefused.run();
      }
      transport.probe(address, lease, timeout, onRefused);
    }

    @Override
    public void onLease(Member from, MemberMessage.LeasePayload lease) {
      if (!disconnected) {
        quotaLeases.onLease(from, lease);
      }
    }

    /** Leads and renews the leadership until killed. */
    void lead(long term) throws Exception {
      leads = true;
      Member self = MemberCluster.on(eventLoop, endpoint::self);
      for (Gateway gateway : gateways) {
        QuotaLeases leases = ((LedGateway) gateway).quotaLeases;
        gateway.eventLoop.execute(() -> leases.onLeaderKnown(Optional.of(self)));
      }
      eventLoop.execute(() -> renewLeadership(term));
    }

    private void renewLeadership(long term) {
      if (leads) {
        quotaLeases.onLeadership(term, MonotonicClock.now().plus(LEADERSHIP));
        eventLoop.schedule(RENEWAL_INTERVAL, () -> renewLeadership(term));
      }
    }

    @Override
    void kill() throws Exception {
      leads = false;
      super.kill();
    }

    void leave() throws Exception {
      MemberCluster.run(
          eventLoop,
          () -> {
            quotaLeases.stop();
            markEnded();
            endpoint.leave();
          });
    }
  }

  /** A gateway of a group that agrees on its leader; the first three vote. */
  final class AgreeingGateway extends Gateway {
    private AgreedViewService agreedViews;
    private QuotaService quotaService;

    AgreeingGateway(int index, Path store) throws Exception {
      super(index, 1_000, index == 0 ? List.of() : cluster.firstAddresses(1));
      MemberCluster.run(eventLoop, () -> start(index, store));
    }

    private void start(int index, Path store) throws IOException {
      endpoint.start();
      agreedViews =
          new AgreedViewService(
              eventLoop,
              MemberConfiguration.toAddress(cluster.addresses.get(index)),
              cluster.firstAddresses(3),
              store,
              new EndpointTransport(endpoint));
      agreedViews.tick();
      quotaService =
          new QuotaService(eventLoop, endpoint, agreedViews, this::onQuotaGrant, quotas());
    }

    boolean leads() throws Exception {
      return MemberCluster.on(
          eventLoop,
          () ->
              agreedViews
                  .agreement()
                  .map(agreement -> agreement.status().isLeader())
                  .orElse(false));
    }

    @Override
    public void onStateChanged(Member member, MemberState state) {
      if (quotaService != null) {
        quotaService.onStateChanged(member, state);
      }
    }

    @Override
    public void onAgreementMessage(Member from, byte[] bytes) {
      if (agreedViews != null) {
        agreedViews.onPayload(from, bytes);
      }
    }

    @Override
    public void onLease(Member from, MemberMessage.LeasePayload lease) {
      if (quotaService != null) {
        quotaService.onLease(from, lease);
      }
    }

    @Override
    void kill() throws Exception {
      super.kill();
      MemberCluster.run(eventLoop, agreedViews::close);
    }
  }

  private List<QuotaDefinition> quotas() {
    Set<Address> sharing = new HashSet<>(cluster.firstAddresses(SIZE));
    return List.of(new QuotaDefinition(1, Cache.Tier.EDGE, QUOTA, sharing));
  }

  private boolean isDisconnected(Address address) {
    return gateways.stream()
        .anyMatch(
            gateway -> gateway.disconnected && gateway.endpoint.self().address().equals(address));
  }

  List<LedGateway> startLedGateways() throws Exception {
    List<LedGateway> all = new ArrayList<>();
    for (int i = 0; i < SIZE; i++) {
      all.add(new LedGateway(i, 1_000));
    }
    return all;
  }

  /** The largest sum in use at any moment: it changes only when a grant starts or ends. */
  double maxTotalInUse() {
    Set<Duration> moments = new TreeSet<>();
    List<Gateway> all = new ArrayList<>(gateways);
    all.forEach(gateway -> gateway.history.addMomentsTo(moments));
    Duration now = MonotonicClock.now();
    return moments.stream()
        .filter(moment -> moment.compareTo(now) <= 0)
        .mapToDouble(
            moment -> all.stream().mapToDouble(gateway -> gateway.shareInUse(moment)).sum())
        .max()
        .orElse(0);
  }

  @Override
  public void close() {
    for (Gateway gateway : new ArrayList<>(gateways)) {
      try {
        gateway.kill();
      } catch (Exception e) {
        throw new IllegalStateException("a gateway could not be stopped", e);
      }
    }
    cluster.close();
  }
}
