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
   * Three voters whose offers are lost, delayed, duplicated and reordered, and that lose their
   * store at any time: no two different groups that were ever established share a founder.
   */
  @Property(seed = "32", tries = 2_000)
  void establishedGroupsShareNoFounder(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99) Integer> actions) {
    List<Bootstrap> voters = new ArrayList<>();
    IntStream.range(0, 3).forEach(i -> voters.add(started(i, 1)));
    List<Sent> sent = new ArrayList<>();
    Set<List<Member>> groups = new HashSet<>();
    long incarnation = 1;
    for (int action : actions) {
      int voter = action % 3;
      if (action == 99) {
        voters.set(voter, started(voter, ++incarnation));
      } else if (action < 45 || sent.isEmpty()) {
        sent.add(new Sent((voter + 1) % 3, voters.get(voter).offer()));
        sent.add(new Sent((voter + 2) % 3, voters.get(voter).offer()));
      } else {
        Sent delivered = sent.get(sent.size() - 1 - action * 7 % Math.min(sent.size(), 14));
        Address from = delivered.offer().self().address();
        voters.set(delivered.to(), voters.get(delivered.to()).onOffer(from, delivered.offer()));
      }
      voters.forEach(
          bootstrap ->
              bootstrap
                  .founders()
                  .filter(group -> group.contains(bootstrap.self()))
                  .ifPresent(groups::add));
      for (List<Member> group : groups) {
        for (List<Member> other : groups) {
          assertThat(group.equals(other) || group.stream().noneMatch(other::contains)).isTrue();
        }
      }
    }
    groupCount += groups.size();
  }

  @AfterContainer
  static void enoughGroupsWereEstablished() {
    assertThat(groupCount).isGreaterThan(250);
  }

  private static Bootstrap started(int i, long incarnation) {
    return Bootstrap.of(
        new Member(CONFIGURED_VOTERS.get(i), incarnation), CONFIGURED_VOTERS, List.of(), false);
  }
}
