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

class LedgerTest {

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
        Arbitraries.integers().between(0, 9).map(LedgerTest::member).list().ofMaxSize(3);
    Arbitrary<Command> cut = Combinators.combine(from, members, members).as(Command.Cut::new);
    return Arbitraries.oneOf(put, remove, cut, Arbitraries.of(new Command.Nothing()))
        .list()
        .ofMaxSize(40);
  }

  /** The number rises by one with each change and with nothing else; refused, nothing changes. */
  @Property(seed = "28", tries = 300)
  void numbersRiseByOneAndRefusalsChangeNothing(@ForAll("commands") List<Command> commands) {
    View view = View.first(1);
    for (Command command : commands) {
      Ledger.Step step = Ledger.apply(view, command);
      boolean nothing = command instanceof Command.Nothing || step.refusal().isPresent();
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
  void aDoubledCommandChangesNothingTwice(@ForAll("commands") List<Command> commands) {
    View view = View.first(1);
    List<Command> applied = new ArrayList<>();
    for (Command command : commands) {
      for (Command old : applied) {
        assertThat(Ledger.apply(view, old).refusal()).as(old + " again").isPresent();
      }
      Ledger.Step step = Ledger.apply(view, command);
      if (step.view().number() > view.number()) {
        applied.add(command);
      }
      view = step.view();
    }
  }

  @Property(seed = "30", tries = 100)
  void ofTwoDerivedFromTheSameOneWins(@ForAll("commands") List<Command> commands) {
    View view = View.first(1);
    for (Command command : commands) {
      view = Ledger.apply(view, command).view();
    }
    Command.Put one = new Command.Put("a", view.from("a"), "t", new byte[] {7});
    Command.Put other = new Command.Put("a", view.from("a"), "t", new byte[] {8});
    Ledger.Step first = Ledger.apply(view, one);
    assertThat(first.refusal()).isEmpty();
    assertThat(Ledger.apply(first.view(), other).refusal()).isPresent();
  }

  @Test
  void boundsAreKept() {
    View view = View.first(1);
    List<Member> many =
        IntStream.rangeClosed(0, Ledger.MEMBERS_MOST)
            .mapToObj(i -> new Member(new Address("h" + i, 1), 1))
            .toList();
    assertThat(Ledger.apply(view, new Command.Cut(0, List.of(), many)).refusal()).isPresent();
    View full =
        Ledger.apply(view, new Command.Cut(0, List.of(), many.subList(1, many.size()))).view();
    assertThat(full.members()).hasSize(Ledger.MEMBERS_MOST);
    byte[] large = new byte[Ledger.VALUE_MOST];
    assertThat(
            Ledger.apply(view, new Command.Put("a", 0, "t", new byte[Ledger.VALUE_MOST + 1]))
                .refusal())
        .isPresent();
    View entries = view;
    int put = 0;
    while (Ledger.apply(entries, new Command.Put("k" + put, 0, "t", large)).refusal().isEmpty()) {
      entries = Ledger.apply(entries, new Command.Put("k" + put++, 0, "t", large)).view();
    }
    assertThat(put).isEqualTo(Ledger.VALUES_MOST / Ledger.VALUE_MOST);
  }
}
