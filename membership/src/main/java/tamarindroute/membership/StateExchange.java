package tamarindroute.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Anti-entropy state exchange. Members exchange their tables part by part, which delivers updates
 * that gossip missed and fills the table of a new member.
 */
final class StateExchange {

  /**
   * Ratio of the updates that fit into a message to the average size of a part. Sizes vary, because
   * members are assigned to parts by hash. With this ratio few parts exceed a message.
   */
  private static final double PART_HEADROOM = 1.5;

  /**
   * Number of parts that a new member requests in each gossip round. It receives 5,000 members in
   * about 15 seconds.
   */
  private static final int PARTS_PER_ROUND = 4;

  /** Updates of a message that are reserved for the states of the receiver and of the sender. */
  private static final int RESERVED_UPDATES = 2;

  private final StepContext context;
  private final OutboundMessages outbound;

  /** Parts that a new member has not received yet. */
  private final BitSet missingParts = new BitSet();

  /** Number of parts into which the requested table is divided. */
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

  /** Returns the number of parts into which the local table is divided. */
  int partCount() {
    double messages =
        context.memberTable.size() * PART_HEADROOM / context.settings.maxUpdatesPerMessage();
    return Math.min(ExchangePart.MAX_COUNT, 1 + (int) messages);
  }

  /**
   * Starts to request the whole table from other members.
   *
   * @param announcedPartCount number of parts announced by a seed; bounded here
   */
  void requestAll(long announcedPartCount) {
    long bounded = Math.min(ExchangePart.MAX_COUNT, announcedPartCount);
    requestedPartCount = (int) Math.max(1, bounded);
    missingParts.clear();
    missingParts.set(0, requestedPartCount);
  }

  /** Stops requesting missing parts. */
  void cancelRequests() {
    missingParts.clear();
  }

  /** Requests the next missing parts from random members, starting at a random part. */
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

  /** Starts an exchange of a random part with a random member. */
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

  /** Answers with the states of the requested part that differ from those in the request. */
  void onRequest(Message message) {
    ExchangePart part = ExchangePart.fromRequestId(message.requestId());
    if (!part.isValid()) {
      return;
    }
    Map<Address, MembershipUpdate> statesOfSender = new HashMap<>();
    message.updates().forEach(update -> statesOfSender.put(update.member().address(), update));
    outbound.sendOnly(
        Message.Kind.EXCHANGE_REPLY,
        message.from(),
        message.requestId(),
        differencesOf(part, statesOfSender));
  }

  /** Marks the part as received. Its updates have already been applied to the table. */
  void onReply(Message message) {
    ExchangePart part = ExchangePart.fromRequestId(message.requestId());
    // A full reply may lack some states, so its part is requested again to get the rest.
    boolean complete = message.updates().size() < maxUpdates();
    if (complete && part.isValid() && part.count() == requestedPartCount) {
      missingParts.clear(part.index());
    }
  }

  private List<MembershipUpdate> differencesOf(
      ExchangePart part, Map<Address, MembershipUpdate> statesOfOther) {
    List<MembershipUpdate> updates = new ArrayList<>();
    boolean sendEnd = context.random.nextInt(2) == 1;
    for (MemberEntry entry : context.memberTable.entries()) {
      if (entry.state != MemberState.JOINING
          && part.contains(entry)
          && !isSame(entry, statesOfOther.get(entry.member.address()))) {
        updates.add(entry.toUpdate(context.self.address()));
      }
    }
    // If the part does not fit into a message, either its beginning or its end is sent, at random,
    // so that repeated requests receive all of it.
    int start = sendEnd ? Math.max(0, updates.size() - maxUpdates()) : 0;
    return updates.subList(start, Math.min(updates.size(), start + maxUpdates()));
  }

  private int maxUpdates() {
    return context.settings.maxUpdatesPerMessage() - RESERVED_UPDATES;
  }

  private static boolean isSame(MemberEntry entry, MembershipUpdate update) {
    return update != null
        && update.member().incarnation() == entry.member.incarnation()
        && update.state() == entry.state
        && update.refutation() == entry.refutation;
  }
}
