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

class ViewTransitionsTest {

  static Member member(int i) {
    return new Member(new Address("h" + i % 5, 1), i / 5);
  }

  @Provide
  Arbitrary<List<Command>> commands() {
    Arbitrary<Long> from = Arbitraries.longs().between(0, 12);
    Arbitrary<String> key = Arbitraries.of("a", "b");
    Arbitrary<Command> put =
        Combinators.combine(key, from).as((k, f) -> new Command.Put(k, f, "t", new byte[] {1}));
    Arbitrary<Command> remove = Combinators.combine(key, from).as(Command.Remove::new);
    Arbitrary<List<Member>> members =
        Arbitraries.integers().between(0, 9).map(ViewTransitionsTest::member).list().ofMaxSize(3);
    Arbitrary<Command> cut =
        Combinators.combine(from, members, members).as(Command.MembershipChange::new);
    return Arbitraries.oneOf(put, remove, cut, Arbitraries.of(new Command.NoOp()))
        .list()
        .ofMaxSize(40);
  }

  /** The number rises by one with each change and with nothing else; refused, nothing changes. */
  @Property(seed = "28", tries = 300)
  void numberRisesByOneAndRejectionsChangeNothing(@ForAll("commands") List<Command> commands) {
    MembershipView view = MembershipView.initial(1);
    for (Command command : commands) {
      ViewTransitions.Transition step = ViewTransitions.apply(view, command);
      boolean nothing = command instanceof Command.NoOp || step.rejection().isPresent();
      assertThat(step.view().number()).isEqualTo(view.number() + (nothing ? 0 : 1));
      assertThat(nothing && !step.view().equals(view)).isFalse();
      assertThat(step.view().members().stream().map(Member::address)).doesNotHaveDuplicates();
      view = step.view();
    }
  }

  /**
   * Whatever was done before, a command that was applied once is refused the second time, at any
   * later view.
   */
  @Property(seed = "29", tries = 300)
  void duplicateCommandIsRejected(@ForAll("commands") List<Command> commands) {
    MembershipView view = MembershipView.initial(1);
    List<Command> applied = new ArrayList<>();
    for (Command command : commands) {
      for (Command old : applied) {
        assertThat(ViewTransitions.apply(view, old).rejection()).as(old + " again").isPresent();
      }
      ViewTransitions.Transition step = ViewTransitions.apply(view, command);
      if (step.view().number() > view.number()) {
        applied.add(command);
      }
      view = step.view();
    }
  }

  @Property(seed = "30", tries = 100)
  void onlyOneOfTwoCommandsWithSameBaseIsApplied(@ForAll("commands") List<Command> commands) {
    MembershipView view = MembershipView.initial(1);
    for (Command command : commands) {
      view = ViewTransitions.apply(view, command).view();
    }
    Command.Put one = new Command.Put("a", view.baseNumber("a"), "t", new byte[] {7});
    Command.Put other = new Command.Put("a", view.baseNumber("a"), "t", new byte[] {8});
    ViewTransitions.Transition first = ViewTransitions.apply(view, one);
    assertThat(first.rejection()).isEmpty();
    assertThat(ViewTransitions.apply(first.view(), other).rejection()).isPresent();
  }

  @Test
  void limitsAreEnforced() {
    MembershipView view = MembershipView.initial(1);
    List<Member> many =
        IntStream.rangeClosed(0, ViewTransitions.MAX_MEMBERS)
            .mapToObj(i -> new Member(new Address("h" + i, 1), 1))
            .toList();
    assertThat(
            ViewTransitions.apply(view, new Command.MembershipChange(0, List.of(), many))
                .rejection())
        .isPresent();
    MembershipView full =
        ViewTransitions.apply(
                view, new Command.MembershipChange(0, List.of(), many.subList(1, many.size())))
            .view();
    assertThat(full.members()).hasSize(ViewTransitions.MAX_MEMBERS);
    byte[] large = new byte[ViewTransitions.MAX_VALUE_BYTES];
    assertThat(
            ViewTransitions.apply(
                    view,
                    new Command.Put("a", 0, "t", new byte[ViewTransitions.MAX_VALUE_BYTES + 1]))
                .rejection())
        .isPresent();
    MembershipView entries = view;
    int put = 0;
    while (ViewTransitions.apply(entries, new Command.Put("k" + put, 0, "t", large))
        .rejection()
        .isEmpty()) {
      entries = ViewTransitions.apply(entries, new Command.Put("k" + put++, 0, "t", large)).view();
    }
    assertThat(put)
        .isEqualTo(ViewTransitions.MAX_TOTAL_VALUE_BYTES / ViewTransitions.MAX_VALUE_BYTES);
  }
}
