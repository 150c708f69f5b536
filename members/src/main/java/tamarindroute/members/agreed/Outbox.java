package tamarindroute.members.agreed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Address;

/**
 * Owns the long messages that are being sent, a few pieces at a time so that a receiver's buffer holds them. Each goes
 * three times in all: of its pieces none is asked for again, and at a fifth of loss one in 125 is lost three times.
 * Messages have their turns, a piece each. What has no room is lost, as on a network; whoever waits for it asks again.
 */
final class Outbox {

    static final int ROUNDS = 3;
    /** At a time: 64 KiB, less than half of the smallest receive buffer that systems give by themselves. */
    static final int AT_ONCE = 16;
    /** The leader has long messages to six voters and to some members that are new. */
    static final int MESSAGES_MOST = 64;
    static final int BYTES_MOST = 2 * Words.MESSAGE_MOST;

    record Piece(Address to, byte[] bytes) { }

    private static final class Sending {
        final Address to;
        final byte[] message;
        final long number;
        int next;

        Sending(Address to, byte[] message, long number) {
            this.to = to;
            this.message = message;
            this.number = number;
        }
    }

    private final ArrayDeque<Sending> sendings = new ArrayDeque<>();
    private int bytes;
    private long numbers;

    /** Takes a message in. One of a single piece comes back, to be sent at once and once. */
    List<Piece> put(Address to, byte[] message) {
        if (Pieces.count(message) == 1) {
            return List.of(new Piece(to, Pieces.cut(message, ++numbers, 0)));
        }
        if (message.length > 0 && message.length <= Words.MESSAGE_MOST && sendings.size() < MESSAGES_MOST
                && bytes + message.length <= BYTES_MOST) {
            bytes += message.length;
            sendings.add(new Sending(to, message, ++numbers));
        }
        return List.of();
    }

    /** The next few pieces. */
    List<Piece> next() {
        List<Piece> pieces = new ArrayList<>();
        while (pieces.size() < AT_ONCE && !sendings.isEmpty()) {
            Sending one = sendings.poll();
            int count = Pieces.count(one.message);
            pieces.add(new Piece(one.to, Pieces.cut(one.message, one.number, one.next++ % count)));
            if (one.next < ROUNDS * count) {
                sendings.add(one);
            } else {
                bytes -= one.message.length;
            }
        }
        return pieces;
    }

    boolean isEmpty() {
        return sendings.isEmpty();
    }
}
