package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns what goes out: puts rumours on each message, first what is held of the one it goes to. It
 * must never send more a second than the settings tell; what has no room is as if it were lost.
 */
final class OutboundMessages {

  /**
   * What a message and a rumour take on the wire, sealed, with usual addresses: estimates, on the
   * high side.
   */
  static final int MESSAGE_BYTES = 110;

  static final int UPDATE_BYTES = 56;

  private final StepContext context;

  /** Said to everybody while others still hold something else of this one. */
  boolean attachSelfUpdate;

  OutboundMessages(StepContext context) {
    this.context = context;
  }

  OutboundMessages copy(StepContext other) {
    OutboundMessages copy = new OutboundMessages(other);
    copy.attachSelfUpdate = attachSelfUpdate;
    return copy;
  }

  void send(Message.Kind kind, Member recipient, long requestId, Member subject) {
    send(kind, recipient, requestId, subject, List.of(), true);
  }

  void send(
      Message.Kind kind,
      Member recipient,
      long requestId,
      Member subject,
      List<MembershipUpdate> firstUpdates,
      boolean fillFromQueue) {
    List<MembershipUpdate> updates = new ArrayList<>();
    MemberEntry entry = context.memberTable.find(recipient);
    if (entry != null && (entry.state == MemberState.SUSPECT || entry.state == MemberState.AWAY)) {
      // Whoever is suspected hears it first, from whoever speaks to it (Lifeguard's buddy system).
      updates.add(entry.toUpdate(context.self.address()));
    }
    if (attachSelfUpdate) {
      updates.add(context.selfUpdate());
    }
    updates.addAll(firstUpdates);
    int maxUpdates = context.settings.maxUpdatesPerMessage();
    boolean essential = kind != Message.Kind.GOSSIP && kind != Message.Kind.EXCHANGE;
    if (fillFromQueue && updates.size() < maxUpdates && !context.gossipQueue.isEmpty()) {
      updates.addAll(
          context.gossipQueue.takeForMessage(
              maxUpdates - updates.size(), context.memberTable.liveEntries().size()));
    }
    if (updates.size() > maxUpdates) {
      updates = updates.subList(0, maxUpdates);
    }
    if (context.room(estimatedBytes(updates.size()), essential)) {
      context.emit(
          new Action.Send(
              recipient.address(),
              new Message(
                  kind, context.self, recipient.incarnation(), requestId, subject, updates)));
    }
  }

  /** To an address whose life is not known. */
  void sendJoin(Address recipient, long requestId) {
    if (context.room(estimatedBytes(0), true)) {
      context.emit(
          new Action.Send(
              recipient,
              new Message(Message.Kind.JOIN, context.self, 0, requestId, context.self, List.of())));
    }
  }

  static int estimatedBytes(int updates) {
    return MESSAGE_BYTES + UPDATE_BYTES * updates;
  }
}
