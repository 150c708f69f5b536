package tamarindroute.members.agreed;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Member;

/**
 * Reassembles messages from fragments that may be lost, late, duplicated or out of order. Returns
 * each message once at most.
 *
 * <p>What is buffered is bounded for each sender and in all. A sender with too many incomplete
 * messages loses its own oldest one.
 */
final class FragmentReassembler {

  /** Incomplete messages of one sender; it sends one long message at a time. */
  static final int MAX_PARTIAL_PER_SENDER = 8;

  /** Incomplete messages of all senders. */
  static final int MAX_PARTIAL = 64;

  static final int MAX_BUFFERED_BYTES = 2 * AgreementMessageCodec.MAX_MESSAGE_BYTES;

  /** The longest message takes a second to be sent; its receiver asks again before this. */
  static final Duration MAX_AGE = Duration.ofSeconds(10);

  /** Senders whose completed messages are remembered: those heard from latest. */
  static final int MAX_SENDERS = 1_024;

  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private record MessageKey(Member sender, long number) {}

  /** The fragments of one message received so far. */
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

    boolean accepts(int index, int count) {
      return fragments.length == count && fragments[index] == null;
    }

    void add(int index, byte[] body) {
      fragments[index] = body;
      missingCount--;
      receivedBytes += body.length;
    }

    byte[] join() {
      ByteBuffer joined = ByteBuffer.allocate(receivedBytes);
      for (byte[] body : fragments) {
        joined.put(body);
      }
      return joined.array();
    }
  }

  private final Map<Member, CompletedNumbers> completedBySender =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Member, CompletedNumbers> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  /** In the order of their first fragments. */
  private final Map<MessageKey, PartialMessage> partialMessages = new LinkedHashMap<>();

  private int bufferedBytes;

  /** Adds a fragment; returns the message if it is complete. Ignores invalid fragments. */
  Optional<byte[]> onFragment(Member sender, byte[] fragment, Duration now) {
    expire(now);
    if (fragment.length <= MessageFragmenter.HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(fragment);
    MessageKey key = new MessageKey(sender, buffer.getLong());
    int index = buffer.getShort();
    int count = buffer.getShort();
    if (key.number() <= 0 || !isValid(index, count, buffer.remaining())) {
      return Optional.empty();
    }
    CompletedNumbers completed =
        completedBySender.computeIfAbsent(sender, member -> new CompletedNumbers());
    boolean tooOld = count == 1 && completed.isBeforeWindow(key.number());
    if (tooOld || completed.contains(key.number())) {
      return Optional.empty();
    }
    byte[] body = new byte[buffer.remaining()];
    buffer.get(body);
    Optional<byte[]> message =
        count == 1 ? Optional.of(body) : addFragment(key, index, count, body, now);
    if (message.isPresent()) {
      completed.add(key.number());
    }
    return message;
  }

  private static boolean isValid(int index, int count, int length) {
    if (index < 0 || index >= count || count > MessageFragmenter.MAX_FRAGMENTS) {
      return false;
    }
    boolean last = index == count - 1;
    return last
        ? length <= MessageFragmenter.FRAGMENT_BYTES
        : length == MessageFragmenter.FRAGMENT_BYTES;
  }

  private Optional<byte[]> addFragment(
      MessageKey key, int index, int count, byte[] body, Duration now) {
    PartialMessage message = partialMessages.get(key);
    if (message == null) {
      makeRoom(key.sender());
      message = new PartialMessage(count, now);
      partialMessages.put(key, message);
    }
    if (!message.accepts(index, count)) {
      return Optional.empty();
    }
    message.add(index, body);
    bufferedBytes += body.length;
    if (message.missingCount == 0) {
      partialMessages.remove(key);
      bufferedBytes -= message.receivedBytes;
      return Optional.of(message.join());
    }
    dropOldestBeyondBytes();
    return Optional.empty();
  }

  private void dropOldestBeyondBytes() {
    Iterator<PartialMessage> oldestFirst = partialMessages.values().iterator();
    while (bufferedBytes > MAX_BUFFERED_BYTES && oldestFirst.hasNext()) {
      drop(oldestFirst.next(), oldestFirst);
    }
  }

  /** Drops messages until there is room for one more of this sender, its own ones first. */
  private void makeRoom(Member sender) {
    long ofSender =
        partialMessages.keySet().stream().filter(key -> key.sender().equals(sender)).count();
    Iterator<Map.Entry<MessageKey, PartialMessage>> oldestFirst =
        partialMessages.entrySet().iterator();
    while (oldestFirst.hasNext()
        && (ofSender >= MAX_PARTIAL_PER_SENDER || partialMessages.size() >= MAX_PARTIAL)) {
      Map.Entry<MessageKey, PartialMessage> entry = oldestFirst.next();
      boolean fromSender = entry.getKey().sender().equals(sender);
      if (fromSender || ofSender < MAX_PARTIAL_PER_SENDER) {
        ofSender -= fromSender ? 1 : 0;
        drop(entry.getValue(), oldestFirst);
      }
    }
  }

  /** Drops incomplete messages that are too old. */
  void expire(Duration now) {
    Iterator<PartialMessage> oldestFirst = partialMessages.values().iterator();
    while (oldestFirst.hasNext()) {
      PartialMessage oldest = oldestFirst.next();
      if (now.minus(oldest.startedAt).compareTo(MAX_AGE) < 0) {
        return;
      }
      drop(oldest, oldestFirst);
    }
  }

  private void drop(PartialMessage message, Iterator<?> position) {
    position.remove();
    bufferedBytes -= message.receivedBytes;
  }

  /** Bytes of all incomplete messages. */
  int bufferedBytes() {
    return bufferedBytes;
  }

  /** Number of incomplete messages. */
  int partialMessageCount() {
    return partialMessages.size();
  }
}
