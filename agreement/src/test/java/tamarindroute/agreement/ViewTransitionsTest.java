package tamarindroute.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Application of commands to the view. Guards against a duplicated or concurrent proposal that is
 * applied although the view or entry that it was derived from has changed, and against views beyond
 * the limits.
 */
class ViewTransitionsTest {

  /** Returns one of two incarnations at one of five addresses. */
  static Member member(int index) {
    return new Member(new Address("h" + index % 5, 1), index / 5);
  }

  @Provide
  Arbitrary<List<Command>> commands() {
    Arbitrary<Long> baseNumber = Arbitraries.longs().between(0, 12);
    Arbitrary<String> key = Arbitraries.of("a", "b");
    Arbitrary<Command> put =
        Combinators.combine(key, baseNumber)
            .as((putKey, number) -> new Command.Put(putKey, number, "t", new byte[] {1}));
    Arbitrary<Command> remove = Combinators.combine(key, baseNumber).as(Command.Remove::new);
    Arbitrary<List<Member>> members =
        Arbitraries.integers().between(0, 9).map(ViewTransitionsTest::member).list().ofMaxSize(3);
    Arbitrary<Command> membershipChange =
        Combinators.combine(baseNumber, members, members).as(Command.MembershipChange::new);
    return Arbitraries.oneOf(put, remove, membershipChange, Arbitraries.of(new Command.NoOp()))
        .list()
        .ofMaxSize(40);
  }

  /** The view's number rises by one with each applied change, and otherwise stays the same. */
  @Property(seed = "28", tries = 300)
  void numberRisesByOneAndRejectionsChangeNothing(@ForAll("commands") List<Command> commands) {
    MembershipView view = MembershipView.initial(1);
    for (Command command : commands) {
      ViewTransitions.Transition transition = ViewTransitions.apply(view, command);
      boolean unchanged = command instanceof Command.NoOp || transition.rejection().isPresent();
      assertThat(transition.view().number()).isEqualTo(view.number() + (unchanged ? 0 : 1));
      assertThat(unchanged && !transition.view().equals(view)).isFalse();
      assertThat(transition.view().members().stream().map(Member::address)).doesNotHaveDuplicates();
      view = transition.view();
    }
  }

  /** A command that was applied once is rejected by every later view. */
  @Property(seed = "29", tries = 300)
  void duplicateCommandIsRejected(@ForAll("commands") List<Command> commands) {
    MembershipView view = MembershipView.initial(1);
    List<Command> applied = new ArrayList<>();
    for (Command command : commands) {
      for (Command previous : applied) {
        assertThat(ViewTransitions.apply(view, previous).rejection())
            .as(previous + " again")
            .isPresent();
      }
      ViewTransitions.Transition transition = ViewTransitions.apply(view, command);
      if (transition.view().number() > view.number()) {
        applied.add(command);
      }
      view = transition.view();
    }
  }

  @Property(seed = "30", tries = 100)
  void onlyOneOfTwoCommandsWithSameBaseIsApplied(@ForAll("commands") List<Command> commands) {
    MembershipView view = MembershipView.initial(1);
    for (Command command : commands) {
      view = ViewTransitions.apply(view, command).view();
    }
    Command.Put first = new Command.Put("a", view.baseNumber("a"), "t", new byte[] {7});
    Command.Put other = new Command.Put("a", view.baseNumber("a"), "t", new byte[] {8});
    ViewTransitions.Transition transition = ViewTransitions.apply(view, first);
    assertThat(transition.rejection()).isEmpty();
    assertThat(ViewTransitions.apply(transition.view(), other).rejection()).isPresent();
  }

  @Test
  void limitsAreEnforced() {
    MembershipView view = MembershipView.initial(1);
    List<Member> tooMany =
        IntStream.rangeClosed(0, ViewLimits.MAX_MEMBERS)
            .mapToObj(i -> new Member(new Address("h" + i, 1), 1))
            .toList();
    assertThat(
            ViewTransitions.apply(view, new Command.MembershipChange(0, List.of(), tooMany))
                .rejection())
        .isPresent();
    MembershipView full =
        ViewTransitions.apply(
                view,
                new Command.MembershipChange(0, List.of(), tooMany.subList(1, tooMany.size())))
            .view();
    assertThat(full.members()).hasSize(ViewLimits.MAX_MEMBERS);
    byte[] large = new byte[ViewLimits.MAX_VALUE_BYTES];
    assertThat(
            ViewTransitions.apply(
                    view, new Command.Put("a", 0, "t", new byte[ViewLimits.MAX_VALUE_BYTES + 1]))
                .rejection())
        .isPresent();
    MembershipView filled = view;
    int entries = 0;
    while (ViewTransitions.apply(filled, new Command.Put("k" + entries, 0, "t", large))
        .rejection()
        .isEmpty()) {
      filled = ViewTransitions.apply(filled, new Command.Put("k" + entries, 0, "t", large)).view();
      entries++;
    }
    assertThat(entries).isEqualTo(ViewLimits.MAX_TOTAL_VALUE_BYTES / ViewLimits.MAX_VALUE_BYTES);
  }
}
