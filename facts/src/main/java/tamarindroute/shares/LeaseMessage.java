package tamarindroute.shares;

import java.time.Duration;
import tamarindroute.membership.Member;

/**
 * Message between a lease holder and the allocator. May be delayed, duplicated, reordered or lost.
 */
public sealed interface LeaseMessage {

  /** Returns the holder that sent the message, or that it is for. */
  Member holder();

  /** Returns the number of the holder's request, which grows within its incarnation. */
  long requestNumber();

  /** A holder's request for a share. */
  record Request(Member holder, long requestNumber) implements LeaseMessage {}

  /**
   * The allocator's grant of a share, to be used in place of the fixed share.
   *
   * @param requestNumber number of the request that it answers; the lease is counted from the
   *     sending of that request
   * @param share granted share in millionths, see {@link SharedQuota}
   */
  record Grant(Member holder, long requestNumber, long share, Duration leaseDuration)
      implements LeaseMessage {}

  /** A holder's notice that it uses no share requested up to this number, now or later. */
  record Release(Member holder, long requestNumber) implements LeaseMessage {}

  /** A holder's notice that its incarnation uses nothing any more, sent before the process ends. */
  record Leave(Member holder, long requestNumber) implements LeaseMessage {}
}
