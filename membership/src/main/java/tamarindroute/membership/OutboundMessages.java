package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Builds outgoing messages and piggybacks updates on them. A message that would exceed the send
 * rate is dropped, as if it were lost on the network.
 */
final class OutboundMessages {

  /** Estimated size of an authenticated message without updates, rounded up, in bytes. */
  static final int MESSAGE_BYTES = 110;

  /** Estimated size of one update with an address of usual length, rounded up, in bytes. */
  static final int UPDATE_BYTES = 56;

  private final StepContext context;
  private boolean attachSelfUpdate;

  OutboundMessages(StepContext context) {
    this.context = context;
  }

  OutboundMessages copy(StepContext otherContext) {
    OutboundMessages copy = new OutboundMessages(otherContext);
    copy.attachSelfUpdate = attachSelfUpdate;
    return copy;
  }

  /**
   * Sets whether each message carries an update that the local member is alive, because other
   * members may regard it as suspect or faulty.
   */
  void setAttachSelfUpdate(boolean attach) {
    attachSelfUpdate = attach;
  }

  boolean attachesSelfUpdate() {
    return attachSelfUpdate;
  }

  /** Sends a message with the local member as subject, filled up with queued updates. */
  void send(Message.Kind kind, Member recipient, long requestId) {
    send(kind, recipient, requestId, context.self);
  }

  /** Sends a message with the given subject, filled up with queued updates. */
  void send(Message.Kind kind, Member recipient, long requestId, Member subject) {
    sendFilledUp(kind, recipient, requestId, subject, List.of());
  }

  /** Sends a message with the given subject and updates, filled up with queued updates. */
  void sendFilledUp(
      Message.Kind kind,
      Member recipient,
      long requestId,
      Member subject,
      List<MembershipUpdate> firstUpdates) {
    List<MembershipUpdate> updates = updatesFor(recipient, firstUpdates);
    int free = context.settings.maxUpdatesPerMessage() - updates.size();
    if (free > 0 && !context.gossipQueue.isEmpty()) {
      int memberCount = context.memberTable.liveEntries().size();
      updates.addAll(context.gossipQueue.takeForMessage(free, memberCount));
    }
    emit(kind, recipient, requestId, subject, updates);
  }

  /** Sends a message with the local member as subject, the given updates and no queued ones. */
  void sendOnly(
      Message.Kind kind, Member recipient, long requestId, List<MembershipUpdate> updates) {
    emit(kind, recipient, requestId, context.self, updatesFor(recipient, updates));
  }

  /** Requests admission from a seed, whose incarnation need not be known. */
  void sendJoin(Address seed) {
    long requestId = context.nextRequestId();
    if (tryAcquire(0, true)) {
      Message join =
          new Message(Message.Kind.JOIN, context.self, 0, requestId, context.self, List.of());
      context.emit(new Action.Send(seed, join));
    }
  }

  /** Returns updates about the recipient and the local member, if needed, before the given ones. */
  private List<MembershipUpdate> updatesFor(
      Member recipient, List<MembershipUpdate> furtherUpdates) {
    List<MembershipUpdate> updates = new ArrayList<>();
    MemberEntry entry = context.memberTable.find(recipient);
    if (entry != null && isAccusedState(entry.state)) {
      // Informs the suspected member first, so that it can refute (Lifeguard's buddy system).
      updates.add(entry.toUpdate(context.self.address()));
    }
    if (attachSelfUpdate) {
      updates.add(context.selfUpdate());
    }
    updates.addAll(furtherUpdates);
    return updates;
  }

  private static boolean isAccusedState(MemberState state) {
    return state == MemberState.SUSPECT || state == MemberState.FAULTY;
  }

  private void emit(
      Message.Kind kind,
      Member recipient,
      long requestId,
      Member subject,
      List<MembershipUpdate> updates) {
    int count = Math.min(updates.size(), context.settings.maxUpdatesPerMessage());
    boolean essential = kind != Message.Kind.GOSSIP && kind != Message.Kind.EXCHANGE;
    if (!tryAcquire(count, essential)) {
      return;
    }
    Message message =
        new Message(
            kind,
            context.self,
            recipient.incarnation(),
            requestId,
            subject,
            updates.subList(0, count));
    context.emit(new Action.Send(recipient.address(), message));
  }

  private boolean tryAcquire(int updateCount, boolean essential) {
    return context.sendRateLimiter.tryAcquire(
        estimatedBytes(updateCount), essential, context.nowNanos);
  }

  /** Returns the estimated size in bytes of a message with the given number of updates. */
  static int estimatedBytes(int updateCount) {
    return MESSAGE_BYTES + UPDATE_BYTES * updateCount;
  }
}
