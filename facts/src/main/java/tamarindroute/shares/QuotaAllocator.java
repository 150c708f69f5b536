package tamarindroute.shares;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Owns what one dealer has dealt. There is one at a time, by agreement; each gateway may become it.
 * It keeps back the fixed share of each told gateway that is not proven to be gone, for that is
 * what it uses when its lease ends or never comes; what is left is dealt in equal parts to those
 * that ask. Silence proves nothing. Immutable.
 *
 * @param allocatesFrom when it may begin: all that others dealt before is over by then
 * @param leadsUntil when its leadership ends, unless told again; asked at the moment of dealing
 */
public record QuotaAllocator(
    SharedQuota quota,
    long term,
    Duration allocatesFrom,
    Duration leadsUntil,
    Map<Address, LeaseSlot> slots) {

  /** What follows, and the answer, or null. */
  public record Step(QuotaAllocator allocator, LeaseMessage.Grant grant) {}

  public QuotaAllocator {
    slots = Map.copyOf(slots);
  }

  /** Of a process that has just started: it deals nothing. */
  public static QuotaAllocator initial(SharedQuota quota, Set<Address> configuredGateways) {
    if (configuredGateways.size() != quota.gateways()) {
      // The fixed share of one that is not told of would not be kept back.
      throw new IllegalArgumentException(
          "told of " + configuredGateways.size() + " of " + quota.gateways());
    }
    Map<Address, LeaseSlot> slots = new HashMap<>();
    configuredGateways.forEach(one -> slots.put(one, LeaseSlot.NEVER_SEEN));
    return new QuotaAllocator(quota, 0, Duration.ZERO, Duration.ZERO, slots);
  }

  /**
   * Leads until then. Unless it did so without a break, another may have dealt meanwhile: it waits
   * for a whole length.
   */
  public QuotaAllocator onLeadership(long number, Duration end, Duration now) {
    if (number == term && now.compareTo(leadsUntil) < 0) {
      return new QuotaAllocator(
          quota, term, allocatesFrom, end.compareTo(leadsUntil) > 0 ? end : leadsUntil, slots);
    }
    Map<Address, LeaseSlot> fresh = new HashMap<>();
    slots.forEach((address, slot) -> fresh.put(address, slot.withoutGrants()));
    return new QuotaAllocator(quota, number, now.plus(quota.leaseDuration()), end, fresh);
  }

  public QuotaAllocator onLeadershipLost(Duration now) {
    return new QuotaAllocator(quota, term, allocatesFrom, now, slots);
  }

  public boolean canAllocate(Duration now) {
    return now.compareTo(allocatesFrom) >= 0 && now.compareTo(leadsUntil) < 0;
  }

  /** The machine refused, so that nobody listened there at some time after this asking was sent. */
  public QuotaAllocator onConnectionRefused(Address address, Duration sent) {
    LeaseSlot slot = slots.get(address);
    return slot == null ? this : withSlot(address, slot.onProvenEmpty(sent));
  }

  /** By agreed word of an operator nothing runs there, nor will until the word is taken back. */
  public QuotaAllocator onDecommissioned(Address address, boolean agreed) {
    LeaseSlot slot = slots.get(address);
    return slot == null ? this : withSlot(address, slot.decommissioned(agreed));
  }

  /** Any sign of a later life ends the former one. */
  public QuotaAllocator onMemberSeen(Member member, Duration now) {
    LeaseSlot slot = slots.get(member.address());
    return slot == null
        ? this
        : withSlot(member.address(), slot.onIncarnationSeen(member.incarnation(), now));
  }

  public Step onMessage(LeaseMessage message, Duration now) {
    Member member = message.holder();
    QuotaAllocator next = onMemberSeen(member, now);
    LeaseSlot slot = next.slots.get(member.address());
    if (slot == null) {
      return new Step(this, null);
    }
    if (message instanceof LeaseMessage.Release back) {
      return new Step(
          next.withSlot(
              member.address(), slot.onRelease(member.incarnation(), back.requestNumber())),
          null);
    }
    if (message instanceof LeaseMessage.Leave leave) {
      return new Step(
          next.withSlot(
              member.address(), slot.onLeave(member.incarnation(), leave.requestNumber())),
          null);
    }
    if (!(message instanceof LeaseMessage.Request)
        || !slot.isAlive()
        || member.incarnation() != slot.incarnation()) {
      return new Step(next, null);
    }
    next = next.withSlot(member.address(), slot.onRequest(now));
    return canAllocate(now) && !slot.isFull()
        ? next.allocate(member, message.requestNumber(), now)
        : new Step(next, null);
  }

  private Step allocate(Member member, long number, Duration now) {
    LeaseSlot slot = slots.get(member.address());
    Duration end = now.plus(quota.leaseDuration());
    long part =
        Math.min(equalShare(now, end), quota.limit() - claimedByOthers(member.address(), now, end));
    if (slot.isFixedShareReserved(now)) {
      part = Math.max(part, quota.fixedShare());
    }
    if (part <= 0) {
      return new Step(this, null);
    }
    Map<Address, LeaseSlot> more = new HashMap<>();
    slots.forEach((address, one) -> more.put(address, one.assumeEmpty(end, quota)));
    more.put(member.address(), slot.grants(new LeaseSlot.LeaseGrant(number, part, now, end), now));
    return new Step(
        new QuotaAllocator(quota, term, allocatesFrom, leadsUntil, more),
        new LeaseMessage.Grant(member, number, part, quota.leaseDuration()));
  }

  /** An equal part, of those that ask, of all that need not be kept back for others. */
  private long equalShare(Duration now, Duration end) {
    long reserved = 0;
    int holders = 0;
    for (LeaseSlot one : slots.values()) {
      if (one.isSharing(now, quota)) {
        holders++;
      } else {
        reserved += one.maxUse(now, end, quota);
      }
    }
    return (quota.limit() - reserved) / holders;
  }

  /** What all others may use at most until then. */
  private long claimedByOthers(Address asking, Duration now, Duration end) {
    return slots.entrySet().stream()
        .filter(one -> !one.getKey().equals(asking))
        .mapToLong(one -> one.getValue().maxUse(now, end, quota))
        .sum();
  }

  private QuotaAllocator withSlot(Address address, LeaseSlot slot) {
    Map<Address, LeaseSlot> more = new HashMap<>(slots);
    more.put(address, slot);
    return new QuotaAllocator(quota, term, allocatesFrom, leadsUntil, more);
  }
}
