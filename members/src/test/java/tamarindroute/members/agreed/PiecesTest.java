package tamarindroute.members.agreed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import tamarindroute.agreement.wire.Words;
import tamarindroute.members.wire.Envelopes;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

class PiecesTest {

  private static final Address TO = new Address("10.0.0.9", 1);
  private static final Duration AT = Duration.ofSeconds(100);

  private static Member sender(int i) {
    return new Member(new Address("10.0.0." + i, 1), 5);
  }

  private static byte[] message(Random random, int length) {
    byte[] message = new byte[length];
    random.nextBytes(message);
    return message;
  }

  private record Come(Member from, byte[] bytes) {}

  /**
   * A message comes out as it was, once, or not at all; without loss each does, in whatever order.
   */
  @Property(seed = "28", tries = 300)
  void messagesComeOutWholeAndOnceOrNot(
      @ForAll @IntRange(max = 1 << 30) int seed, @ForAll @IntRange(max = 30) int loss) {
    Random random = new Random(seed);
    List<Come> way = new ArrayList<>();
    List<byte[]> sent = new ArrayList<>();
    for (int who = 0; who < 3; who++) {
      Outbox outbox = new Outbox();
      for (int i = 0; i < 4; i++) {
        byte[] message = message(random, 1 + random.nextInt(6 * Pieces.PIECE));
        sent.add(message);
        for (Outbox.Piece piece : outbox.put(TO, message)) {
          way.add(new Come(sender(who), piece.bytes()));
        }
      }
      while (!outbox.isEmpty()) {
        for (Outbox.Piece piece : outbox.next()) {
          way.add(new Come(sender(who), piece.bytes()));
        }
      }
    }
    way.removeIf(one -> random.nextInt(100) < loss);
    // Out of order by up to twenty places.
    for (int i = 0; i + 20 < way.size(); i++) {
      int other = i + random.nextInt(20);
      Come held = way.set(i, way.get(other));
      way.set(other, held);
    }
    Pieces pieces = new Pieces();
    List<byte[]> out = new ArrayList<>();
    for (Come one : way) {
      pieces.taken(one.from(), one.bytes(), AT).ifPresent(out::add);
      assertThat(pieces.underWay()).isLessThanOrEqualTo(3 * Pieces.UNDER_WAY_MOST);
    }
    assertThat(out).allMatch(one -> sent.stream().anyMatch(message -> Arrays.equals(one, message)));
    assertThat(out.stream().map(Arrays::hashCode).distinct()).as("none twice").hasSameSizeAs(out);
    if (loss == 0) {
      assertThat(out).hasSameSizeAs(sent);
      assertThat(pieces.held()).isZero();
    }
  }

  /**
   * Whoever has the key and sends noise, or starts what it never ends, takes no more than the
   * bounds tell.
   */
  @Property(seed = "29", tries = 20)
  void whatIsKeptIsBounded(@ForAll @IntRange(max = 1 << 30) int seed) {
    Random random = new Random(seed);
    Pieces pieces = new Pieces();
    byte[] longest = new byte[Words.MESSAGE_MOST];
    // Many messages of few pieces, or few of many: first one bound is met, then the other.
    int numbers = seed % 2 == 0 ? 200 : 2;
    for (int i = 0; i < 4_000; i++) {
      byte[] piece =
          random.nextInt(4) == 0
              ? message(random, random.nextInt(Pieces.HEAD + Pieces.PIECE + 2))
              : Pieces.cut(
                  longest, 1 + random.nextInt(numbers), random.nextInt(Pieces.PIECES_MOST - 1));
      pieces.taken(sender(random.nextInt(numbers == 2 ? 5 : 40)), piece, AT.plusMillis(i));
      assertThat(pieces.underWay()).isLessThanOrEqualTo(Pieces.ALL_MOST);
      assertThat(pieces.held()).isBetween(0, Pieces.BYTES_MOST);
    }
    pieces.age(AT.plus(Pieces.AGE_MOST.multipliedBy(2)));
    assertThat(pieces.underWay()).isZero();
    assertThat(pieces.held()).isZero();
  }

  /** One that starts messages without end makes no other sender's be lost. */
  @Example
  void oneSendersTooManyCostOthersNothing() {
    Pieces pieces = new Pieces();
    byte[] message = message(new Random(1), 2 * Pieces.PIECE);
    assertThat(pieces.taken(sender(1), Pieces.cut(message, 1, 0), AT)).isEmpty();
    for (int i = 1; i <= 500; i++) {
      pieces.taken(sender(2), Pieces.cut(message, i, 0), AT);
    }
    assertThat(pieces.underWay()).isEqualTo(1 + Pieces.UNDER_WAY_MOST);
    assertThat(pieces.taken(sender(1), Pieces.cut(message, 1, 1), AT)).isPresent();
  }

  @Example
  void theLongestGoesThroughAndALongerOneDoesNot() {
    Pieces pieces = new Pieces();
    Outbox outbox = new Outbox();
    byte[] longest = message(new Random(2), Words.MESSAGE_MOST);
    assertThat(outbox.put(TO, longest)).isEmpty();
    outbox.put(TO, new byte[Words.MESSAGE_MOST + 1]);
    int whole = 0;
    int sent = 0;
    while (!outbox.isEmpty()) {
      for (Outbox.Piece piece : outbox.next()) {
        sent++;
        whole +=
            pieces
                    .taken(sender(1), piece.bytes(), AT)
                    .filter(one -> Arrays.equals(one, longest))
                    .isPresent()
                ? 1
                : 0;
      }
    }
    assertThat(whole).isEqualTo(1);
    assertThat(sent).isEqualTo(Outbox.ROUNDS * Pieces.PIECES_MOST);
  }

  /** At a fifth of loss, either way the same for all lengths: a short one is lost once in 125. */
  @Example
  void aFifthOfLossTakesFewMessages() {
    Random random = new Random(3);
    Pieces pieces = new Pieces();
    Outbox outbox = new Outbox();
    int[] whole = new int[2];
    for (int i = 0; i < 2_000; i++) {
      int pick = i % 2;
      List<Outbox.Piece> sent =
          new ArrayList<>(outbox.put(TO, message(random, 1 + pick * 10 * Pieces.PIECE)));
      while (!outbox.isEmpty()) {
        sent.addAll(outbox.next());
      }
      for (Outbox.Piece piece : sent) {
        if (random.nextInt(100) >= 20
            && pieces.taken(sender(1), piece.bytes(), AT.plusMillis(i)).isPresent()) {
          whole[pick]++;
        }
      }
    }
    assertThat(whole[0]).isBetween(980, 1_000);
    assertThat(whole[1]).isBetween(880, 940);
  }

  @Example
  void aPieceHasRoomInALetterOfTheLongestNames() {
    Address name = new Address("0000:0000:0000:0000:0000:0000:255.255.255.255", 65_535);
    Member longest = new Member(name, Long.MAX_VALUE);
    byte[] piece = Pieces.cut(new byte[Words.MESSAGE_MOST], Long.MAX_VALUE, 0);
    assertThat(
            Envelopes.write(Letter.of(longest, Long.MAX_VALUE, new Letter.Agreement(piece))).length)
        .isLessThanOrEqualTo(Envelopes.LARGEST);
  }
}
