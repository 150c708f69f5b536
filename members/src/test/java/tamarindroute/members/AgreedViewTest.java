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
import tamarindroute.agreement.View;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Three voters and two others over UDP on loopback. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(120)
class AgreedViewTest {

  @TempDir Path folder;

  private Town town() throws Exception {
    Town town = new Town(5);
    town.voters = 3;
    town.folder = folder;
    for (int i = 0; i < 5; i++) {
      town.start(i);
    }
    return town;
  }

  private static Optional<View> held(Town.Node node) throws Exception {
    return Town.on(node.clock, node.agreed::held);
  }

  private static Agreement agreement(Town.Node node) throws Exception {
    return Town.on(node.clock, () -> node.agreed.agreement().orElse(null));
  }

  private static Agreement.State state(Town.Node node) throws Exception {
    return Town.on(node.clock, () -> node.agreed.agreement().map(Agreement::state).orElse(null));
  }

  /** Waits until all hold the same view, of all that there are. */
  private static View agreed(Town town) throws Exception {
    Set<Member> all = new HashSet<>();
    for (Town.Node node : town.nodes) {
      all.add(node.self());
    }
    List<View> views = new ArrayList<>();
    Town.await(
        () -> {
          views.clear();
          for (Town.Node node : town.nodes) {
            held(node).ifPresent(views::add);
          }
          return views.size() == town.nodes.size()
              && new HashSet<>(views).size() == 1
              && Set.copyOf(views.get(0).members()).equals(all);
        });
    return views.get(0);
  }

  private static Town.Node leader(Town town) throws Exception {
    Town.Node[] leader = new Town.Node[1];
    Town.await(
        () -> {
          for (Town.Node node : town.nodes) {
            Agreement.State state = state(node);
            if (state != null && state.leads() && state.noMajoritySince().isEmpty()) {
              leader[0] = node;
            }
          }
          return leader[0] != null;
        });
    return leader[0];
  }

  private static Agreement.Outcome propose(Town.Node node, Command command) throws Exception {
    List<Agreement.Outcome> outcomes = new ArrayList<>();
    Town.on(
        node.clock,
        () -> {
          node.agreed.propose(command, outcomes::add);
          return null;
        });
    Town.await(() -> Town.on(node.clock, () -> !outcomes.isEmpty()));
    return outcomes.get(0);
  }

  @Test
  void viewsGoOnWithoutTheLeaderAndAVoterComesBackWithItsFolderOrWithout() throws Exception {
    try (Town town = town()) {
      View first = agreed(town);
      assertThat(first.voters()).hasSize(3);
      Town.Node dead = leader(town);
      int place = town.nodes.indexOf(dead);
      Member voted = agreement(dead).self();
      dead.kill();
      View second = agreed(town);
      assertThat(second.number()).isGreaterThan(first.number());
      assertThat(second.group()).isEqualTo(first.group());
      // With its folder it is the voter that it was, though as a member it is a later life.
      Town.Node again = town.start(place, 10, Town.KEY, Map.of());
      View third = agreed(town);
      assertThat(again.self().birth()).isGreaterThan(dead.self().birth());
      assertThat(agreement(again).self()).isEqualTo(voted);
      assertThat(third.voters()).isEqualTo(first.voters());
      // Without, it is another, taken in in the place of what it was.
      again.kill();
      Files.delete(folder.resolve(place + ".agreed"));
      Town.Node anew = town.start(place, 10, Town.KEY, Map.of());
      Town.await(() -> agreement(anew) != null);
      Member other = agreement(anew).self();
      assertThat(other.birth()).isGreaterThan(voted.birth());
      Town.await(
          () ->
              held(anew)
                  .filter(
                      view ->
                          view.voters().contains(other)
                              && !view.voters().contains(voted)
                              && view.voters().size() == 3)
                  .isPresent());
      agreed(town);
    }
  }

  /**
   * A fifth of all datagrams is lost on each way; another leads soon, and who holds the view stays
   * in touch.
   */
  @Test
  void aLostFifthOfAllDatagramsKeepsNobodyFromAgreeing() throws Exception {
    try (Town town = new Town(5)) {
      town.voters = 3;
      town.folder = folder;
      for (int i = 0; i < 5; i++) {
        Map<Address, InetSocketAddress> through = new HashMap<>();
        for (int other = 0; other < 5; other++) {
          if (other != i) {
            Town.Way way = town.new Way(town.places.get(other));
            way.loss = 20;
            through.put(MembersSettings.address(town.places.get(other)), way.by());
          }
        }
        town.start(i, 1_000, Town.KEY, through);
      }
      agreed(town);
      leader(town).kill();
      long killed = System.nanoTime();
      Town.Node next = leader(town);
      System.out.println(
          "a leader at a fifth of loss after "
              + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killed)
              + " ms");
      assertThat(System.nanoTime() - killed).isLessThan(TimeUnit.SECONDS.toNanos(20));
      assertThat(propose(next, new Command.Put("k", 1, "t", new byte[15_000])).fate())
          .isEqualTo(Agreement.Fate.AGREED);
      agreed(town);
    }
  }

  @Test
  void withoutMostVotersNothingMovesAndWhatIsHeldEnds() throws Exception {
    try (Town town = town()) {
      agreed(town);
      // A whole view of many datagrams comes to who has none yet.
      Town.Node leader = leader(town);
      for (int i = 0; i < 8; i++) {
        long from = Town.on(leader.clock, () -> leader.agreed.agreement().get().view().number());
        // By whoever leads, by a voter that does not, by one without a vote.
        Command put = new Command.Put("k" + i, from, "t", new byte[16_000]);
        assertThat(propose(town.nodes.get(1 + i % 4), put).fate()).isEqualTo(Agreement.Fate.AGREED);
      }
      Town.Node fresh = town.nodes.get(4);
      fresh.kill();
      town.start(4, 2_000, Town.KEY, Map.of());
      View last = agreed(town);
      assertThat(last.entries()).hasSize(8);
      for (Town.Node node : List.copyOf(town.nodes.subList(0, 3))) {
        if (node != leader) {
          node.kill();
        }
      }
      long cut = System.nanoTime();
      Agreement.Outcome outcome =
          propose(leader, new Command.Put("late", last.number(), "t", new byte[1]));
      assertThat(outcome.fate()).isNotEqualTo(Agreement.Fate.AGREED);
      for (Town.Node node : town.nodes) {
        Town.await(() -> held(node).isEmpty());
      }
      // The lease, and some for this machine.
      assertThat(System.nanoTime() - cut).isLessThan(TimeUnit.SECONDS.toNanos(16));
      assertThat(state(leader).noMajoritySince()).isPresent();
      assertThat(Town.on(leader.clock, () -> leader.agreed.agreement().get().view()))
          .isEqualTo(last);
    }
  }
}
