package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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

/** Shares among gateways over UDP on loopback, each with a thread and a socket of its own. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(60)
class QuotaLeasesTest {

  private static final int SIZE = 5;
  private static final double EVEN_SHARE = 1.0 / SIZE;

  /**
   * Short, so that many lengths pass; longer than a busy machine's pauses, so that leases are
   * renewed in time.
   */
  private static final SharedQuota QUOTA =
      new SharedQuota(
          SIZE, SharedQuota.FULL_QUOTA, Duration.ofMillis(1_000), Duration.ofMillis(3_000));

  /** What a gateway's decisions were told: from then on a part until, and the even share after. */
  private record AppliedGrant(Duration at, double part, Duration until) {
    double inUse(Duration now) {
      return now.compareTo(until) < 0 ? part : EVEN_SHARE;
    }
  }

  /** A gateway's thread, socket and decisions, these as the list of what they were told. */
  private abstract class MemberProcess implements MembershipEndpoint.Listener {
    final EventLoop eventLoop = new EventLoop();
    final DatagramTransport datagrams = new DatagramTransport(eventLoop);
    final List<AppliedGrant> history = Collections.synchronizedList(new ArrayList<>());
    final MembershipEndpoint endpoint;
    volatile boolean cut;
    volatile Duration ended;

    MemberProcess(MemberCluster cluster, int place, long birth, List<Address> seeds) {
      endpoint =
          new MembershipEndpoint(
              eventLoop,
              datagrams,
              new MemberConfiguration(
                  cluster.addresses.get(place),
                  MemberConfiguration.toAddress(cluster.addresses.get(place)),
                  null,
                  new MessageAuthenticator(Map.of(1, MemberCluster.KEY), 1),
                  seeds,
                  List.of(),
                  Map.of(),
                  MemberCluster.FAST_SETTINGS),
              birth,
              this);
      gateways.add(this);
    }

    final void onQuotaGrant(Cache.Tier tier, double part, Duration span) {
      Duration now = MonotonicClock.now();
      history.add(new AppliedGrant(now, part, now.plus(span)));
    }

    final double shareInUse(Duration now) {
      if (ended != null && ended.compareTo(now) <= 0) {
        return 0;
      }
      synchronized (history) {
        return history.stream()
            .filter(told -> told.at.compareTo(now) <= 0)
            .reduce((a, b) -> b)
            .map(told -> told.inUse(now))
            .orElse(0.0);
      }
    }

    final double now() {
      return shareInUse(MonotonicClock.now());
    }

    /** At once: what it uses ends before its socket does, as with a process. */
    void kill() throws Exception {
      MemberCluster.on(
          eventLoop,
          () -> {
            ended = MonotonicClock.now();
            cut = true;
            endpoint.leave();
            return null;
          });
      datagrams.shutDown();
    }
  }

  private static List<QuotaDefinition> quotas(MemberCluster cluster) {
    return List.of(
        new QuotaDefinition(1, Cache.Tier.EDGE, QUOTA, new HashSet<>(addresses(cluster, SIZE))));
  }

  private static List<Address> addresses(MemberCluster cluster, int first) {
    return cluster.addresses.subList(0, first).stream()
        .map(MemberConfiguration::toAddress)
        .toList();
  }

  /** One that is told who leads by the test. */
  private final class Gateway extends MemberProcess implements QuotaLeases.PeerTransport {
    final EndpointTransport transport;
    final QuotaLeases quotaLeases;
    volatile boolean leads;

    Gateway(MemberCluster cluster, int place, long birth) throws Exception {
      super(cluster, place, birth, List.of());
      transport = new EndpointTransport(endpoint);
      quotaLeases = new QuotaLeases(eventLoop, this, this::onQuotaGrant, quotas(cluster));
      MemberCluster.on(
          eventLoop,
          () -> {
            endpoint.start();
            quotaLeases.start();
            return null;
          });
    }

    @Override
    public Member self() {
      return transport.self();
    }

    @Override
    public void send(Member to, MemberMessage.LeasePayload lease) {
      if (!cut) {
        transport.send(to, lease);
      }
    }

    @Override
    public void probe(
        Address place, MemberMessage.LeasePayload lease, Duration within, Runnable refused) {
      if (reportsSilenceAsRefusal
          && gateways.stream()
              .anyMatch(one -> one.cut && one.endpoint.self().address().equals(place))) {
        refused.run();
      }
      transport.probe(place, lease, within, refused);
    }

    @Override
    public void onLease(Member from, MemberMessage.LeasePayload lease) {
      if (!cut) {
        quotaLeases.onLease(from, lease);
      }
    }

    /** Leads, and goes on to do so in time, until it is told otherwise. */
    void lead(long number) throws Exception {
      leads = true;
      Member self = MemberCluster.on(eventLoop, endpoint::self);
      for (MemberProcess one : gateways) {
        one.eventLoop.execute(() -> ((Gateway) one).quotaLeases.onLeaderKnown(Optional.of(self)));
      }
      eventLoop.execute(() -> goOn(number));
    }

    private void goOn(long number) {
      if (leads) {
        quotaLeases.onLeadership(number, MonotonicClock.now().plusMillis(500));
        eventLoop.schedule(Duration.ofMillis(100), () -> goOn(number));
      }
    }

    @Override
    void kill() throws Exception {
      leads = false;
      super.kill();
    }

    void leave() throws Exception {
      MemberCluster.on(
          eventLoop,
          () -> {
            quotaLeases.stop();
            ended = MonotonicClock.now();
            endpoint.leave();
            return null;
          });
    }
  }

  /** One of several that agree who leads; the first three vote. */
  private final class AgreeingGateway extends MemberProcess {
    private AgreedViewService agreedViews;
    private QuotaService quotaService;

    AgreeingGateway(MemberCluster cluster, int place, Path store) throws Exception {
      super(cluster, place, 1_000, place == 0 ? List.of() : addresses(cluster, 1));
      MemberCluster.on(
          eventLoop,
          () -> {
            endpoint.start();
            agreedViews =
                new AgreedViewService(
                    eventLoop,
                    addresses(cluster, SIZE).get(place),
                    addresses(cluster, 3),
                    store,
                    new EndpointTransport(endpoint));
            agreedViews.tick();
            quotaService =
                new QuotaService(
                    eventLoop, endpoint, agreedViews, this::onQuotaGrant, quotas(cluster));
            return null;
          });
    }

    boolean leads() throws Exception {
      return MemberCluster.on(
          eventLoop,
          () -> agreedViews.agreement().map(one -> one.status().isLeader()).orElse(false));
    }

    @Override
    public void onStateChanged(Member about, MemberState state) {
      if (quotaService != null) {
        quotaService.onStateChanged(about, state);
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
      MemberCluster.on(
          eventLoop,
          () -> {
            agreedViews.close();
            return null;
          });
    }
  }

  private final List<MemberProcess> gateways = Collections.synchronizedList(new ArrayList<>());
  private boolean reportsSilenceAsRefusal;

  /**
   * The most that was in use at any moment: sums change only where a part is told, ends or its
   * gateway does.
   */
  private double maxTotalInUse() {
    Set<Duration> moments = new TreeSet<>();
    List<MemberProcess> all = new ArrayList<>(gateways);
    for (MemberProcess one : all) {
      synchronized (one.history) {
        one.history.forEach(told -> moments.addAll(List.of(told.at, told.until)));
      }
    }
    Duration now = MonotonicClock.now();
    return moments.stream()
        .filter(at -> at.compareTo(now) <= 0)
        .mapToDouble(at -> all.stream().mapToDouble(one -> one.shareInUse(at)).sum())
        .max()
        .orElse(0);
  }

  private List<Gateway> startGateways(MemberCluster cluster) throws Exception {
    List<Gateway> all = new ArrayList<>();
    for (int i = 0; i < SIZE; i++) {
      all.add(new Gateway(cluster, i, 1_000));
    }
    return all;
  }

  private void killAll() throws Exception {
    for (MemberProcess one : new ArrayList<>(gateways)) {
      one.kill();
    }
  }

  private static void awaitShare(MemberProcess one, double part) throws Exception {
    MemberCluster.awaitTrue(() -> Math.abs(one.now() - part) < 1e-4);
  }

  @Test
  void sharesOfKilledMembersAreReusedWithoutExceedingTheQuota() throws Exception {
    try (MemberCluster cluster = new MemberCluster(SIZE)) {
      List<Gateway> all = startGateways(cluster);
      Gateway dealer = all.get(0);
      Gateway second = all.get(1);
      assertThat(dealer.now()).as("quiet at first").isZero();
      dealer.lead(1);
      for (Gateway one : all) {
        awaitShare(one, EVEN_SHARE);
      }
      for (int i = 2; i < SIZE; i++) {
        all.get(i).kill();
      }
      awaitShare(dealer, 0.5);
      awaitShare(second, 0.5);
      dealer.kill();
      Duration lost = MonotonicClock.now();
      awaitShare(second, EVEN_SHARE);
      assertThat(MonotonicClock.now().minus(lost))
          .as("a length and a bit")
          .isLessThan(Duration.ofMillis(1_500));
      Gateway again = new Gateway(cluster, 2, 2_000);
      second.lead(2);
      awaitShare(second, 0.5);
      awaitShare(again, 0.5);
      again.leave();
      awaitShare(second, 1);
      assertThat(maxTotalInUse()).isBetween(0.99, 1 + 1e-9);
    } finally {
      killAll();
    }
  }

  /**
   * One that is cut off lives on its even share; that the checker sees who deals it on is shown by
   * a dealer that does.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void silentMemberKeepsItsShare(boolean asIfRefused) throws Exception {
    reportsSilenceAsRefusal = asIfRefused;
    try (MemberCluster cluster = new MemberCluster(SIZE)) {
      List<Gateway> all = startGateways(cluster);
      all.get(0).lead(1);
      for (Gateway one : all) {
        awaitShare(one, EVEN_SHARE);
      }
      all.get(4).cut = true;
      TimeUnit.MILLISECONDS.sleep(2_500);
      if (asIfRefused) {
        assertThat(maxTotalInUse()).isGreaterThan(1.1);
      } else {
        assertThat(maxTotalInUse()).isBetween(0.99, 1 + 1e-9);
        for (Gateway one : all) {
          assertThat(one.now()).isEqualTo(EVEN_SHARE);
        }
      }
    } finally {
      killAll();
    }
  }

  /**
   * The leader that is agreed deals; once it is killed the next does, after the first one's time
   * and a length.
   */
  @Test
  void agreedLeaderAllocates(@TempDir Path folder) throws Exception {
    try (MemberCluster cluster = new MemberCluster(SIZE)) {
      List<AgreeingGateway> all = new ArrayList<>();
      for (int i = 0; i < SIZE; i++) {
        all.add(new AgreeingGateway(cluster, i, folder.resolve("" + i)));
      }
      // Of those that don't vote both die.
      all.remove(4).kill();
      all.remove(3).kill();
      for (AgreeingGateway one : all) {
        awaitShare(one, 1.0 / 3);
      }
      for (AgreeingGateway one : List.copyOf(all)) {
        if (one.leads()) {
          all.remove(one);
          one.kill();
        }
      }
      assertThat(all).hasSize(2);
      for (AgreeingGateway one : all) {
        awaitShare(one, EVEN_SHARE);
      }
      for (AgreeingGateway one : all) {
        awaitShare(one, 0.5);
      }
      assertThat(maxTotalInUse()).isBetween(0.99, 1 + 1e-9);
    } finally {
      killAll();
    }
  }

  /** A proxy that refuses says nothing of the machine behind it. */
  @Test
  void refusalProbesBypassProxies() throws Exception {
    try (MemberCluster cluster = new MemberCluster(4);
        DatagramSocket open = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      Address dead = MemberConfiguration.toAddress(cluster.addresses.get(1));
      Address behind = MemberConfiguration.toAddress(cluster.addresses.get(2));
      Address silent = new Address("127.0.0.1", open.getLocalPort());
      InetSocketAddress proxy = cluster.addresses.get(3);
      MemberCluster.Node node = cluster.start(0, 1_000, MemberCluster.KEY, Map.of(behind, proxy));
      AtomicInteger refused = new AtomicInteger();
      AtomicInteger wrongly = new AtomicInteger();
      MemberMessage.LeasePayload probe =
          new MemberMessage.LeasePayload(1, MemberMessage.LeaseKind.PROBE, 0, 0, 0, Duration.ZERO);
      MemberCluster.on(
          node.eventLoop,
          () -> {
            node.endpoint.probeForRefusal(
                behind, probe, Duration.ofMillis(300), wrongly::incrementAndGet);
            node.endpoint.probeForRefusal(
                silent, probe, Duration.ofMillis(300), wrongly::incrementAndGet);
            node.endpoint.probeForRefusal(
                dead, probe, Duration.ofMillis(300), refused::incrementAndGet);
            return null;
          });
      MemberCluster.awaitTrue(() -> refused.get() == 1);
      TimeUnit.MILLISECONDS.sleep(400);
      assertThat(wrongly).hasValue(0);
    }
  }
}
