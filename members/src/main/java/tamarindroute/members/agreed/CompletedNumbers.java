package tamarindroute.members.agreed;

import java.util.BitSet;

/** Numbers of one sender's messages that were received completely, within a sliding window. */
final class CompletedNumbers {

  private static final int WINDOW = 1_024;

  private final BitSet received = new BitSet(WINDOW);
  private long latest;

  boolean contains(long number) {
    return !isBeforeWindow(number) && number <= latest && received.get(indexOf(number));
  }

  /** Whether a number is too old for the window, so that it is unknown whether it was received. */
  boolean isBeforeWindow(long number) {
    return number <= latest - WINDOW;
  }

  void add(long number) {
    if (number > latest) {
      advanceTo(number);
    }
    if (!isBeforeWindow(number)) {
      received.set(indexOf(number));
    }
  }

  private void advanceTo(long number) {
    if (number - latest >= WINDOW) {
      received.clear();
    } else {
      for (long skipped = latest + 1; skipped < number; skipped++) {
        received.clear(indexOf(skipped));
      }
    }
    latest = number;
  }

  private static int indexOf(long number) {
    return Math.floorMod(number, WINDOW);
  }
}
