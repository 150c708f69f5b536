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

    private record Come(Member from, byte[] bytes) { }

    /** A message comes out as it was, once, or not at all; without loss each does, in whatever order its pieces come. */
    @Property(seed = "28", tries = 300)
    void messagesComeOutWholeAndOnceOrNot(@ForAll @IntRange(max = 1 << 30) int seed,
            @ForAll @IntRange(max = 30) int loss) {
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

    /** Whoever has the key and sends noise, or starts what it never ends, takes no more than the bounds tell. */
    @Property(seed = "29", tries = 200)
    void whatIsKeptIsBounded(@ForAll @IntRange(max = 1 << 30) int seed) {
        Random random = new Random(seed);
        Pieces pieces = new Pieces();
        byte[] longest = new byte[Words.MESSAGE_MOST];
        for (int i = 0; i < 300; i++) {
            byte[] piece = random.nextInt(4) == 0 ? message(random, random.nextInt(Pieces.HEAD + Pieces.PIECE + 2))
                    : Pieces.cut(longest, random.nextInt(200), random.nextInt(Pieces.PIECES_MOST - 1));
            pieces.taken(sender(random.nextInt(40)), piece, AT.plusMillis(i));
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
        for (int i = 0; i < 500; i++) {
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
                whole += pieces.taken(sender(1), piece.bytes(), AT).filter(one -> Arrays.equals(one, longest)).isPresent()
                        ? 1 : 0;
            }
        }
        assertThat(whole).isEqualTo(1);
        assertThat(sent).isEqualTo(Outbox.ROUNDS * Pieces.PIECES_MOST);
    }

    @Example
    void aPieceHasRoomInALetterOfTheLongestNames() {
        Member longest = new Member(new Address("0000:0000:0000:0000:0000:0000:255.255.255.255", 65_535), Long.MAX_VALUE);
        byte[] piece = Pieces.cut(new byte[Words.MESSAGE_MOST], Long.MAX_VALUE, 0);
        assertThat(Envelopes.write(Letter.of(longest, Long.MAX_VALUE, new Letter.Agreement(piece))).length)
                .isLessThanOrEqualTo(Envelopes.LARGEST);
    }
}
