package tamarindroute.members.agreed;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Member;

/**
 * Owns how a message that is longer than a datagram goes in numbered pieces and is put together
 * again. Pieces may be lost, late, doubled and out of order; a message comes out whole and once, or
 * not at all. What is kept of messages under way is bounded, by sender and together; of one
 * sender's too many its own oldest goes.
 */
final class Pieces {

  /**
   * With its head and a letter of the longest names it has room in a datagram (Envelopes.LARGEST,
   * 4,047 bytes).
   */
  static final int PIECE = 3_840;

  /** Number, place, count. */
  static final int HEAD = Long.BYTES + 2 * Short.BYTES;

  static final int PIECES_MOST = (Words.MESSAGE_MOST + PIECE - 1) / PIECE;

  /**
   * A voter has one long message under way to each other, a member one asking: more are those that
   * lost a piece.
   */
  static final int UNDER_WAY_MOST = 8;

  /** Of all senders together; the leader hears long messages of six voters at the most. */
  static final int ALL_MOST = 64;

  /** Of all messages under way together: one of the longest, and what else there is. */
  static final int BYTES_MOST = 2 * Words.MESSAGE_MOST;

  /**
   * The longest message takes a second to be sent three times; whoever waits for it has asked again
   * by then.
   */
  static final Duration AGE_MOST = Duration.ofSeconds(10);

  /**
   * Of so many senders, those heard latest, it is known what came whole: all that ask within half a
   * second.
   */
  static final int SENDERS_MOST = 1_024;

  /** Numbers of one sender that are known one by one; its repeats come within some milliseconds. */
  private static final int NUMBERS = 1_024;

  private record Key(Member sender, long number) {}

  /** Which of one sender's latest messages came whole: each comes three times. */
  private static final class Whole {
    private final BitSet numbers = new BitSet(NUMBERS);
    private long latest;

    boolean has(long number) {
      return number > latest - NUMBERS
          && number <= latest
          && numbers.get(Math.floorMod(number, NUMBERS));
    }

    boolean isOld(long number) {
      return number <= latest - NUMBERS;
    }

    void add(long number) {
      if (number > latest) {
        if (number - latest >= NUMBERS) {
          numbers.clear();
        } else {
          for (long passed = latest + 1; passed < number; passed++) {
            numbers.clear(Math.floorMod(passed, NUMBERS));
          }
        }
        latest = number;
      }
      if (!isOld(number)) {
        numbers.set(Math.floorMod(number, NUMBERS));
      }
    }
  }

  /** What has come of one message. */
  private static final class Message {
    final Duration begun;
    final byte[][] parts;
    int missing;
    int bytes;

    Message(int count, Duration begun) {
      this.parts = new byte[count][];
      this.missing = count;
      this.begun = begun;
    }
  }

  private final Map<Member, Whole> whole =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Member, Whole> eldest) {
          return size() > SENDERS_MOST;
        }
      };

  /** In the order in which they began. */
  private final Map<Key, Message> underWay = new LinkedHashMap<>();

  private int bytes;

  static int count(byte[] message) {
    return (message.length + PIECE - 1) / PIECE;
  }

  /** One piece of a message, with its head. */
  static byte[] cut(byte[] message, long number, int place) {
    int from = place * PIECE;
    int length = Math.min(PIECE, message.length - from);
    return ByteBuffer.allocate(HEAD + length)
        .putLong(number)
        .putShort((short) place)
        .putShort((short) count(message))
        .put(message, from, length)
        .array();
  }

  /** A piece has come; the message if it is whole now. */
  Optional<byte[]> taken(Member sender, byte[] piece, Duration now) {
    age(now);
    ByteBuffer words = ByteBuffer.wrap(piece);
    if (piece.length <= HEAD) {
      return Optional.empty();
    }
    Key key = new Key(sender, words.getLong());
    int place = words.getShort();
    int count = words.getShort();
    boolean last = place == count - 1;
    int length = words.remaining();
    if (place < 0
        || place >= count
        || count > PIECES_MOST
        || (last ? length > PIECE : length != PIECE)
        || key.number() <= 0) {
      return Optional.empty();
    }
    Whole before = whole.computeIfAbsent(sender, one -> new Whole());
    if (before.has(key.number()) || count == 1 && before.isOld(key.number())) {
      return Optional.empty();
    }
    byte[] part = new byte[length];
    words.get(part);
    Optional<byte[]> message = count == 1 ? Optional.of(part) : put(key, place, count, part, now);
    message.ifPresent(it -> before.add(key.number()));
    return message;
  }

  private Optional<byte[]> put(Key key, int place, int count, byte[] part, Duration now) {
    Message message = underWay.get(key);
    if (message == null) {
      room(key.sender());
      message = new Message(count, now);
      underWay.put(key, message);
    }
    if (message.parts.length != count || message.parts[place] != null) {
      return Optional.empty();
    }
    message.parts[place] = part;
    message.missing--;
    message.bytes += part.length;
    bytes += part.length;
    if (message.missing == 0) {
      underWay.remove(key);
      bytes -= message.bytes;
      return Optional.of(joined(message));
    }
    for (Iterator<Message> all = underWay.values().iterator();
        bytes > BYTES_MOST && all.hasNext(); ) {
      drop(all.next(), all);
    }
    return Optional.empty();
  }

  private static byte[] joined(Message message) {
    ByteBuffer joined = ByteBuffer.allocate(message.bytes);
    for (byte[] part : message.parts) {
      joined.put(part);
    }
    return joined.array();
  }

  /** Room for one more of this sender. */
  private void room(Member sender) {
    long own = underWay.keySet().stream().filter(one -> one.sender().equals(sender)).count();
    Iterator<Map.Entry<Key, Message>> all = underWay.entrySet().iterator();
    while (all.hasNext() && (own >= UNDER_WAY_MOST || underWay.size() >= ALL_MOST)) {
      Map.Entry<Key, Message> one = all.next();
      boolean its = one.getKey().sender().equals(sender);
      if (its || own < UNDER_WAY_MOST) {
        own -= its ? 1 : 0;
        drop(one.getValue(), all);
      }
    }
  }

  /** Lets go of what is too old to become whole. */
  void age(Duration now) {
    Iterator<Message> all = underWay.values().iterator();
    while (all.hasNext()) {
      Message oldest = all.next();
      if (now.minus(oldest.begun).compareTo(AGE_MOST) < 0) {
        return;
      }
      drop(oldest, all);
    }
  }

  private void drop(Message message, Iterator<?> at) {
    at.remove();
    bytes -= message.bytes;
  }

  /** Bytes held of messages that are not whole. */
  int held() {
    return bytes;
  }

  int underWay() {
    return underWay.size();
  }
}
