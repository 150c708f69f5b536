package tamarindroute.shares;

import java.time.Duration;
import tamarindroute.membership.Member;

/**
 * What a holder and its dealer say to each other. It may be late, doubled, out of order or lost.
 */
public sealed interface Word {

  Member holder();

  /** Of the holder's asking, growing within its life. */
  long number();

  record Ask(Member holder, long number) implements Word {}

  /**
   * A part, to be used in place of the fixed share.
   *
   * @param number of the asking that it answers: the holder counts the length from there
   */
  record Grant(Member holder, long number, long part, Duration length) implements Word {}

  /** Nothing that was asked for up to this number is used any more, nor will be. */
  record GiveBack(Member holder, long number) implements Word {}

  /**
   * As giving back, and this life uses nothing any more at all: it was told before the process
   * ends.
   */
  record Leave(Member holder, long number) implements Word {}
}
