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

  private MemberCluster town() throws Exception {
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

  /** Waits until all hold the same view, of all that there are. */
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
            Agreement.GroupStatus state = status(node);
            if (state != null && state.isLeader() && state.noQuorumSince().isEmpty()) {
              leader[0] = node;
            }
          }
          return leader[0] != null;
        });
    return leader[0];
  }

  private static Agreement.ProposalResult propose(MemberCluster.Node node, Command command)
      throws Exception {
    List<Agreement.ProposalResult> outcomes = new ArrayList<>();
    MemberCluster.on(
        node.eventLoop,
        () -> {
          node.agreedViews.propose(command, outcomes::add);
          return null;
        });
    MemberCluster.awaitTrue(() -> MemberCluster.on(node.eventLoop, () -> !outcomes.isEmpty()));
    return outcomes.get(0);
  }

  @Test
  void viewsAdvanceWithoutTheLeaderAndAVoterRestartsWithOrWithoutItsStore() throws Exception {
    try (MemberCluster cluster = town()) {
      MembershipView first = awaitAgreedView(cluster);
      assertThat(first.voters()).hasSize(3);
      MemberCluster.Node dead = awaitLeader(cluster);
      int place = cluster.nodes.indexOf(dead);
      Member voted = agreement(dead).self();
      dead.kill();
      MembershipView second = awaitAgreedView(cluster);
      assertThat(second.number()).isGreaterThan(first.number());
      assertThat(second.groupId()).isEqualTo(first.groupId());
      // With its folder it is the voter that it was, though as a member it is a later life.
      MemberCluster.Node again = cluster.start(place, 10, MemberCluster.KEY, Map.of());
      MembershipView third = awaitAgreedView(cluster);
      assertThat(again.self().incarnation()).isGreaterThan(dead.self().incarnation());
      assertThat(agreement(again).self()).isEqualTo(voted);
      assertThat(third.voters()).isEqualTo(first.voters());
      // Without, it is another, taken in in the place of what it was.
      again.kill();
      Files.delete(folder.resolve(place + ".agreed"));
      MemberCluster.Node anew = cluster.start(place, 10, MemberCluster.KEY, Map.of());
      MemberCluster.awaitTrue(() -> agreement(anew) != null);
      Member other = agreement(anew).self();
      assertThat(other.incarnation()).isGreaterThan(voted.incarnation());
      MemberCluster.awaitTrue(
          () ->
              validView(anew)
                  .filter(
                      view ->
                          view.voters().contains(other)
                              && !view.voters().contains(voted)
                              && view.voters().size() == 3)
                  .isPresent());
      awaitAgreedView(cluster);
    }
  }

  /**
   * A fifth of all datagrams is lost on each way; another leads soon, and who holds the view stays
   * in touch.
   */
  @Test
  void agreementContinuesWithOneFifthOfDatagramsLost() throws Exception {
    try (MemberCluster cluster = new MemberCluster(5)) {
      cluster.voters = 3;
      cluster.folder = folder;
      for (int i = 0; i < 5; i++) {
        Map<Address, InetSocketAddress> through = new HashMap<>();
        for (int other = 0; other < 5; other++) {
          if (other != i) {
            MemberCluster.LossyProxy way = cluster.new LossyProxy(cluster.addresses.get(other));
            way.lossPercent = 20;
            through.put(MemberConfiguration.toAddress(cluster.addresses.get(other)), way.address());
          }
        }
        cluster.start(i, 1_000, MemberCluster.KEY, through);
      }
      awaitAgreedView(cluster);
      awaitLeader(cluster).kill();
      long killed = System.nanoTime();
      MemberCluster.Node next = awaitLeader(cluster);
      System.out.println(
          "a leader at a fifth of loss after "
              + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killed)
              + " ms");
      assertThat(System.nanoTime() - killed).isLessThan(TimeUnit.SECONDS.toNanos(20));
      assertThat(propose(next, new Command.Put("k", 1, "t", new byte[15_000])).status())
          .isEqualTo(Agreement.ProposalStatus.COMMITTED);
      awaitAgreedView(cluster);
    }
  }

  @Test
  void withoutAMajorityNothingIsCommittedAndLeasesExpire() throws Exception {
    try (MemberCluster cluster = town()) {
      awaitAgreedView(cluster);
      // A whole view of many datagrams comes to who has none yet.
      MemberCluster.Node leader = awaitLeader(cluster);
      for (int i = 0; i < 8; i++) {
        long from =
            MemberCluster.on(
                leader.eventLoop, () -> leader.agreedViews.agreement().get().localView().number());
        // By whoever leads, by a voter that does not, by one without a vote.
        Command put = new Command.Put("k" + i, from, "t", new byte[16_000]);
        assertThat(propose(cluster.nodes.get(1 + i % 4), put).status())
            .isEqualTo(Agreement.ProposalStatus.COMMITTED);
      }
      MemberCluster.Node fresh = cluster.nodes.get(4);
      fresh.kill();
      cluster.start(4, 2_000, MemberCluster.KEY, Map.of());
      MembershipView last = awaitAgreedView(cluster);
      assertThat(last.entries()).hasSize(8);
      for (MemberCluster.Node node : List.copyOf(cluster.nodes.subList(0, 3))) {
        if (node != leader) {
          node.kill();
        }
      }
      long cut = System.nanoTime();
      Agreement.ProposalResult outcome =
          propose(leader, new Command.Put("late", last.number(), "t", new byte[1]));
      assertThat(outcome.status()).isNotEqualTo(Agreement.ProposalStatus.COMMITTED);
      for (MemberCluster.Node node : cluster.nodes) {
        MemberCluster.awaitTrue(() -> validView(node).isEmpty());
      }
      // The lease, and some for this machine.
      assertThat(System.nanoTime() - cut).isLessThan(TimeUnit.SECONDS.toNanos(16));
      assertThat(status(leader).noQuorumSince()).isPresent();
      assertThat(
              MemberCluster.on(
                  leader.eventLoop, () -> leader.agreedViews.agreement().get().localView()))
          .isEqualTo(last);
    }
  }
}
