package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import tamarindroute.agreement.raft.VoterTransport;
import tamarindroute.host.MonotonicClock;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;

/**
 * Carries messages of the agreement between members, in fragments. Messages to this member itself
 * use no socket.
 */
final class VoterMessageTransport implements VoterTransport {

  /** With the batch size about 12 MB a second, which a busy receiver can read. */
  private static final Duration BATCH_INTERVAL = Duration.ofMillis(5);

  private final Scheduler scheduler;
  private final Address self;
  private final BiConsumer<Address, byte[]> fragmentSender;
  private final BiConsumer<Address, byte[]> messageHandler;
  private final FragmentSendQueue sendQueue = new FragmentSendQueue();
  private final FragmentReassembler reassembler = new FragmentReassembler();
  private boolean sending;
  private boolean closed;

  /**
   * Creates a transport.
   *
   * @param fragmentSender sends one fragment to an address
   * @param messageHandler receives complete messages with their sender's address
   */
  VoterMessageTransport(
      Scheduler scheduler,
      Address self,
      BiConsumer<Address, byte[]> fragmentSender,
      BiConsumer<Address, byte[]> messageHandler) {
    this.scheduler = scheduler;
    this.self = self;
    this.fragmentSender = fragmentSender;
    this.messageHandler = messageHandler;
  }

  @Override
  public void send(Address recipient, byte[] message) {
    if (closed) {
      return;
    }
    if (recipient.equals(self)) {
      scheduler.execute(() -> messageHandler.accept(self, message));
      return;
    }
    sendAll(sendQueue.enqueue(recipient, message));
    if (!sending && !sendQueue.isEmpty()) {
      sending = true;
      sendNextBatch();
    }
  }

  private void sendNextBatch() {
    sending = !closed && !sendQueue.isEmpty();
    if (sending) {
      scheduler.schedule(BATCH_INTERVAL, this::sendNextBatch);
      sendAll(sendQueue.nextBatch());
    }
  }

  private void sendAll(List<FragmentSendQueue.Fragment> fragments) {
    for (FragmentSendQueue.Fragment fragment : fragments) {
      fragmentSender.accept(fragment.recipient(), fragment.bytes());
    }
  }

  void onFragment(Member from, byte[] fragment) {
    reassembler
        .onFragment(from, fragment, MonotonicClock.now())
        .ifPresent(message -> messageHandler.accept(from.address(), message));
  }

  /** Drops incomplete messages that are too old. */
  void expirePartialMessages() {
    reassembler.expire(MonotonicClock.now());
  }

  void close() {
    closed = true;
  }
}
