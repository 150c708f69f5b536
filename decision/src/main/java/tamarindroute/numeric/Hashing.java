package tamarindroute.numeric;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Hash functions for object placement, and pseudo-random numbers that are determined by their seed.
 */
public final class Hashing {

  /** Number of values of a CRC-32. */
  private static final double CRC_RANGE = 0x1p32;

  /** Number of fractions, 2 to the number of bits of the significand of a {@code double}. */
  private static final double FRACTION_RANGE = 0x1p53;

  /** Shift that leaves the 53 upper bits of a hash. */
  private static final int FRACTION_SHIFT = 11;

  private Hashing() {}

  /**
   * Returns the hash of an input by the finalizer of SplitMix64. Similar inputs give unrelated
   * results.
   */
  public static long mix(long input) {
    long mixed = input + 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns the fraction between 0 and 1, both excluded, that corresponds to a hash. */
  public static double fraction(long hash) {
    return ((hash >>> FRACTION_SHIFT) + 0.5) / FRACTION_RANGE;
  }

  /**
   * Returns the pseudo-random number with this index in the sequence of the seed, between 0 and 1,
   * both excluded.
   */
  public static double pseudoRandom(long seed, long index) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(seed).putLong(index).flip());
    return (crc.getValue() + 0.5) / CRC_RANGE;
  }
}
