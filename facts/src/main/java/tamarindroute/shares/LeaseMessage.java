package tamarindroute.shares;

import java.time.Duration;
import tamarindroute.membership.Member;

/**
 * What a holder and its dealer say to each other. It may be late, doubled, out of order or lost.
 */
public sealed interface LeaseMessage {

  Member holder();

  /** Of the holder's asking, growing within its life. */
  long requestNumber();

  record Request(Member holder, long requestNumber) implements LeaseMessage {}

  /**
   * A part, to be used in place of the fixed share.
   *
   * @param requestNumber of the asking that it answers: the holder counts the length from there
   */
  record Grant(Member holder, long requestNumber, long share, Duration leaseDuration)
      implements LeaseMessage {}

  /** Nothing that was asked for up to this number is used any more, nor will be. */
  record Release(Member holder, long requestNumber) implements LeaseMessage {}

  /**
   * As giving back, and this life uses nothing any more at all: it was told before the process
   * ends.
   */
  record Leave(Member holder, long requestNumber) implements LeaseMessage {}
}
