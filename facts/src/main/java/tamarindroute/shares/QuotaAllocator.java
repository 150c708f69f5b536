package tamarindroute.shares;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Allocation of a shared quota by one gateway. One gateway leads at a time, by agreement, and any
 * may become the leader. The fixed share of every configured gateway that is not proven to have
 * ended is reserved, since it uses that share once its lease ends or never comes; the rest is
 * allocated in equal parts to those that request it. Silence proves nothing. Immutable.
 *
 * @param term number of the leadership
 * @param allocatesFrom when allocation may begin: all leases of earlier leaders have ended by then
 * @param leadsUntil when the leadership ends unless it is renewed
 * @param slots the account of each configured address
 */
public record QuotaAllocator(
    SharedQuota quota,
    long term,
    Duration allocatesFrom,
    Duration leadsUntil,
    Map<Address, LeaseSlot> slots) {

  /**
   * Result of a message.
   *
   * @param allocator the state after the message
   * @param grant the response to the sender, or null
   */
  public record Step(QuotaAllocator allocator, LeaseMessage.Grant grant) {}

  /** Copies the slots. */
  public QuotaAllocator {
    slots = Map.copyOf(slots);
  }

  /**
   * Returns the state of a process that has just started, which allocates nothing.
   *
   * @throws IllegalArgumentException if there are not as many addresses as the quota has gateways:
   *     the fixed share of an address left out would not be reserved
   */
  public static QuotaAllocator initial(SharedQuota quota, Set<Address> configuredGateways) {
    if (configuredGateways.size() != quota.gateways()) {
      throw new IllegalArgumentException(
          configuredGateways.size()
              + " gateway addresses configured, quota requires "
              + quota.gateways());
    }
    Map<Address, LeaseSlot> slots = new HashMap<>();
    configuredGateways.forEach(address -> slots.put(address, LeaseSlot.NEVER_SEEN));
    return new QuotaAllocator(quota, 0, Duration.ZERO, Duration.ZERO, slots);
  }

  /**
   * Returns the state after this gateway was made or confirmed as leader. Unless it has led without
   * a break, another may have allocated meanwhile, and it waits for one lease duration.
   */
  public QuotaAllocator onLeadership(long newTerm, Duration until, Duration now) {
    if (newTerm == term && now.compareTo(leadsUntil) < 0) {
      Duration later = until.compareTo(leadsUntil) > 0 ? until : leadsUntil;
      return new QuotaAllocator(quota, term, allocatesFrom, later, slots);
    }
    Map<Address, LeaseSlot> fresh = new HashMap<>();
    slots.forEach((address, slot) -> fresh.put(address, slot.withoutGrants()));
    return new QuotaAllocator(quota, newTerm, now.plus(quota.leaseDuration()), until, fresh);
  }

  /** Returns the state after this gateway lost the leadership. */
  public QuotaAllocator onLeadershipLost(Duration now) {
    return new QuotaAllocator(quota, term, allocatesFrom, now, slots);
  }

  /** Returns whether shares may be allocated now. */
  public boolean canAllocate(Duration now) {
    return now.compareTo(allocatesFrom) >= 0 && now.compareTo(leadsUntil) < 0;
  }

  /** Returns the state after a host refused a connection, attempted at the given time. */
  public QuotaAllocator onConnectionRefused(Address address, Duration attemptedAt) {
    LeaseSlot slot = slots.get(address);
    return slot == null ? this : withSlot(address, slot.onProvenEmpty(attemptedAt));
  }

  /** Returns the state after operators agreed that nothing runs at an address, or withdrew that. */
  public QuotaAllocator onDecommissioned(Address address, boolean agreed) {
    LeaseSlot slot = slots.get(address);
    return slot == null ? this : withSlot(address, slot.withDecommissioned(agreed));
  }

  /** Returns the state after any sign of an incarnation; a later one ends its predecessor. */
  public QuotaAllocator onMemberSeen(Member member, Duration now) {
    LeaseSlot slot = slots.get(member.address());
    return slot == null
        ? this
        : withSlot(member.address(), slot.onIncarnationSeen(member.incarnation(), now));
  }

  /** Handles a message of a holder. */
  public Step onMessage(LeaseMessage message, Duration now) {
    Member holder = message.holder();
    QuotaAllocator next = onMemberSeen(holder, now);
    LeaseSlot slot = next.slots.get(holder.address());
    if (slot == null) {
      return new Step(this, null);
    }
    if (message instanceof LeaseMessage.Release release) {
      LeaseSlot released = slot.onRelease(holder.incarnation(), release.requestNumber());
      return new Step(next.withSlot(holder.address(), released), null);
    }
    if (message instanceof LeaseMessage.Leave leave) {
      LeaseSlot left = slot.onLeave(holder.incarnation(), leave.requestNumber());
      return new Step(next.withSlot(holder.address(), left), null);
    }
    boolean isCurrent = slot.isAlive() && holder.incarnation() == slot.incarnation();
    if (message instanceof LeaseMessage.Request request && isCurrent) {
      return next.onRequest(request, now);
    }
    return new Step(next, null);
  }

  private Step onRequest(LeaseMessage.Request request, Duration now) {
    Member holder = request.holder();
    LeaseSlot slot = slots.get(holder.address());
    QuotaAllocator next = withSlot(holder.address(), slot.onRequest(now));
    return canAllocate(now) && !slot.isFull()
        ? next.allocate(holder, request.requestNumber(), now)
        : new Step(next, null);
  }

  private Step allocate(Member holder, long requestNumber, Duration now) {
    LeaseSlot slot = slots.get(holder.address());
    Duration expiresAt = now.plus(quota.leaseDuration());
    long available = quota.limit() - claimedByOthers(holder.address(), now, expiresAt);
    long share = Math.min(equalShare(now, expiresAt), available);
    if (slot.isFixedShareReserved(now)) {
      share = Math.max(share, quota.fixedShare());
    }
    if (share <= 0) {
      return new Step(this, null);
    }
    Map<Address, LeaseSlot> updated = new HashMap<>();
    slots.forEach((address, other) -> updated.put(address, other.assumeEmpty(expiresAt, quota)));
    LeaseSlot.LeaseGrant grant = new LeaseSlot.LeaseGrant(requestNumber, share, now, expiresAt);
    updated.put(holder.address(), slot.addGrant(grant, now));
    return new Step(
        new QuotaAllocator(quota, term, allocatesFrom, leadsUntil, updated),
        new LeaseMessage.Grant(holder, requestNumber, share, quota.leaseDuration()));
  }

  /** Returns an equal part, of those that request, of what need not be reserved for others. */
  private long equalShare(Duration now, Duration until) {
    long reserved = 0;
    int sharing = 0;
    for (LeaseSlot slot : slots.values()) {
      if (slot.isSharing(now, quota)) {
        sharing++;
      } else {
        reserved += slot.maxUse(now, until, quota);
      }
    }
    return (quota.limit() - reserved) / sharing;
  }

  /** Returns what all others may use at most until then. */
  private long claimedByOthers(Address holder, Duration now, Duration until) {
    long claimed = 0;
    for (Map.Entry<Address, LeaseSlot> slot : slots.entrySet()) {
      if (!slot.getKey().equals(holder)) {
        claimed += slot.getValue().maxUse(now, until, quota);
      }
    }
    return claimed;
  }

  private QuotaAllocator withSlot(Address address, LeaseSlot slot) {
    Map<Address, LeaseSlot> updated = new HashMap<>(slots);
    updated.put(address, slot);
    return new QuotaAllocator(quota, term, allocatesFrom, leadsUntil, updated);
  }
}
