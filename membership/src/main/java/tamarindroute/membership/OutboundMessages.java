package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Builds outgoing messages and piggybacks updates on them. A message that exceeds the send rate is
 * dropped, as if lost on the network.
 */
final class OutboundMessages {

  /** Estimated bytes on the wire of a sealed message without updates, on the high side. */
  static final int MESSAGE_BYTES = 110;

  /** Estimated bytes on the wire of one update, on the high side. */
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

  /** Whether every message says that this member is alive, because others may doubt it. */
  void setAttachSelfUpdate(boolean attach) {
    attachSelfUpdate = attach;
  }

  boolean attachesSelfUpdate() {
    return attachSelfUpdate;
  }

  /** Sends a message about this member, filled up with queued updates. */
  void send(Message.Kind kind, Member recipient, long requestId) {
    send(kind, recipient, requestId, context.self);
  }

  /** Sends a message about the given member, filled up with queued updates. */
  void send(Message.Kind kind, Member recipient, long requestId, Member subject) {
    sendFilledUp(kind, recipient, requestId, subject, List.of());
  }

  /** Sends a message with the given updates, filled up with queued ones. */
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

  /** Sends a message about this member with the given updates and no queued ones. */
  void sendOnly(
      Message.Kind kind, Member recipient, long requestId, List<MembershipUpdate> updates) {
    emit(kind, recipient, requestId, context.self, updatesFor(recipient, updates));
  }

  /** Asks a seed, whose incarnation is not known, for admission. */
  void sendJoin(Address seed) {
    long requestId = context.nextRequestId();
    if (tryAcquire(0, true)) {
      Message join =
          new Message(Message.Kind.JOIN, context.self, 0, requestId, context.self, List.of());
      context.emit(new Action.Send(seed, join));
    }
  }

  private List<MembershipUpdate> updatesFor(Member recipient, List<MembershipUpdate> others) {
    List<MembershipUpdate> updates = new ArrayList<>();
    MemberEntry entry = context.memberTable.find(recipient);
    if (entry != null && isAccusedState(entry.state)) {
      // The accused hears of it first, and can refute it (Lifeguard's buddy system).
      updates.add(entry.toUpdate(context.self.address()));
    }
    if (attachSelfUpdate) {
      updates.add(context.selfUpdate());
    }
    updates.addAll(others);
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

  /** Estimated bytes on the wire of a message with this many updates. */
  static int estimatedBytes(int updateCount) {
    return MESSAGE_BYTES + UPDATE_BYTES * updateCount;
  }
}
