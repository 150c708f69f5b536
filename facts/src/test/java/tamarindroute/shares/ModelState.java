package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import tamarindroute.membership.Address;

/**
 * One state of the gateways that {@link QuotaModelChecker} explores. Immutable.
 *
 * @param inFlight messages on their way
 * @param leader index of the current or last leader; -1 for none yet
 * @param leadsUntil when the leadership ends
 */
record ModelState(
    List<Node> nodes,
    List<Message> inFlight,
    int leader,
    long term,
    Duration leadsUntil,
    Budget budget) {

  /** The current time of every state; later than any span. Ticks shift all other times back. */
  static final Duration NOW = Duration.ofHours(1);

  /**
   * What may still go wrong, and what bounds the messages.
   *
   * @param leaders changes of the leader
   * @param duplicates messages that arrive twice
   * @param maxInFlight most messages on their way
   * @param maxDelayTicks longest time on the way
   */
  record Budget(
      int pauses, int kills, int leaders, int duplicates, int maxInFlight, int maxDelayTicks) {

    Budget onePauseLess() {
      return new Budget(pauses - 1, kills, leaders, duplicates, maxInFlight, maxDelayTicks);
    }

    Budget oneKillLess() {
      return new Budget(pauses, kills - 1, leaders, duplicates, maxInFlight, maxDelayTicks);
    }

    Budget oneLeaderLess() {
      return new Budget(pauses, kills, leaders - 1, duplicates, maxInFlight, maxDelayTicks);
    }

    Budget oneDuplicateLess() {
      return new Budget(pauses, kills, leaders, duplicates - 1, maxInFlight, maxDelayTicks);
    }
  }

  /** One gateway: its holder, and its allocator, which counts while it leads. */
  record Node(LeaseHolder holder, QuotaAllocator allocator, boolean paused, boolean dead) {

    Node withHolder(LeaseHolder newHolder) {
      return new Node(newHolder, allocator, paused, dead);
    }

    Node withAllocator(QuotaAllocator newAllocator) {
      return new Node(holder, newAllocator, paused, dead);
    }

    Node withPaused(boolean newPaused) {
      return new Node(holder, allocator, newPaused, dead);
    }

    Node killed() {
      return new Node(holder, allocator, false, true);
    }
  }

  /**
   * A message on its way, or a refused connection.
   *
   * @param payload null for a refused connection
   * @param refusedBy index of the gateway whose host refused; -1 for a message
   * @param sentAt when the refused connection was attempted
   */
  record Message(int to, LeaseMessage payload, int refusedBy, Duration sentAt, int ageTicks) {

    static Message of(int to, LeaseMessage payload) {
      return new Message(to, payload, -1, NOW, 0);
    }

    static Message refusal(int to, int refusedBy) {
      return new Message(to, null, refusedBy, NOW, 0);
    }
  }

  static Address address(int index) {
    return new Address("g", index + 1);
  }

  static int index(Address address) {
    return address.port() - 1;
  }

  /** Returns what all live gateways may use together, paused ones included, in millionths. */
  long used() {
    return nodes.stream()
        .filter(node -> !node.dead)
        .mapToLong(node -> node.holder.usableShare(NOW).share())
        .sum();
  }

  boolean isLeadershipOver() {
    return NOW.compareTo(leadsUntil) >= 0;
  }

  ModelState withNode(int index, Node node) {
    return withNode(index, node, budget);
  }

  ModelState withNode(int index, Node node, Budget newBudget) {
    List<Node> updated = new ArrayList<>(nodes);
    updated.set(index, node);
    return new ModelState(updated, inFlight, leader, term, leadsUntil, newBudget);
  }

  ModelState withBudget(Budget newBudget) {
    return new ModelState(nodes, inFlight, leader, term, leadsUntil, newBudget);
  }

  /** Adds a message unless an equal one is on its way. */
  ModelState withMessage(Message message) {
    if (inFlight.contains(message)) {
      return this;
    }
    List<Message> updated = new ArrayList<>(inFlight);
    updated.add(message);
    return new ModelState(nodes, updated, leader, term, leadsUntil, budget);
  }

  ModelState withoutMessage(Message message) {
    List<Message> updated = new ArrayList<>(inFlight);
    updated.remove(message);
    return new ModelState(nodes, updated, leader, term, leadsUntil, budget);
  }

  /** Returns the allocator with other times and changed slots. */
  static QuotaAllocator withSlots(
      QuotaAllocator allocator,
      Duration allocatesFrom,
      Duration leadsUntil,
      UnaryOperator<LeaseSlot> change) {
    Map<Address, LeaseSlot> slots = new HashMap<>();
    allocator.slots().forEach((address, slot) -> slots.put(address, change.apply(slot)));
    return new QuotaAllocator(
        allocator.quota(), allocator.term(), allocatesFrom, leadsUntil, slots);
  }
}
