package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.membership.Address;
import tamarindroute.shares.ModelState.Message;
import tamarindroute.shares.ModelState.Node;

/**
 * Reduces states with equal futures to the same state: drops what cannot matter any more, and
 * replaces request numbers by their order.
 */
final class StateNormalizer {

  private final SharedQuota quota;
  private final QuotaAllocator fresh;

  /**
   * Creates a normalizer.
   *
   * @param fresh the allocator of a process that has just started
   */
  StateNormalizer(SharedQuota quota, QuotaAllocator fresh) {
    this.quota = quota;
    this.fresh = fresh;
  }

  ModelState normalize(ModelState state) {
    List<Node> trimmed = new ArrayList<>();
    for (int i = 0; i < state.nodes().size(); i++) {
      trimmed.add(trim(state.nodes().get(i), i == state.leader()));
    }
    List<Map<Long, Long>> ranks = new ArrayList<>();
    for (int i = 0; i < trimmed.size(); i++) {
      ranks.add(requestRanks(trimmed, state.inFlight(), i));
    }
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < trimmed.size(); i++) {
      nodes.add(rank(trimmed.get(i), ranks.get(i), ranks));
    }
    List<Message> inFlight = new ArrayList<>();
    state.inFlight().forEach(message -> inFlight.add(rank(message, ranks)));
    if (inFlight.size() > 1) {
      inFlight.sort(Comparator.comparing(Message::toString));
    }
    return new ModelState(
        nodes, inFlight, state.leader(), state.term(), state.leadsUntil(), state.budget());
  }

  private static boolean isOver(Duration end) {
    return end.compareTo(ModelState.NOW) <= 0;
  }

  private Node trim(Node node, boolean isLeader) {
    QuotaAllocator allocator = node.dead() || !isLeader ? fresh : trim(node.allocator());
    return new Node(trim(node.holder(), node.dead()), allocator, node.paused(), node.dead());
  }

  /** A grant that answers a request older than one lease is over when it arrives. */
  private LeaseHolder trim(LeaseHolder holder, boolean dead) {
    TreeMap<Long, Duration> requestTimes = new TreeMap<>();
    LeaseHolder.Lease lease = null;
    if (!dead) {
      requestTimes.putAll(holder.requestTimes());
      requestTimes.values().removeIf(time -> isOver(time.plus(quota.leaseDuration())));
      boolean isValid = holder.lease() != null && !isOver(holder.lease().expiresAt());
      lease = isValid ? holder.lease() : null;
    }
    return new LeaseHolder(
        holder.self(), quota, holder.startedAt(), holder.lastRequestNumber(), requestTimes, lease);
  }

  private QuotaAllocator trim(QuotaAllocator allocator) {
    return ModelState.withSlots(
        allocator, allocator.allocatesFrom(), allocator.leadsUntil(), this::trim);
  }

  private LeaseSlot trim(LeaseSlot slot) {
    Duration provenEmptyAt = slot.provenEmptyAt();
    if (provenEmptyAt != null && isOver(provenEmptyAt.plus(quota.quietPeriod()))) {
      provenEmptyAt = null;
    }
    boolean requestIsOld = isOver(slot.lastRequestAt().plus(quota.leaseDuration()));
    return new LeaseSlot(
        slot.incarnation(),
        slot.incarnationSeenAt(),
        slot.ended(),
        provenEmptyAt,
        slot.decommissioned(),
        isOver(slot.assumedEmptyUntil()) ? Duration.ZERO : slot.assumedEmptyUntil(),
        requestIsOld ? Duration.ZERO : slot.lastRequestAt(),
        slot.grants().stream().filter(grant -> !isOver(grant.expiresAt())).toList());
  }

  /** Returns the rank of each request number of one gateway that occurs anywhere in the state. */
  private static Map<Long, Long> requestRanks(List<Node> nodes, List<Message> inFlight, int index) {
    Address address = ModelState.address(index);
    LeaseHolder holder = nodes.get(index).holder();
    TreeSet<Long> numbers = new TreeSet<>(holder.requestTimes().keySet());
    if (holder.lease() != null) {
      numbers.add(holder.lease().requestNumber());
    }
    for (Message message : inFlight) {
      if (message.payload() != null && message.payload().holder().address().equals(address)) {
        numbers.add(message.payload().requestNumber());
      }
    }
    for (Node node : nodes) {
      LeaseSlot slot = node.allocator().slots().get(address);
      slot.grants().forEach(grant -> numbers.add(grant.requestNumber()));
    }
    Map<Long, Long> ranks = new HashMap<>();
    numbers.forEach(number -> ranks.put(number, ranks.size() + 1L));
    return ranks;
  }

  @SuppressWarnings("ReferenceEquality") // A shortcut: fresh allocators hold no numbers.
  private Node rank(Node node, Map<Long, Long> ownRanks, List<Map<Long, Long>> ranks) {
    QuotaAllocator allocator = node.allocator() == fresh ? fresh : rank(node.allocator(), ranks);
    return new Node(rank(node.holder(), ownRanks), allocator, node.paused(), node.dead());
  }

  private LeaseHolder rank(LeaseHolder holder, Map<Long, Long> ranks) {
    TreeMap<Long, Duration> requestTimes = new TreeMap<>();
    holder.requestTimes().forEach((number, time) -> requestTimes.put(ranks.get(number), time));
    LeaseHolder.Lease lease = holder.lease();
    if (lease != null) {
      lease =
          new LeaseHolder.Lease(ranks.get(lease.requestNumber()), lease.share(), lease.expiresAt());
    }
    return new LeaseHolder(
        holder.self(), quota, holder.startedAt(), ranks.size(), requestTimes, lease);
  }

  private QuotaAllocator rank(QuotaAllocator allocator, List<Map<Long, Long>> ranks) {
    Map<Address, LeaseSlot> slots = new HashMap<>();
    allocator
        .slots()
        .forEach(
            (address, slot) ->
                slots.put(address, rank(slot, ranks.get(ModelState.index(address)))));
    return new QuotaAllocator(
        quota, allocator.term(), allocator.allocatesFrom(), allocator.leadsUntil(), slots);
  }

  private static LeaseSlot rank(LeaseSlot slot, Map<Long, Long> ranks) {
    List<LeaseSlot.LeaseGrant> grants = new ArrayList<>();
    for (LeaseSlot.LeaseGrant grant : slot.grants()) {
      grants.add(
          new LeaseSlot.LeaseGrant(
              ranks.get(grant.requestNumber()),
              grant.share(),
              grant.grantedAt(),
              grant.expiresAt()));
    }
    return new LeaseSlot(
        slot.incarnation(),
        slot.incarnationSeenAt(),
        slot.ended(),
        slot.provenEmptyAt(),
        slot.decommissioned(),
        slot.assumedEmptyUntil(),
        slot.lastRequestAt(),
        List.copyOf(grants));
  }

  private static Message rank(Message message, List<Map<Long, Long>> ranks) {
    if (message.payload() == null) {
      return message;
    }
    Address address = message.payload().holder().address();
    LeaseMessage ranked = rank(message.payload(), ranks.get(ModelState.index(address)));
    return new Message(message.to(), ranked, -1, ModelState.NOW, message.ageTicks());
  }

  private static LeaseMessage rank(LeaseMessage message, Map<Long, Long> ranks) {
    long rank = ranks.get(message.requestNumber());
    if (message instanceof LeaseMessage.Grant grant) {
      return new LeaseMessage.Grant(grant.holder(), rank, grant.share(), grant.leaseDuration());
    }
    if (message instanceof LeaseMessage.Request) {
      return new LeaseMessage.Request(message.holder(), rank);
    }
    if (message instanceof LeaseMessage.Leave) {
      return new LeaseMessage.Leave(message.holder(), rank);
    }
    return new LeaseMessage.Release(message.holder(), rank);
  }
}
