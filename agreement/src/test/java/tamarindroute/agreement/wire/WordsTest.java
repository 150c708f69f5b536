package tamarindroute.agreement.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import tamarindroute.agreement.Agreement.Fate;
import tamarindroute.agreement.Agreement.Outcome;
import tamarindroute.agreement.Answer;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.Entry;
import tamarindroute.agreement.Leased;
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.View;
import tamarindroute.agreement.proto.WAnswer;
import tamarindroute.agreement.proto.WCommand;
import tamarindroute.agreement.proto.WEnvelope;
import tamarindroute.agreement.proto.WProposal;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

class WordsTest {

  private static final Member MEMBER = new Member(new Address("cache.example", 7000), 9);
  private static final Command PUT = new Command.Put("window/1", 4, "w", new byte[] {0, 1});

  private static Answer answer() {
    TreeMap<String, Entry> entries = new TreeMap<>();
    entries.put("level/1", new Entry("l", new byte[] {5}, 3));
    View view = new View(7, 4, 2, List.of(MEMBER), List.of(MEMBER), entries);
    return new Answer(
        1, true, Optional.of(MEMBER), Duration.ofSeconds(10), 7, Optional.of(view), List.of());
  }

  @Test
  void whatIsSaidIsHeard() {
    assertThat(Heard.of(Words.answer(answer()))).contains(new Heard.Answered(answer()));
    Answer since =
        new Answer(
            1,
            true,
            Optional.empty(),
            Duration.ofSeconds(1),
            7,
            Optional.empty(),
            List.of(
                new Command.Remove("a", 3), new Command.Cut(4, List.of(MEMBER), List.of()),
                new Command.Voters(5, List.of(MEMBER)), new Command.Nothing()));
    assertThat(Heard.of(Words.answer(since))).contains(new Heard.Answered(since));
    Outcome outcome = new Outcome(Fate.REFUSED, 4, "why", Optional.of(MEMBER));
    assertThat(Heard.of(Words.outcome(8, outcome))).contains(new Heard.Proposed(8, outcome));
    assertThat(Heard.of(Words.offer(MEMBER, List.of(MEMBER), true)))
        .contains(new Heard.Offered(MEMBER, List.of(MEMBER), true));
    Heard.Proposal proposal = (Heard.Proposal) Heard.of(Words.proposal(3, PUT)).orElseThrow();
    assertThat(((Command.Put) proposal.command()).value()).containsExactly(0, 1);
    Leased asked = Leased.none(MEMBER).asked(Duration.ZERO);
    assertThat(Heard.of(Words.ask(asked))).contains(new Heard.Ask(asked.number(), 0, 0));
  }

  /**
   * Cut short or with bytes changed it is read whole, within bounds, or not at all; never is there
   * an exception.
   */
  @Property(seed = "33", tries = 2_000)
  void damagedMessagesAreNoMessages(
      @ForAll @IntRange(max = 200) int length, @ForAll @IntRange(max = 255) int with) {
    byte[] whole = Words.answer(answer());
    byte[] damaged = Arrays.copyOf(whole, Math.min(length, whole.length));
    if (damaged.length > 0) {
      damaged[with % damaged.length] ^= (byte) (1 + with % 255);
    }
    Heard.of(damaged)
        .ifPresent(
            heard ->
                assertThat(
                        heard instanceof Heard.Answered it
                            && (it.answer().lease().isNegative()
                                || it.answer().lease().compareTo(Leased.LEASE_MOST) > 0))
                    .isFalse());
  }

  @Test
  void whatIsPastItsBoundsIsNotHeard() {
    WCommand large =
        WCommand.newBuilder()
            .setKind(WCommand.Kind.PUT)
            .setKey("k")
            .setType("t")
            .setValue(ByteString.copyFrom(new byte[Ledger.VALUE_MOST + 1]))
            .build();
    assertThat(
            Heard.of(
                WEnvelope.newBuilder()
                    .setProposal(WProposal.newBuilder().setCommand(large))
                    .build()
                    .toByteArray()))
        .isEmpty();
    WAnswer.Builder many = WAnswer.newBuilder();
    IntStream.rangeClosed(0, Words.SINCE_MOST).forEach(i -> many.addSince(Words.to(PUT)));
    assertThat(Heard.of(WEnvelope.newBuilder().setAnswer(many).build().toByteArray())).isEmpty();
    WAnswer longer = WAnswer.newBuilder().setLeaseMillis(Leased.LEASE_MOST.toMillis() + 1).build();
    assertThat(Heard.of(WEnvelope.newBuilder().setAnswer(longer).build().toByteArray())).isEmpty();
    assertThat(Heard.of(new byte[Words.MESSAGE_MOST + 1])).isEmpty();
    assertThat(Heard.of(new byte[0])).isEmpty();
  }

  /** The largest view there can be goes into one message. */
  @Test
  void theLargestViewFits() {
    String name = "x".repeat(Ledger.NAME_MOST - 5);
    List<Member> members =
        IntStream.range(0, Ledger.MEMBERS_MOST)
            .mapToObj(i -> new Member(new Address(name + i, 65_000), Long.MAX_VALUE))
            .toList();
    TreeMap<String, Entry> entries = new TreeMap<>();
    for (int i = 0; i < Ledger.ENTRIES_MOST; i++) {
      entries.put(
          name + i,
          new Entry(name, new byte[Ledger.VALUES_MOST / Ledger.ENTRIES_MOST], Long.MAX_VALUE));
    }
    View view = new View(7, Long.MAX_VALUE, 2, members, List.of(MEMBER), entries);
    Answer answer =
        new Answer(
            1, true, Optional.of(MEMBER), Duration.ofSeconds(10), 7, Optional.of(view), List.of());
    assertThat(Words.answer(answer).length).isLessThan(Words.MESSAGE_MOST);
    assertThat(Heard.of(Words.answer(answer))).contains(new Heard.Answered(answer));
  }
}
