package tamarindroute.members.agreed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Address;

/**
 * Queue of messages that are being sent as fragments, a few at a time so that a receiver's socket
 * buffer holds them. The messages take turns, a fragment each.
 *
 * <p>Each fragment is sent {@link #TRANSMISSIONS} times, as lost ones are not requested again. If
 * the queue is full, a message of one fragment is sent once and a longer one is dropped.
 */
final class FragmentSendQueue {

  static final int TRANSMISSIONS = 3;

  /** 64 KiB at a time, less than half of the smallest default receive buffer. */
  static final int BATCH_SIZE = 16;

  static final int MAX_QUEUED_MESSAGES = 256;
  static final int MAX_QUEUED_BYTES = 2 * AgreementMessageCodec.MAX_MESSAGE_BYTES;

  /**
   * A fragment to be sent.
   *
   * @param recipient where to
   * @param bytes the fragment with its header
   */
  // Instances are never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record Fragment(Address recipient, byte[] bytes) {}

  private static final class QueuedMessage {
    final Address recipient;
    final byte[] message;
    final long number;
    final int fragmentCount;
    int sentCount;

    QueuedMessage(Address recipient, byte[] message, long number) {
      this.recipient = recipient;
      this.message = message;
      this.number = number;
      this.fragmentCount = MessageFragmenter.fragmentCount(message);
    }

    Fragment nextFragment() {
      int index = sentCount % fragmentCount;
      sentCount++;
      return new Fragment(recipient, MessageFragmenter.fragment(message, number, index));
    }

    boolean isDone() {
      return sentCount >= TRANSMISSIONS * fragmentCount;
    }
  }

  private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
  private int queuedBytes;
  private long lastNumber;

  /**
   * Adds a message; ignores one that is empty or too long.
   *
   * @return fragments to be sent at once, so that short messages do not wait for others
   */
  List<Fragment> enqueue(Address recipient, byte[] message) {
    if (message.length == 0 || message.length > AgreementMessageCodec.MAX_MESSAGE_BYTES) {
      return List.of();
    }
    lastNumber++;
    QueuedMessage queued = new QueuedMessage(recipient, message, lastNumber);
    List<Fragment> immediate =
        queued.fragmentCount == 1 ? List.of(queued.nextFragment()) : List.of();
    if (queue.size() < MAX_QUEUED_MESSAGES && queuedBytes + message.length <= MAX_QUEUED_BYTES) {
      queuedBytes += message.length;
      queue.add(queued);
    }
    return immediate;
  }

  /** Takes the next fragments to be sent. */
  List<Fragment> nextBatch() {
    List<Fragment> batch = new ArrayList<>();
    while (batch.size() < BATCH_SIZE && !queue.isEmpty()) {
      QueuedMessage queued = queue.poll();
      batch.add(queued.nextFragment());
      if (queued.isDone()) {
        queuedBytes -= queued.message.length;
      } else {
        queue.add(queued);
      }
    }
    return batch;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }
}
