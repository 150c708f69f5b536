package tamarindroute.facts;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import tamarindroute.membership.Address;

/**
 * Chooses the members to whom an urgent fact is pushed by each member that receives it for the
 * first time: all of them in a small fleet, otherwise a random few, twice. After r rounds up to
 * 12^r members have it.
 */
public final class FanoutPolicy {

  /** Fleets of up to so many other members are addressed directly. */
  static final int DIRECT_LIMIT = 64;

  /**
   * Targets per push in larger fleets. With two pushes per member a share of about e^-24 of the
   * members is missed, e^-19 at 20% message loss; these are reached by the next exchange.
   */
  static final int FANOUT = 12;

  private FanoutPolicy() {}

  /**
   * Returns the targets of a push.
   *
   * @param alive members that are alive, in the same order at each call
   * @param seed identifies this member and the fact
   * @param turn number of the push of one fact: 0 or 1
   */
  public static List<Address> targets(List<Address> alive, Address self, long seed, int turn) {
    List<Address> candidates = new ArrayList<>(alive);
    candidates.remove(self);
    if (candidates.size() <= DIRECT_LIMIT) {
      return candidates;
    }
    List<Address> targets = new ArrayList<>();
    for (int i = 0; i < FANOUT; i++) {
      int index = (int) (draw(seed, turn * FANOUT + i) % candidates.size());
      targets.add(candidates.remove(index));
    }
    return targets;
  }

  private static long draw(long seed, long counter) {
    ByteBuffer input = ByteBuffer.allocate(2 * Long.BYTES);
    input.putLong(seed).putLong(counter).flip();
    CRC32 crc = new CRC32();
    crc.update(input);
    return crc.getValue();
  }
}
