package tamarindroute.facts;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import tamarindroute.membership.Address;

/**
 * Owns to whom an urgent fact is passed on by whoever hears it first. To all at once in small
 * fleets; else to a few, twice, a tenth of a second apart. Each that hears does the same, so that
 * after r rounds up to 12^r have it: three for 500.
 */
public final class FanoutPolicy {

  /** All of them get it at once up to here: 64 datagrams. */
  static final int DIRECT_LIMIT = 64;

  /**
   * Of those that heard of a push with 12 others each a share of e^-24 is missed by both, or e^-19
   * at 20% loss; lost ones are healed by exchange.
   */
  static final int FANOUT = 12;

  private FanoutPolicy() {}

  /**
   * To whom. The alive ones in the same order at each call.
   *
   * @param turn of the pushes of one fact, 0 and 1
   * @param seed of this member and this fact
   */
  public static List<Address> targets(List<Address> alive, Address self, long seed, int turn) {
    List<Address> others = new ArrayList<>(alive);
    others.remove(self);
    if (others.size() <= DIRECT_LIMIT) {
      return others;
    }
    List<Address> chosen = new ArrayList<>();
    for (int i = 0; i < FANOUT; i++) {
      // A further draw among those that are left, so that none is chosen twice.
      chosen.add(others.remove((int) (draw(seed, turn * FANOUT + i) % others.size())));
    }
    return chosen;
  }

  private static long draw(long seed, long count) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(count).flip());
    return crc.getValue();
  }
}
