package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.host.EventLoop;
import tamarindroute.membership.MemberState;
import tamarindroute.net.DatagramTransport;

/** Members over UDP on loopback. */
@Timeout(120)
class MembershipEndpointTest {

  @Test
  void restartedMemberIsReadmittedThoughItsClockWentBack() throws Exception {
    try (MemberCluster cluster = new MemberCluster(5)) {
      for (int i = 0; i < 5; i++) {
        cluster.start(i);
      }
      cluster.awaitAllConnected();
      MemberCluster.Node killed = cluster.nodes.get(3);
      killed.kill();
      for (MemberCluster.Node node : cluster.nodes) {
        MemberCluster.awaitTrue(() -> node.stateOf(killed) == MemberState.FAULTY);
      }
      MemberCluster.Node restarted = cluster.start(3, 10, MemberCluster.KEY, Map.of());
      cluster.awaitAllConnected();
      assertThat(restarted.self().incarnation()).isGreaterThan(killed.self().incarnation());
      // Members that were running all the time were not declared faulty.
      for (MemberCluster.Node node : cluster.nodes) {
        for (MemberCluster.Node other : cluster.nodes) {
          if (node != other && other != restarted) {
            assertThat(node.reportedStates.get(other.self().address()))
                .doesNotContain(MemberState.FAULTY, MemberState.LEFT);
          }
        }
      }
    }
  }

  @Test
  void leavingMemberIsNotReportedFaulty() throws Exception {
    try (MemberCluster cluster = new MemberCluster(3)) {
      for (int i = 0; i < 3; i++) {
        cluster.start(i);
      }
      cluster.awaitAllConnected();
      MemberCluster.Node leaving = cluster.nodes.get(2);
      leaving.leave();
      for (MemberCluster.Node node : cluster.nodes.subList(0, 2)) {
        MemberCluster.awaitTrue(
            () -> node.reportedStates.get(leaving.self().address()).contains(MemberState.LEFT));
        assertThat(node.reportedStates.get(leaving.self().address()))
            .doesNotContain(MemberState.FAULTY, MemberState.SUSPECT);
      }
    }
  }

  @Test
  void oneCutDirectionIsToleratedAndDuplicatesCountOnce() throws Exception {
    try (MemberCluster cluster = new MemberCluster(4)) {
      LossyProxy proxy = cluster.newProxy(1);
      cluster.start(
          0,
          1_000,
          MemberCluster.KEY,
          Map.of(MemberConfiguration.toAddress(cluster.addresses.get(1)), proxy.address()));
      for (int i = 1; i < 4; i++) {
        cluster.start(i);
      }
      cluster.awaitAllConnected();
      assertThat(proxy.forwardedCount).hasPositiveValue();
      proxy.blocked = true;
      // Seven periods and three times the tolerated pause, enough for a false declaration.
      TimeUnit.SECONDS.sleep(3);
      for (MemberCluster.Node node : cluster.nodes) {
        assertThat(node.reportedStates.values())
            .allSatisfy(states -> assertThat(states).doesNotContain(MemberState.FAULTY));
      }
      proxy.blocked = false;
      cluster.awaitAllConnected();
    }
  }

  @Test
  void senderWithAnotherKeyOrNoiseIsIgnored() throws Exception {
    try (MemberCluster cluster = new MemberCluster(3)) {
      cluster.start(0);
      cluster.start(1);
      cluster.awaitAllConnected();
      byte[] other = MemberCluster.KEY.clone();
      other[31] = 1;
      MemberCluster.Node stranger = cluster.start(2, 1_000, other, Map.of());
      Random random = new Random(28);
      try (DatagramSocket socket = new DatagramSocket()) {
        for (int i = 0; i < 500; i++) {
          byte[] noise = new byte[random.nextInt(200)];
          random.nextBytes(noise);
          for (InetSocketAddress address :
              List.of(cluster.addresses.get(0), cluster.addresses.get(1))) {
            socket.send(new DatagramPacket(noise, noise.length, address));
          }
        }
      }
      TimeUnit.SECONDS.sleep(1);
      assertThat(stranger.members()).isEmpty();
      cluster.nodes.remove(stranger);
      assertThat(cluster.nodes.get(0).members()).containsOnlyKeys(cluster.nodes.get(1).self());
      cluster.awaitAllConnected();
      stranger.leave();
      stranger.datagrams.shutDown();
    }
  }

  /** The transport keeps fewer sessions than there may be members. */
  @Test
  void moreMembersThanSessionsAllReceiveDatagrams() throws Exception {
    int memberCount = 3_000;
    EventLoop eventLoop = new EventLoop();
    DatagramTransport datagrams = new DatagramTransport(eventLoop);
    try (DatagramSocket receiver = new DatagramSocket(new InetSocketAddress("0.0.0.0", 0));
        MemberCluster cluster = new MemberCluster(1)) {
      receiver.setReceiveBufferSize(1 << 22);
      receiver.setSoTimeout(10_000);
      MemberCluster.run(
          eventLoop,
          () -> datagrams.listen(cluster.addresses.get(0), (bytes, from, at, answer) -> {}));
      DatagramPacket packet = new DatagramPacket(new byte[100], 100);
      boolean[] received = new boolean[memberCount];
      for (int from = 0; from < memberCount; from += 100) {
        int first = from;
        InetSocketAddress sender = cluster.addresses.get(0);
        int port = receiver.getLocalPort();
        MemberCluster.run(eventLoop, () -> sendNumbers(datagrams, sender, port, first));
        for (int i = 0; i < 100; i++) {
          receiver.receive(packet);
          received[ByteBuffer.wrap(packet.getData()).getShort()] = true;
        }
      }
      assertThat(received).doesNotContain(false);
    } finally {
      datagrams.shutDown();
    }
  }

  /** Sends a hundred numbers, each to an address of its own on this machine. */
  private static void sendNumbers(
      DatagramTransport datagrams, InetSocketAddress from, int port, int first) {
    for (int i = first; i < first + 100; i++) {
      String host = "127.1." + i / 250 + "." + (1 + i % 250);
      byte[] number = {(byte) (i >> 8), (byte) i};
      datagrams.send(from, new InetSocketAddress(host, port), number);
    }
  }
}
