package tamarindroute.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns the exchange of all that is held, part by part, which heals what rumours missed. It must
 * never put more into one message than the settings tell, nor ask for more parts than there can be.
 */
final class StateExchange {

  /** Parts are drawn by hash: with so much room to spare few hold more than a message does. */
  private static final double PART_HEADROOM = 1.5;

  /** More parts than members that fit. */
  private static final int MAX_PARTS = 4_096;

  /**
   * A newcomer asks for so many parts a round; 5,000 members then take it a quarter of a minute.
   */
  private static final int PARTS_PER_ROUND = 4;

  private final StepContext context;
  private final OutboundMessages outbound;

  /** What a newcomer has not been told yet. */
  private BitSet missingParts = new BitSet();

  private int partCount;

  StateExchange(StepContext context, OutboundMessages outbound) {
    this.context = context;
    this.outbound = outbound;
  }

  StateExchange copy(StepContext other, OutboundMessages otherOutbound) {
    StateExchange copy = new StateExchange(other, otherOutbound);
    copy.missingParts = (BitSet) missingParts.clone();
    copy.partCount = partCount;
    return copy;
  }

  List<Object> stateKey() {
    return List.of(missingParts.toString(), partCount);
  }

  /** How many parts all that is held is told in. */
  int partCount() {
    return Math.min(
        MAX_PARTS,
        1
            + (int)
                (context.memberTable.size()
                    * PART_HEADROOM
                    / context.settings.maxUpdatesPerMessage()));
  }

  /** Everything is wanted, in so many parts. */
  void requestAll(long announcedCount) {
    partCount = (int) Math.max(1, Math.min(MAX_PARTS, announcedCount));
    missingParts.clear();
    missingParts.set(0, partCount);
  }

  void requestNothing() {
    missingParts.clear();
  }

  /** Asks for what is wanted, the next parts each round. */
  void requestMissing() {
    int part = missingParts.isEmpty() ? -1 : context.random.nextInt(partCount);
    for (int i = 0; i < PARTS_PER_ROUND && part >= 0; i++) {
      part =
          missingParts.nextSetBit(part) >= 0
              ? missingParts.nextSetBit(part)
              : missingParts.nextSetBit(0);
      request(part, partCount);
      part = (part + 1) % partCount;
    }
  }

  /** One part at random with one at random. */
  void exchangeRandomPart() {
    int totalParts = partCount();
    request(context.random.nextInt(totalParts), totalParts);
  }

  private void request(int part, int totalParts) {
    for (MemberEntry other : context.memberTable.randomAlive(1, null, context.random)) {
      outbound.send(
          Message.Kind.EXCHANGE,
          other.member,
          (long) part << 32 | totalParts,
          context.self,
          updatesOfPart(part, totalParts, Map.of()),
          false);
    }
  }

  /** Answers with what is held otherwise in this part. */
  void onRequest(Message message) {
    int part = (int) (message.requestId() >>> 32);
    int totalParts = (int) message.requestId();
    if (totalParts < 1 || totalParts > MAX_PARTS || part < 0 || part >= totalParts) {
      return;
    }
    Map<Address, MembershipUpdate> theirs = new HashMap<>();
    message.updates().forEach(update -> theirs.put(update.member().address(), update));
    outbound.send(
        Message.Kind.EXCHANGE_BACK,
        message.from(),
        message.requestId(),
        context.self,
        updatesOfPart(part, totalParts, theirs),
        false);
  }

  void onReply(Message message) {
    // A full answer may have left some out: asked again, it tells what is still held otherwise.
    if ((int) message.requestId() == partCount
        && message.updates().size() < context.settings.maxUpdatesPerMessage() - 2) {
      missingParts.clear((int) Math.max(0, Math.min(MAX_PARTS, message.requestId() >>> 32)));
    }
  }

  private List<MembershipUpdate> updatesOfPart(
      int part, int totalParts, Map<Address, MembershipUpdate> theirs) {
    List<MembershipUpdate> updates = new ArrayList<>();
    int skip = context.random.nextInt(2);
    for (MemberEntry entry : context.memberTable.entries()) {
      if (entry.state != MemberState.JOINING
          && Integer.remainderUnsigned(entry.hash, totalParts) == part
          && !isSame(entry, theirs.get(entry.member.address()))) {
        updates.add(entry.toUpdate(context.self.address()));
      }
    }
    int maxUpdates = context.settings.maxUpdatesPerMessage() - 2;
    // Of a part that is too long now its beginning goes, now its end.
    int start = skip * Math.max(0, updates.size() - maxUpdates);
    return updates.subList(start, Math.min(updates.size(), start + maxUpdates));
  }

  private static boolean isSame(MemberEntry entry, MembershipUpdate theirs) {
    return theirs != null
        && theirs.member().incarnation() == entry.member.incarnation()
        && theirs.state() == entry.state
        && theirs.refutation() == entry.refutation;
  }
}
