package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.function.BiConsumer;
import tamarindroute.agreement.raft.VoterTransport;
import tamarindroute.host.MonotonicClock;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;

/**
 * Takes messages of the agreement to others in letters, and puts together what comes; to oneself
 * goes by no socket.
 */
final class VoterMessageTransport implements VoterTransport {

  /**
   * Between two handfuls of pieces: 12 MB a second, which a receiver that serves views beside
   * takes.
   */
  private static final Duration BATCH_INTERVAL = Duration.ofMillis(5);

  private final Scheduler scheduler;
  private final Address self;
  private final BiConsumer<Address, byte[]> sendPayload;
  private final BiConsumer<Address, byte[]> onMessage;
  private final FragmentSendQueue sendQueue = new FragmentSendQueue();
  private final MessageFragmenter fragmenter = new MessageFragmenter();
  private boolean sending;
  private boolean closed;

  /**
   * Carries for one.
   *
   * @param sendPayload sends one letter's bytes
   * @param onMessage takes a message that has come
   */
  VoterMessageTransport(
      Scheduler scheduler,
      Address self,
      BiConsumer<Address, byte[]> sendPayload,
      BiConsumer<Address, byte[]> onMessage) {
    this.scheduler = scheduler;
    this.self = self;
    this.sendPayload = sendPayload;
    this.onMessage = onMessage;
  }

  @Override
  public void send(Address recipient, byte[] message) {
    if (closed) {
      return;
    }
    if (recipient.equals(self)) {
      scheduler.execute(() -> onMessage.accept(self, message));
      return;
    }
    sendQueue
        .enqueue(recipient, message)
        .forEach(fragment -> sendPayload.accept(fragment.recipient(), fragment.bytes()));
    if (!sending && !sendQueue.isEmpty()) {
      sending = true;
      sendNextBatch();
    }
  }

  private void sendNextBatch() {
    sending = !closed && !sendQueue.isEmpty();
    if (sending) {
      scheduler.schedule(BATCH_INTERVAL, this::sendNextBatch);
      sendQueue
          .nextBatch()
          .forEach(fragment -> sendPayload.accept(fragment.recipient(), fragment.bytes()));
    }
  }

  void onFragment(Member from, byte[] fragment) {
    fragmenter
        .onFragment(from, fragment, MonotonicClock.now())
        .ifPresent(message -> onMessage.accept(from.address(), message));
  }

  /** Lets go of pieces whose others never came. */
  void expirePartialMessages() {
    fragmenter.expire(MonotonicClock.now());
  }

  void close() {
    closed = true;
  }
}
