package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.members.QuotaCluster.EVEN_SHARE;
import static tamarindroute.members.QuotaCluster.SIZE;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.host.MonotonicClock;
import tamarindroute.members.QuotaCluster.AgreeingGateway;
import tamarindroute.members.QuotaCluster.LedGateway;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;

/** A quota shared between gateways over UDP on loopback. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(60)
class QuotaLeasesTest {

  @Test
  void sharesOfKilledMembersAreReusedWithoutExceedingTheQuota() throws Exception {
    try (QuotaCluster cluster = new QuotaCluster(false)) {
      List<LedGateway> all = cluster.startLedGateways();
      Duration startedBy = MonotonicClock.now();
      LedGateway allocator = all.get(0);
      LedGateway second = all.get(1);
      assertThat(allocator.shareInUse()).as("in the quiet period").isZero();
      allocator.lead(1);
      for (LedGateway gateway : all) {
        gateway.awaitShare(EVEN_SHARE);
      }
      for (int i = 2; i < SIZE; i++) {
        all.get(i).kill();
      }
      allocator.awaitShare(0.5);
      second.awaitShare(0.5);
      // In its quiet period a gateway without a lease uses nothing, however long ago the lease
      // ended.
      Duration quietUntil = startedBy.plus(QuotaCluster.QUIET_PERIOD);
      MemberCluster.awaitTrue(() -> MonotonicClock.now().compareTo(quietUntil) >= 0);
      allocator.kill();
      Duration killedAt = MonotonicClock.now();
      second.awaitShare(EVEN_SHARE);
      assertThat(MonotonicClock.now().minus(killedAt))
          .as("a lease and some time")
          .isLessThan(Duration.ofMillis(1_500));
      assertThat(second.history.lastUseAbove(EVEN_SHARE).minus(killedAt))
          .as("last use of the lease")
          .isLessThanOrEqualTo(QuotaCluster.LEASE);
      LedGateway restarted = cluster.new LedGateway(2, 2_000);
      second.lead(2);
      second.awaitShare(0.5);
      restarted.awaitShare(0.5);
      restarted.leave();
      second.awaitShare(1);
      assertThat(cluster.maxTotalInUse()).isBetween(0.99, 1 + 1e-9);
    }
  }

  /** A seeded defect shows that exceeding the quota would be noticed. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void silentMemberKeepsItsShare(boolean reportsSilenceAsRefusal) throws Exception {
    try (QuotaCluster cluster = new QuotaCluster(reportsSilenceAsRefusal)) {
      List<LedGateway> all = cluster.startLedGateways();
      all.get(0).lead(1);
      for (LedGateway gateway : all) {
        gateway.awaitShare(EVEN_SHARE);
      }
      all.get(4).disconnected = true;
      TimeUnit.MILLISECONDS.sleep(2_500);
      if (reportsSilenceAsRefusal) {
        assertThat(cluster.maxTotalInUse()).isGreaterThan(1.1);
      } else {
        assertThat(cluster.maxTotalInUse()).isBetween(0.99, 1 + 1e-9);
        for (LedGateway gateway : all) {
          assertThat(gateway.shareInUse()).isEqualTo(EVEN_SHARE);
        }
      }
    }
  }

  /** After the leader is killed, the next one allocates once its leases are over. */
  @Test
  void agreedLeaderAllocates(@TempDir Path folder) throws Exception {
    try (QuotaCluster cluster = new QuotaCluster(false)) {
      List<AgreeingGateway> all = new ArrayList<>();
      for (int i = 0; i < SIZE; i++) {
        all.add(cluster.new AgreeingGateway(i, folder.resolve("" + i)));
      }
      // The two that do not vote.
      all.remove(4).kill();
      all.remove(3).kill();
      for (AgreeingGateway gateway : all) {
        gateway.awaitShare(1.0 / 3);
      }
      for (AgreeingGateway gateway : List.copyOf(all)) {
        if (gateway.leads()) {
          all.remove(gateway);
          gateway.kill();
        }
      }
      assertThat(all).hasSize(2);
      for (AgreeingGateway gateway : all) {
        gateway.awaitShare(EVEN_SHARE);
      }
      for (AgreeingGateway gateway : all) {
        gateway.awaitShare(0.5);
      }
      assertThat(cluster.maxTotalInUse()).isBetween(0.99, 1 + 1e-9);
    }
  }

  /** A refusal by a proxy says nothing of the machine behind it. */
  @Test
  void refusalProbesBypassProxies() throws Exception {
    try (MemberCluster cluster = new MemberCluster(4);
        DatagramSocket open = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      Address refusing = MemberConfiguration.toAddress(cluster.addresses.get(1));
      Address behindProxy = MemberConfiguration.toAddress(cluster.addresses.get(2));
      Address silent = new Address("127.0.0.1", open.getLocalPort());
      InetSocketAddress proxy = cluster.addresses.get(3);
      MemberCluster.Node node =
          cluster.start(0, 1_000, MemberCluster.KEY, Map.of(behindProxy, proxy));
      AtomicInteger refusals = new AtomicInteger();
      AtomicInteger wrongRefusals = new AtomicInteger();
      MemberMessage.LeasePayload probe =
          new MemberMessage.LeasePayload(1, MemberMessage.LeaseKind.PROBE, 0, 0, 0, Duration.ZERO);
      Duration timeout = Duration.ofMillis(300);
      MemberCluster.run(
          node.eventLoop,
          () -> {
            MembershipEndpoint endpoint = node.endpoint;
            endpoint.probeForRefusal(behindProxy, probe, timeout, wrongRefusals::incrementAndGet);
            endpoint.probeForRefusal(silent, probe, timeout, wrongRefusals::incrementAndGet);
            endpoint.probeForRefusal(refusing, probe, timeout, refusals::incrementAndGet);
          });
      MemberCluster.awaitTrue(() -> refusals.get() == 1);
      TimeUnit.MILLISECONDS.sleep(400);
      assertThat(wrongRefusals).hasValue(0);
    }
  }
}
