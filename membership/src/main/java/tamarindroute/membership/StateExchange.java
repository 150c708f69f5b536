package tamarindroute.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Anti-entropy state exchange: delivers updates that gossip missed and fills the table of a new
 * member.
 *
 * <p>The member table is divided into parts by the hash of the members, see {@link ExchangePart}. A
 * request for a part contains the requester's own states of that part. The reply contains those
 * states of the replying member that differ from them.
 */
final class StateExchange {

  /**
   * Ratio of the number of updates that fit into a message to the average number of members in a
   * part. Part sizes vary because members are assigned to parts by hash. With this ratio few parts
   * have more members than fit into a message.
   */
  private static final double PART_HEADROOM = 1.5;

  /**
   * Number of parts that a new member requests in each gossip round. A new member receives the
   * states of 5,000 members in about 15 seconds.
   */
  private static final int PARTS_PER_ROUND = 4;

  /** Updates in each message that are reserved for the states of its receiver and its sender. */
  private static final int RESERVED_UPDATES = 2;

  private final StepContext context;
  private final OutboundMessages outbound;

  /** Parts that a new member has not received yet. */
  private final BitSet missingParts = new BitSet();

  /** Number of parts in which the whole table is requested; 0 before {@link #requestAll}. */
  private int requestedPartCount;

  StateExchange(StepContext context, OutboundMessages outbound) {
    this.context = context;
    this.outbound = outbound;
  }

  /** Returns a copy that works on the given copies of the other components. */
  StateExchange copy(StepContext otherContext, OutboundMessages otherOutbound) {
    StateExchange copy = new StateExchange(otherContext, otherOutbound);
    copy.missingParts.or(missingParts);
    copy.requestedPartCount = requestedPartCount;
    return copy;
  }

  /** Returns the state that determines future behaviour, for a model checker. */
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
   * Marks all parts as missing, so that {@link #requestMissing} requests them from other members.
   *
   * @param announcedPartCount number of parts announced by the member that admitted this one; any
   *     value, limited here to 1 to {@link ExchangePart#MAX_COUNT}
   */
  void requestAll(long announcedPartCount) {
    long bounded = Math.min(ExchangePart.MAX_COUNT, announcedPartCount);
    requestedPartCount = (int) Math.max(1, bounded);
    missingParts.clear();
    missingParts.set(0, requestedPartCount);
  }

  /** Marks no part as missing, so that none is requested any more. */
  void cancelRequests() {
    missingParts.clear();
  }

  /**
   * Requests {@link #PARTS_PER_ROUND} missing parts, each from a random member, starting at a
   * random part. Requests a part several times if fewer are missing.
   */
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

  /** Returns the first missing part from an index on, continuing at 0 after the last part. */
  private int nextMissingFrom(int index) {
    int next = missingParts.nextSetBit(index);
    return next >= 0 ? next : missingParts.nextSetBit(0);
  }

  /** Starts an exchange of a random part with a random member. */
  void exchangeRandomPart() {
    int count = partCount();
    request(new ExchangePart(context.random.nextInt(count), count));
  }

  /** Sends the local states of a part to a random member, which replies with its differing ones. */
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

  /**
   * Marks the part of a reply as received if the reply is complete. The updates in the message have
   * already been applied to the table.
   */
  void onReply(Message message) {
    ExchangePart part = ExchangePart.fromRequestId(message.requestId());
    // A full reply may lack some states, so its part is requested again to get the rest.
    boolean complete = message.updates().size() < maxUpdates();
    if (complete && part.isValid() && part.count() == requestedPartCount) {
      missingParts.clear(part.index());
    }
  }

  /** Returns the local states of a part that differ from the given ones of another member. */
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
