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

/**
 * Bootstrap of a voter group with faults. Guards against a voter that lost its store and founds a
 * second group beside a running one: two groups with common voters could both commit changes.
 */
class BootstrapTest {

  private static final List<Address> CONFIGURED_VOTERS =
      IntStream.range(0, 3).mapToObj(i -> new Address("v" + i, 1)).toList();

  /** Number of established groups over all tries. */
  private static int groupCount;

  /**
   * An offer that was sent, and may be delivered any number of times.
   *
   * @param recipient index of the recipient
   */
  private record SentOffer(int recipient, Bootstrap.Offer offer) {}

  /**
   * Runs three voters whose offers are lost, delayed, duplicated and reordered, and that lose their
   * store at any time. No two different groups that were ever established share a founder.
   *
   * @param actions one action each: 99 restarts a voter without its store, a number below 45 sends
   *     a voter's offer to the other two, and any other number delivers one of the last offers
   */
  @Property(seed = "32", tries = 2_000)
  void establishedGroupsShareNoFounder(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99) Integer> actions) {
    List<Bootstrap> voters = new ArrayList<>();
    IntStream.range(0, 3).forEach(i -> voters.add(started(i, 1)));
    List<SentOffer> sentOffers = new ArrayList<>();
    Set<List<Member>> groups = new HashSet<>();
    long incarnation = 1;
    for (int action : actions) {
      int voter = action % 3;
      if (action == 99) {
        voters.set(voter, started(voter, ++incarnation));
      } else if (action < 45 || sentOffers.isEmpty()) {
        sentOffers.add(new SentOffer((voter + 1) % 3, voters.get(voter).offer()));
        sentOffers.add(new SentOffer((voter + 2) % 3, voters.get(voter).offer()));
      } else {
        SentOffer delivered =
            sentOffers.get(sentOffers.size() - 1 - action * 7 % Math.min(sentOffers.size(), 14));
        Address from = delivered.offer().self().address();
        voters.set(
            delivered.recipient(),
            voters.get(delivered.recipient()).onOffer(from, delivered.offer()));
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

  /** Returns the state of a voter that starts without a store. */
  private static Bootstrap started(int voter, long incarnation) {
    return Bootstrap.of(
        new Member(CONFIGURED_VOTERS.get(voter), incarnation), CONFIGURED_VOTERS, List.of(), false);
  }
}
