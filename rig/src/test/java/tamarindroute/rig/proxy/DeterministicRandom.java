package tamarindroute.rig.proxy;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Pseudo-random numbers from a checksum of seed, name and a counter. Sequences of different names
 * are independent, however their use is interleaved.
 */
public final class DeterministicRandom {

  private static final long MIX_1 = 0x9E3779B97F4A7C15L;
  private static final long MIX_2 = 0xBF58476D1CE4E5B9L;
  private static final int MIX_SHIFT = 29;
  private static final int UNUSED_BITS = 11;
  private static final double UNIT = 0x1p-53;

  private final byte[] prefix;
  private long count;

  /** Starts the sequence of a name. */
  public DeterministicRandom(long seed, String name) {
    prefix = (seed + " " + name + " ").getBytes(StandardCharsets.UTF_8);
  }

  /** The next number, from 0 inclusive to 1 exclusive. */
  public double next() {
    count++;
    CRC32 checksum = new CRC32();
    checksum.update(prefix);
    for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
      checksum.update((int) (count >>> shift) & 0xff);
    }
    // The checksum is linear: consecutive counters give values that differ in few bits, so they are
    // mixed.
    long mixed = checksum.getValue() * MIX_1;
    mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_2;
    return (mixed >>> UNUSED_BITS) * UNIT;
  }
}
