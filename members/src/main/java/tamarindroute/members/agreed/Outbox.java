package tamarindroute.members.agreed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Address;

/**
 * Owns the messages that are being sent, a few pieces at a time so that a receiver's buffer holds
 * them. Each goes three times in all: no piece is asked for again, and at a fifth of loss one in
 * 125 is lost three times. (Sent once, elections took minutes at that loss.) Messages have their
 * turns, a piece each. Where there is no room a message of one piece goes only once, and a longer
 * one is lost, as on a network; whoever waits for it asks again.
 */
final class Outbox {

  static final int ROUNDS = 3;

  /**
   * At a time: 64 KiB, less than half of the smallest receive buffer that systems give by
   * themselves.
   */
  static final int AT_ONCE = 16;

  /**
   * The leader has long messages to six voters and to some members that are new; short ones stay
   * for 10 ms.
   */
  static final int MESSAGES_MOST = 256;

  static final int BYTES_MOST = 2 * Words.MESSAGE_MOST;

  record Piece(Address to, byte[] bytes) {}

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

  /**
   * Takes a message in. What comes back is to be sent at once: short ones do not wait for others.
   */
  List<Piece> put(Address to, byte[] message) {
    if (message.length == 0 || message.length > Words.MESSAGE_MOST) {
      return List.of();
    }
    Sending one = new Sending(to, message, ++numbers);
    List<Piece> now = Pieces.count(message) == 1 ? List.of(piece(one)) : List.of();
    if (sendings.size() < MESSAGES_MOST && bytes + message.length <= BYTES_MOST) {
      bytes += message.length;
      sendings.add(one);
    }
    return now;
  }

  private static Piece piece(Sending one) {
    return new Piece(
        one.to, Pieces.cut(one.message, one.number, one.next++ % Pieces.count(one.message)));
  }

  /** The next few pieces. */
  List<Piece> next() {
    List<Piece> pieces = new ArrayList<>();
    while (pieces.size() < AT_ONCE && !sendings.isEmpty()) {
      Sending one = sendings.poll();
      pieces.add(piece(one));
      if (one.next < ROUNDS * Pieces.count(one.message)) {
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
