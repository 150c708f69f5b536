package tamarindroute.members.agreed;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Member;

/**
 * Owns how a message that is longer than a datagram goes in numbered pieces and is put together
 * again. Pieces may be lost, late, doubled and out of order; a message comes out whole and once, or
 * not at all. What is kept of messages under way is bounded, by sender and together; of one
 * sender's too many its own oldest goes.
 */
final class MessageFragmenter {

  /**
   * With its head and a letter of the longest names it has room in a datagram (Envelopes.LARGEST,
   * 4,047 bytes).
   */
  static final int FRAGMENT_BYTES = 3_840;

  /** Number, place, count. */
  static final int HEADER_BYTES = Long.BYTES + 2 * Short.BYTES;

  static final int MAX_FRAGMENTS =
      (AgreementMessageCodec.MAX_MESSAGE_BYTES + FRAGMENT_BYTES - 1) / FRAGMENT_BYTES;

  /**
   * A voter has one long message under way to each other, a member one asking: more are those that
   * lost a piece.
   */
  static final int MAX_PARTIAL_PER_SENDER = 8;

  /** Of all senders together; the leader hears long messages of six voters at the most. */
  static final int MAX_PARTIAL = 64;

  /** Of all messages under way together: one of the longest, and what else there is. */
  static final int MAX_BUFFERED_BYTES = 2 * AgreementMessageCodec.MAX_MESSAGE_BYTES;

  /**
   * The longest message takes a second to be sent three times; whoever waits for it has asked again
   * by then.
   */
  static final Duration MAX_AGE = Duration.ofSeconds(10);

  /**
   * Of so many senders, those heard latest, it is known what came whole: all that ask within half a
   * second.
   */
  static final int MAX_SENDERS = 1_024;

  /** Numbers of one sender that are known one by one; its repeats come within some milliseconds. */
  private static final int NUMBER_WINDOW = 1_024;

  private record MessageKey(Member sender, long number) {}

  /** Which of one sender's latest messages came whole: each comes three times. */
  private static final class CompletedNumbers {
    private final BitSet received = new BitSet(NUMBER_WINDOW);
    private long latest;

    boolean contains(long number) {
      return number > latest - NUMBER_WINDOW
          && number <= latest
          && received.get(Math.floorMod(number, NUMBER_WINDOW));
    }

    boolean isBeforeWindow(long number) {
      return number <= latest - NUMBER_WINDOW;
    }

    void add(long number) {
      if (number > latest) {
        if (number - latest >= NUMBER_WINDOW) {
          received.clear();
        } else {
          for (long skipped = latest + 1; skipped < number; skipped++) {
            received.clear(Math.floorMod(skipped, NUMBER_WINDOW));
          }
        }
        latest = number;
      }
      if (!isBeforeWindow(number)) {
        received.set(Math.floorMod(number, NUMBER_WINDOW));
      }
    }
  }

  /** What has come of one message. */
  private static final class PartialMessage {
    final Duration startedAt;
    final byte[][] fragments;
    int missingCount;
    int receivedBytes;

    PartialMessage(int count, Duration startedAt) {
      this.fragments = new byte[count][];
      this.missingCount = count;
      this.startedAt = startedAt;
    }
  }

  private final Map<Member, CompletedNumbers> completedBySender =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Member, CompletedNumbers> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  /** In the order in which they began. */
  private final Map<MessageKey, PartialMessage> partialMessages = new LinkedHashMap<>();

  private int bufferedBytes;

  static int fragmentCount(byte[] message) {
    return (message.length + FRAGMENT_BYTES - 1) / FRAGMENT_BYTES;
  }

  /** One piece of a message, with its head. */
  static byte[] fragment(byte[] message, long number, int index) {
    int offset = index * FRAGMENT_BYTES;
    int length = Math.min(FRAGMENT_BYTES, message.length - offset);
    return ByteBuffer.allocate(HEADER_BYTES + length)
        .putLong(number)
        .putShort((short) index)
        .putShort((short) fragmentCount(message))
        .put(message, offset, length)
        .array();
  }

  /** A piece has come; the message if it is whole now. */
  Optional<byte[]> onFragment(Member sender, byte[] fragment, Duration now) {
    expire(now);
    ByteBuffer buffer = ByteBuffer.wrap(fragment);
    if (fragment.length <= HEADER_BYTES) {
      return Optional.empty();
    }
    MessageKey key = new MessageKey(sender, buffer.getLong());
    int index = buffer.getShort();
    int count = buffer.getShort();
    boolean last = index == count - 1;
    int length = buffer.remaining();
    if (index < 0
        || index >= count
        || count > MAX_FRAGMENTS
        || (last ? length > FRAGMENT_BYTES : length != FRAGMENT_BYTES)
        || key.number() <= 0) {
      return Optional.empty();
    }
    CompletedNumbers completed =
        completedBySender.computeIfAbsent(sender, one -> new CompletedNumbers());
    if (completed.contains(key.number()) || count == 1 && completed.isBeforeWindow(key.number())) {
      return Optional.empty();
    }
    byte[] body = new byte[length];
    buffer.get(body);
    Optional<byte[]> message =
        count == 1 ? Optional.of(body) : addFragment(key, index, count, body, now);
    message.ifPresent(it -> completed.add(key.number()));
    return message;
  }

  private Optional<byte[]> addFragment(
      MessageKey key, int index, int count, byte[] body, Duration now) {
    PartialMessage message = partialMessages.get(key);
    if (message == null) {
      makeRoom(key.sender());
      message = new PartialMessage(count, now);
      partialMessages.put(key, message);
    }
    if (message.fragments.length != count || message.fragments[index] != null) {
      return Optional.empty();
    }
    message.fragments[index] = body;
    message.missingCount--;
    message.receivedBytes += body.length;
    bufferedBytes += body.length;
    if (message.missingCount == 0) {
      partialMessages.remove(key);
      bufferedBytes -= message.receivedBytes;
      return Optional.of(join(message));
    }
    for (Iterator<PartialMessage> iterator = partialMessages.values().iterator();
        bufferedBytes > MAX_BUFFERED_BYTES && iterator.hasNext(); ) {
      drop(iterator.next(), iterator);
    }
    return Optional.empty();
  }

  private static byte[] join(PartialMessage message) {
    ByteBuffer joined = ByteBuffer.allocate(message.receivedBytes);
    for (byte[] body : message.fragments) {
      joined.put(body);
    }
    return joined.array();
  }

  /** Room for one more of this sender. */
  private void makeRoom(Member sender) {
    long ofSender =
        partialMessages.keySet().stream().filter(one -> one.sender().equals(sender)).count();
    Iterator<Map.Entry<MessageKey, PartialMessage>> iterator =
        partialMessages.entrySet().iterator();
    while (iterator.hasNext()
        && (ofSender >= MAX_PARTIAL_PER_SENDER || partialMessages.size() >= MAX_PARTIAL)) {
      Map.Entry<MessageKey, PartialMessage> one = iterator.next();
      boolean fromSender = one.getKey().sender().equals(sender);
      if (fromSender || ofSender < MAX_PARTIAL_PER_SENDER) {
        ofSender -= fromSender ? 1 : 0;
        drop(one.getValue(), iterator);
      }
    }
  }

  /** Lets go of what is too old to become whole. */
  void expire(Duration now) {
    Iterator<PartialMessage> iterator = partialMessages.values().iterator();
    while (iterator.hasNext()) {
      PartialMessage oldest = iterator.next();
      if (now.minus(oldest.startedAt).compareTo(MAX_AGE) < 0) {
        return;
      }
      drop(oldest, iterator);
    }
  }

  private void drop(PartialMessage message, Iterator<?> at) {
    at.remove();
    bufferedBytes -= message.receivedBytes;
  }

  /** Bytes held of messages that are not whole. */
  int bufferedBytes() {
    return bufferedBytes;
  }

  int partialMessages() {
    return partialMessages.size();
  }
}
