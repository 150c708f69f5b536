package tamarindroute.shares;

import java.time.Duration;
import java.util.TreeMap;

/** Moves all times of a {@link ModelState} back by one tick, as its current time stays the same. */
final class TimeShift {

  static final Duration TICK = Duration.ofMillis(100);

  /** Older times make no difference. */
  private static final Duration EARLIEST = ModelState.NOW.minus(TICK.multipliedBy(4));

  private TimeShift() {}

  static Duration earlier(Duration time) {
    if (time == null || time.equals(Duration.ZERO)) {
      return time;
    }
    Duration shifted = time.minus(TICK);
    return shifted.compareTo(EARLIEST) > 0 ? shifted : EARLIEST;
  }

  static LeaseHolder earlier(LeaseHolder holder) {
    TreeMap<Long, Duration> requestTimes = new TreeMap<>();
    holder.requestTimes().forEach((number, time) -> requestTimes.put(number, earlier(time)));
    return new LeaseHolder(
        holder.self(),
        holder.quota(),
        earlier(holder.startedAt()),
        holder.lastRequestNumber(),
        requestTimes,
        earlier(holder.lease()));
  }

  private static LeaseHolder.Lease earlier(LeaseHolder.Lease lease) {
    return lease == null
        ? null
        : new LeaseHolder.Lease(lease.requestNumber(), lease.share(), earlier(lease.expiresAt()));
  }

  static QuotaAllocator earlier(QuotaAllocator allocator) {
    return ModelState.withSlots(
        allocator,
        earlier(allocator.allocatesFrom()),
        earlier(allocator.leadsUntil()),
        TimeShift::earlier);
  }

  private static LeaseSlot earlier(LeaseSlot slot) {
    return new LeaseSlot(
        slot.incarnation(),
        earlier(slot.incarnationSeenAt()),
        slot.ended(),
        earlier(slot.provenEmptyAt()),
        slot.decommissioned(),
        earlier(slot.assumedEmptyUntil()),
        earlier(slot.lastRequestAt()),
        slot.grants().stream().map(TimeShift::earlier).toList());
  }

  private static LeaseSlot.LeaseGrant earlier(LeaseSlot.LeaseGrant grant) {
    return new LeaseSlot.LeaseGrant(
        grant.requestNumber(),
        grant.share(),
        earlier(grant.grantedAt()),
        earlier(grant.expiresAt()));
  }
}
