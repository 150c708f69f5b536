package tamarindroute.members.agreed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Address;

/**
 * Owns the messages that are being sent, a few pieces at a time so that a receiver's buffer holds
 * them. Each goes three times in all: no piece is asked for again, and at a fifth of loss one in
 * 125 is lost three times. (Sent once, elections took minutes at that loss.) Messages have their
 * turns, a piece each. Where there is no room a message of one piece goes only once, and a longer
 * one is lost, as on a network; whoever waits for it asks again.
 */
final class FragmentSendQueue {

  static final int TRANSMISSIONS = 3;

  /**
   * At a time: 64 KiB, less than half of the smallest receive buffer that systems give by
   * themselves.
   */
  static final int BATCH_SIZE = 16;

  /**
   * The leader has long messages to six voters and to some members that are new; short ones stay
   * for 10 ms.
   */
  static final int MAX_QUEUED_MESSAGES = 256;

  static final int MAX_QUEUED_BYTES = 2 * AgreementMessageCodec.MAX_MESSAGE_BYTES;

  record Fragment(Address recipient, byte[] bytes) {}

  private static final class QueuedMessage {
    final Address recipient;
    final byte[] message;
    final long number;
    int nextIndex;

    QueuedMessage(Address recipient, byte[] message, long number) {
      this.recipient = recipient;
      this.message = message;
      this.number = number;
    }
  }

  private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
  private int queuedBytes;
  private long lastNumber;

  /**
   * Takes a message in. What comes back is to be sent at once: short ones do not wait for others.
   */
  List<Fragment> enqueue(Address recipient, byte[] message) {
    if (message.length == 0 || message.length > AgreementMessageCodec.MAX_MESSAGE_BYTES) {
      return List.of();
    }
    QueuedMessage queued = new QueuedMessage(recipient, message, ++lastNumber);
    List<Fragment> immediate =
        MessageFragmenter.fragmentCount(message) == 1 ? List.of(nextFragment(queued)) : List.of();
    if (queue.size() < MAX_QUEUED_MESSAGES && queuedBytes + message.length <= MAX_QUEUED_BYTES) {
      queuedBytes += message.length;
      queue.add(queued);
    }
    return immediate;
  }

  private static Fragment nextFragment(QueuedMessage queued) {
    return new Fragment(
        queued.recipient,
        MessageFragmenter.fragment(
            queued.message,
            queued.number,
            queued.nextIndex++ % MessageFragmenter.fragmentCount(queued.message)));
  }

  /** The next few pieces. */
  List<Fragment> nextBatch() {
    List<Fragment> batch = new ArrayList<>();
    while (batch.size() < BATCH_SIZE && !queue.isEmpty()) {
      QueuedMessage queued = queue.poll();
      batch.add(nextFragment(queued));
      if (queued.nextIndex < TRANSMISSIONS * MessageFragmenter.fragmentCount(queued.message)) {
        queue.add(queued);
      } else {
        queuedBytes -= queued.message.length;
      }
    }
    return batch;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }
}
