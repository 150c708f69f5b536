package tamarindroute.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

class BootstrapTest {

  private static final List<Address> CONFIGURED_VOTERS =
      IntStream.range(0, 3).mapToObj(i -> new Address("v" + i, 1)).toList();

  private static int groupCount;

  private record Sent(int to, Bootstrap.Offer offer) {}

  /**
   * Three voters whose offers are lost, late, doubled and out of order, and that lose their memory
   * at any time: of all the groups that ever run, no two have both most of their founders with the
   * memory that they founded with.
   */
  @Property(seed = "32", tries = 2_000)
  void atMostOneGroupEverReachesQuorum(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99) Integer> plays) {
    List<Bootstrap> voters = new ArrayList<>();
    IntStream.range(0, 3).forEach(i -> voters.add(started(i, 1)));
    List<Sent> sent = new ArrayList<>();
    Set<List<Member>> ran = new HashSet<>();
    long birth = 1;
    for (int play : plays) {
      int who = play % 3;
      if (play == 99) {
        voters.set(who, started(who, ++birth));
      } else if (play < 45 || sent.isEmpty()) {
        sent.add(new Sent((who + 1) % 3, voters.get(who).offer()));
        sent.add(new Sent((who + 2) % 3, voters.get(who).offer()));
      } else {
        Sent one = sent.get(sent.size() - 1 - play * 7 % Math.min(sent.size(), 14));
        Address from = one.offer().self().address();
        voters.set(one.to(), voters.get(one.to()).receivedOffers(from, one.offer()));
      }
      voters.forEach(
          one -> one.founders().filter(all -> all.contains(one.self())).ifPresent(ran::add));
      for (List<Member> group : ran) {
        for (List<Member> other : ran) {
          assertThat(group.equals(other) || group.stream().noneMatch(other::contains)).isTrue();
        }
      }
    }
    groupCount += ran.size();
  }

  @AfterContainer
  static void groupsRan() {
    assertThat(groupCount).isGreaterThan(250);
  }

  private static Bootstrap started(int i, long birth) {
    return Bootstrap.of(
        new Member(CONFIGURED_VOTERS.get(i), birth), CONFIGURED_VOTERS, List.of(), false);
  }
}
