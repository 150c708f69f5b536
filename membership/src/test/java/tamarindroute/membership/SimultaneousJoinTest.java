package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests members that start together on a busy machine, where the first step of each is delayed.
 * Guards against seeds that regard themselves as paused and therefore never admit each other.
 */
class SimultaneousJoinTest {

  @Test
  void membersAllPausedBeforeJoiningStillJoinEachOther() {
    List<Address> seeds = List.of(new Address("a", 1), new Address("b", 2), new Address("c", 3));
    List<Membership> members = new ArrayList<>();
    seeds.forEach(
        address ->
            members.add(
                new Membership(
                    MembershipSettings.DEFAULTS, new Member(address, 1), seeds, Duration.ZERO)));
    // The first step is more than a quarter of a period late, which each member detects as a pause.
    for (int millis = 400; millis < 5_000; millis += 20) {
      Duration now = Duration.ofMillis(millis);
      List<Action> actions = new ArrayList<>();
      members.forEach(member -> actions.addAll(member.tick(now)));
      while (!actions.isEmpty()) {
        if (actions.remove(0) instanceof Action.Send send) {
          actions.addAll(members.get(send.to().port() - 1).onMessage(send.message(), now));
        }
      }
    }
    for (Membership member : members) {
      assertThat(member.localStatus(Duration.ofSeconds(5)).isConnected())
          .as(member.self().toString())
          .isTrue();
      assertThat(member.liveMembers()).hasSize(3);
    }
  }
}
