package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Three voters and two others over UDP on loopback. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(120)
class AgreedViewServiceTest {

  @TempDir Path folder;

  private MemberCluster startCluster() throws Exception {
    MemberCluster cluster = new MemberCluster(5);
    cluster.voters = 3;
    cluster.folder = folder;
    for (int i = 0; i < 5; i++) {
      cluster.start(i);
    }
    return cluster;
  }

  private static Optional<MembershipView> validView(MemberCluster.Node node) throws Exception {
    return MemberCluster.on(node.eventLoop, node.agreedViews::validView);
  }

  private static Agreement agreement(MemberCluster.Node node) throws Exception {
    return MemberCluster.on(node.eventLoop, () -> node.agreedViews.agreement().orElse(null));
  }

  private static Agreement.GroupStatus status(MemberCluster.Node node) throws Exception {
    return MemberCluster.on(
        node.eventLoop, () -> node.agreedViews.agreement().map(Agreement::status).orElse(null));
  }

  /** Waits until all members hold the same view, which contains exactly these members. */
  private static MembershipView awaitAgreedView(MemberCluster cluster) throws Exception {
    Set<Member> all = new HashSet<>();
    for (MemberCluster.Node node : cluster.nodes) {
      all.add(node.self());
    }
    List<MembershipView> views = new ArrayList<>();
    MemberCluster.awaitTrue(
        () -> {
          views.clear();
          for (MemberCluster.Node node : cluster.nodes) {
            validView(node).ifPresent(views::add);
          }
          return views.size() == cluster.nodes.size()
              && new HashSet<>(views).size() == 1
              && Set.copyOf(views.get(0).members()).equals(all);
        });
    return views.get(0);
  }

  private static MemberCluster.Node awaitLeader(MemberCluster cluster) throws Exception {
    MemberCluster.Node[] leader = new MemberCluster.Node[1];
    MemberCluster.awaitTrue(
        () -> {
          for (MemberCluster.Node node : cluster.nodes) {
            Agreement.GroupStatus status = status(node);
            if (status != null && status.isLeader() && status.noQuorumSince().isEmpty()) {
              leader[0] = node;
            }
          }
          return leader[0] != null;
        });
    return leader[0];
  }

  private static Agreement.ProposalResult propose(MemberCluster.Node node, Command command)
      throws Exception {
    List<Agreement.ProposalResult> results = new ArrayList<>();
    MemberCluster.run(node.eventLoop, () -> node.agreedViews.propose(command, results::add));
    MemberCluster.awaitTrue(() -> MemberCluster.on(node.eventLoop, () -> !results.isEmpty()));
    return results.get(0);
  }

  @Test
  void viewsAdvanceWithoutTheLeaderAndAVoterRestartsWithOrWithoutItsStore() throws Exception {
    try (MemberCluster cluster = startCluster()) {
      MembershipView first = awaitAgreedView(cluster);
      assertThat(first.voters()).hasSize(3);
      MemberCluster.Node killed = awaitLeader(cluster);
      int index = cluster.nodes.indexOf(killed);
      Member voter = agreement(killed).self();
      killed.kill();
      MembershipView second = awaitAgreedView(cluster);
      assertThat(second.number()).isGreaterThan(first.number());
      assertThat(second.groupId()).isEqualTo(first.groupId());
      // With its store it is the same voter, though a later incarnation as a member.
      MemberCluster.Node restarted = cluster.start(index, 10, MemberCluster.KEY, Map.of());
      MembershipView third = awaitAgreedView(cluster);
      assertThat(restarted.self().incarnation()).isGreaterThan(killed.self().incarnation());
      assertThat(agreement(restarted).self()).isEqualTo(voter);
      assertThat(third.voters()).isEqualTo(first.voters());
      // Without it, it is a new voter that replaces the former one.
      restarted.kill();
      Files.delete(folder.resolve(index + ".agreed"));
      MemberCluster.Node withoutStore = cluster.start(index, 10, MemberCluster.KEY, Map.of());
      MemberCluster.awaitTrue(() -> agreement(withoutStore) != null);
      Member newVoter = agreement(withoutStore).self();
      assertThat(newVoter.incarnation()).isGreaterThan(voter.incarnation());
      MemberCluster.awaitTrue(
          () ->
              validView(withoutStore)
                  .filter(
                      view ->
                          view.voters().contains(newVoter)
                              && !view.voters().contains(voter)
                              && view.voters().size() == 3)
                  .isPresent());
      awaitAgreedView(cluster);
    }
  }

  /** Another voter becomes leader soon after the first one was killed. */
  @Test
  void agreementContinuesWithOneFifthOfDatagramsLost() throws Exception {
    try (MemberCluster cluster = new MemberCluster(5)) {
      cluster.voters = 3;
      cluster.folder = folder;
      for (int i = 0; i < 5; i++) {
        Map<Address, InetSocketAddress> addressOverrides = new HashMap<>();
        for (int other = 0; other < 5; other++) {
          if (other != i) {
            LossyProxy proxy = cluster.newProxy(other);
            proxy.lossPercent = 20;
            addressOverrides.put(
                MemberConfiguration.toAddress(cluster.addresses.get(other)), proxy.address());
          }
        }
        cluster.start(i, 1_000, MemberCluster.KEY, addressOverrides);
      }
      awaitAgreedView(cluster);
      awaitLeader(cluster).kill();
      long killedAt = System.nanoTime();
      MemberCluster.Node next = awaitLeader(cluster);
      System.out.println(
          "new leader at 20% loss after "
              + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killedAt)
              + " ms");
      assertThat(System.nanoTime() - killedAt).isLessThan(TimeUnit.SECONDS.toNanos(20));
      assertThat(propose(next, new Command.Put("k", 1, "t", new byte[15_000])).status())
          .isEqualTo(Agreement.ProposalStatus.COMMITTED);
      awaitAgreedView(cluster);
    }
  }

  @Test
  void withoutAMajorityNothingIsCommittedAndLeasesExpire() throws Exception {
    try (MemberCluster cluster = startCluster()) {
      awaitAgreedView(cluster);
      // The view is long enough for many fragments.
      MemberCluster.Node leader = awaitLeader(cluster);
      for (int i = 0; i < 8; i++) {
        long baseNumber =
            MemberCluster.on(
                leader.eventLoop, () -> leader.agreedViews.agreement().get().localView().number());
        // Proposed by the leader, by other voters and by members without a vote.
        Command put = new Command.Put("k" + i, baseNumber, "t", new byte[16_000]);
        assertThat(propose(cluster.nodes.get(1 + i % 4), put).status())
            .isEqualTo(Agreement.ProposalStatus.COMMITTED);
      }
      MemberCluster.Node restarted = cluster.nodes.get(4);
      restarted.kill();
      cluster.start(4, 2_000, MemberCluster.KEY, Map.of());
      MembershipView last = awaitAgreedView(cluster);
      assertThat(last.entries()).hasSize(8);
      for (MemberCluster.Node node : List.copyOf(cluster.nodes.subList(0, 3))) {
        if (node != leader) {
          node.kill();
        }
      }
      long quorumLostAt = System.nanoTime();
      Agreement.ProposalResult result =
          propose(leader, new Command.Put("late", last.number(), "t", new byte[1]));
      assertThat(result.status()).isNotEqualTo(Agreement.ProposalStatus.COMMITTED);
      for (MemberCluster.Node node : cluster.nodes) {
        MemberCluster.awaitTrue(() -> validView(node).isEmpty());
      }
      // The lease, and some time for a busy machine.
      assertThat(System.nanoTime() - quorumLostAt).isLessThan(TimeUnit.SECONDS.toNanos(16));
      assertThat(status(leader).noQuorumSince()).isPresent();
      assertThat(
              MemberCluster.on(
                  leader.eventLoop, () -> leader.agreedViews.agreement().get().localView()))
          .isEqualTo(last);
    }
  }
}
