package tamarindroute.members.agreed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewTransitions;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;

/** A leader's proposals for a simulated membership; each is committed at once. */
class ViewChangeBatcherTest {

  private static final Member SELF = member(0, 1);
  private final Map<Member, MemberState> others = new HashMap<>();
  private MembershipView view = MembershipView.initial(7);
  private ViewChangeBatcher batcher = ViewChangeBatcher.initial(Duration.ZERO);
  private final List<Command.MembershipChange> changes = new ArrayList<>();
  private long millis;

  private static Member member(int i, long incarnation) {
    return new Member(new Address("10.0." + i / 200 + "." + i % 200, 1), incarnation);
  }

  /** Runs a step every quarter of a second. */
  private void run(Duration duration) {
    for (long end = millis + duration.toMillis(); millis < end; millis += 250) {
      ViewChangeBatcher.Step step = batcher.step(view, SELF, others, Duration.ofMillis(millis));
      batcher = step.next();
      step.change().ifPresent(this::commit);
    }
  }

  private void commit(Command.MembershipChange change) {
    ViewTransitions.Transition transition = ViewTransitions.apply(view, change);
    assertThat(transition.rejection()).isEmpty();
    view = transition.view();
    changes.add(change);
  }

  @Example
  void simultaneousChangesAreOneBatch() {
    IntStream.rangeClosed(1, 50).forEach(i -> others.put(member(i, 1), MemberState.ALIVE));
    run(Duration.ofSeconds(3));
    assertThat(changes).hasSize(1);
    assertThat(view.members()).hasSize(51);
    // Found faulty one after the other, a few every quarter of a second.
    for (int i = 1; i <= 30; i++) {
      others.put(member(i, 1), i % 2 == 0 ? MemberState.FAULTY : MemberState.LEFT);
      run(Duration.ofMillis(i % 5 == 0 ? 250 : 0));
    }
    run(Duration.ofSeconds(3));
    assertThat(changes).hasSize(2);
    assertThat(changes.get(1).removed()).hasSize(30);
    assertThat(view.members()).hasSize(21).contains(SELF);
  }

  @Example
  void flappingMemberIsNotAdmittedAndDelaysNobody() {
    others.put(member(1, 1), MemberState.ALIVE);
    for (int i = 0; i < 40; i++) {
      others.put(member(2, 1), i % 2 == 0 ? MemberState.ALIVE : MemberState.SUSPECT);
      others.put(member(3, 1), i % 2 == 1 ? MemberState.ALIVE : MemberState.SUSPECT);
      run(Duration.ofMillis(500));
    }
    assertThat(view.members()).containsExactly(SELF, member(1, 1));
    assertThat(changes).hasSize(1);
  }

  @Example
  void laterIncarnationReplacesTheEarlierAndUnknownMembersAreRemovedLate() {
    others.put(member(1, 1), MemberState.ALIVE);
    others.put(member(2, 1), MemberState.ALIVE);
    run(Duration.ofSeconds(3));
    others.remove(member(1, 1));
    others.remove(member(2, 1));
    others.put(member(1, 9), MemberState.ALIVE);
    run(Duration.ofSeconds(3));
    assertThat(view.members()).containsExactly(SELF, member(1, 9), member(2, 1));
    run(Duration.ofSeconds(25));
    assertThat(view.members()).as("not yet").contains(member(2, 1));
    run(Duration.ofSeconds(5));
    assertThat(view.members()).containsExactly(SELF, member(1, 9));
    assertThat(changes).hasSize(3);
  }

  /** With random changes of the members' states. */
  @Property(seed = "30", tries = 200)
  // Any constant is as good as another here.
  @SuppressWarnings("EnumOrdinal")
  void changesAreValidAndPacedAndConvergeToTheMembership(
      @ForAll @IntRange(max = 1 << 30) int seed) {
    Random random = new Random(seed);
    others.clear();
    changes.clear();
    view = MembershipView.initial(7);
    millis = 0;
    batcher = ViewChangeBatcher.initial(Duration.ZERO);
    for (int turn = 0; turn < 60; turn++) {
      int index = 1 + random.nextInt(6);
      long incarnation = 1L + random.nextInt(3);
      others.put(member(index, incarnation), MemberState.values()[random.nextInt(5)]);
      if (random.nextInt(4) == 0) {
        others.remove(member(index, incarnation));
      }
      run(Duration.ofMillis(250L * random.nextInt(12)));
    }
    assertThat(changes.size())
        .isLessThanOrEqualTo(
            (int) (millis / ViewChangeBatcher.MIN_PROPOSAL_INTERVAL.toMillis()) + 1);
    others.replaceAll(
        (member, state) -> member.incarnation() == 3 ? MemberState.ALIVE : MemberState.FAULTY);
    run(Duration.ofSeconds(70));
    List<Member> alive = new ArrayList<>(List.of(SELF));
    others.forEach(
        (member, state) -> {
          if (state == MemberState.ALIVE) {
            alive.add(member);
          }
        });
    assertThat(view.members()).containsExactlyInAnyOrderElementsOf(alive);
  }
}
