package tamarindroute.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Anti-entropy: exchanges the member table part by part, which repairs what gossip missed and fills
 * the table of a new member.
 */
final class StateExchange {

  /** Parts are selected by hash; with this headroom few exceed a message. */
  private static final double PART_HEADROOM = 1.5;

  /** A new member requests this many parts in each gossip round. */
  private static final int PARTS_PER_ROUND = 4;

  /** Updates of a message kept free for the receiver's own state and the sender's. */
  private static final int RESERVED_UPDATES = 2;

  private final StepContext context;
  private final OutboundMessages outbound;

  /** Parts that a new member has not received yet. */
  private final BitSet missingParts = new BitSet();

  /** How many parts {@link #missingParts} refers to. */
  private int requestedPartCount;

  StateExchange(StepContext context, OutboundMessages outbound) {
    this.context = context;
    this.outbound = outbound;
  }

  StateExchange copy(StepContext otherContext, OutboundMessages otherOutbound) {
    StateExchange copy = new StateExchange(otherContext, otherOutbound);
    copy.missingParts.or(missingParts);
    copy.requestedPartCount = requestedPartCount;
    return copy;
  }

  List<Object> stateKey() {
    return List.of(missingParts.toString(), requestedPartCount);
  }

  /** Number of parts that the own table is divided into. */
  int partCount() {
    double messages =
        context.memberTable.size() * PART_HEADROOM / context.settings.maxUpdatesPerMessage();
    return Math.min(ExchangePart.MAX_COUNT, 1 + (int) messages);
  }

  /** Starts to request the whole table of others, in the announced number of parts. */
  void requestAll(long announcedPartCount) {
    long bounded = Math.min(ExchangePart.MAX_COUNT, announcedPartCount);
    requestedPartCount = (int) Math.max(1, bounded);
    missingParts.clear();
    missingParts.set(0, requestedPartCount);
  }

  void requestNothing() {
    missingParts.clear();
  }

  /** Requests the next missing parts, starting at a random one. */
  void requestMissing() {
    if (missingParts.isEmpty()) {
      return;
    }
    int index = context.random.nextInt(requestedPartCount);
    for (int i = 0; i < PARTS_PER_ROUND; i++) {
      index = nextMissingFrom(index);
      request(new ExchangePart(index, requestedPartCount));
      index = (index + 1) % requestedPartCount;
    }
  }

  private int nextMissingFrom(int index) {
    int next = missingParts.nextSetBit(index);
    return next >= 0 ? next : missingParts.nextSetBit(0);
  }

  /** Exchanges a random part with a random member. */
  void exchangeRandomPart() {
    int count = partCount();
    request(new ExchangePart(context.random.nextInt(count), count));
  }

  private void request(ExchangePart part) {
    for (MemberEntry other : context.memberTable.randomAlive(1, null, context.random)) {
      outbound.sendOnly(
          Message.Kind.EXCHANGE, other.member, part.toRequestId(), differencesOf(part, Map.of()));
    }
  }

  /** Answers with the states of the requested part that differ from those of the sender. */
  void onRequest(Message message) {
    ExchangePart part = ExchangePart.fromRequestId(message.requestId());
    if (!part.isValid()) {
      return;
    }
    Map<Address, MembershipUpdate> theirs = new HashMap<>();
    message.updates().forEach(update -> theirs.put(update.member().address(), update));
    outbound.sendOnly(
        Message.Kind.EXCHANGE_REPLY,
        message.from(),
        message.requestId(),
        differencesOf(part, theirs));
  }

  /** Marks the part as received; its updates have been applied already. */
  void onReply(Message message) {
    ExchangePart part = ExchangePart.fromRequestId(message.requestId());
    // A full reply may have left some states out, so that part is requested again.
    boolean complete = message.updates().size() < maxUpdates();
    if (complete && part.isValid() && part.count() == requestedPartCount) {
      missingParts.clear(part.index());
    }
  }

  private List<MembershipUpdate> differencesOf(
      ExchangePart part, Map<Address, MembershipUpdate> theirs) {
    List<MembershipUpdate> updates = new ArrayList<>();
    boolean keepEnd = context.random.nextInt(2) == 1;
    for (MemberEntry entry : context.memberTable.entries()) {
      if (entry.state != MemberState.JOINING
          && part.contains(entry)
          && !isSame(entry, theirs.get(entry.member.address()))) {
        updates.add(entry.toUpdate(context.self.address()));
      }
    }
    // Of a part that is too long either its beginning or its end is sent.
    int start = keepEnd ? Math.max(0, updates.size() - maxUpdates()) : 0;
    return updates.subList(start, Math.min(updates.size(), start + maxUpdates()));
  }

  private int maxUpdates() {
    return context.settings.maxUpdatesPerMessage() - RESERVED_UPDATES;
  }

  private static boolean isSame(MemberEntry entry, MembershipUpdate theirs) {
    return theirs != null
        && theirs.member().incarnation() == entry.member.incarnation()
        && theirs.state() == entry.state
        && theirs.refutation() == entry.refutation;
  }
}
