package tamarindroute.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Reproducible random numbers, computed from a seed and a counter, so that a simulation with the
 * same seed gives the same result. Reads no clock.
 */
final class DeterministicRandom {

  /** Makes {@link #nextInt} always return 0, so that a model checker has no choices to explore. */
  static final long ZERO_SEED = 0;

  /** Port and incarnation, which follow the host in the input of a member's hash. */
  private static final int PORT_AND_INCARNATION_BYTES = Integer.BYTES + Long.BYTES;

  /** Increment and multipliers of SplitMix64. */
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private static final long MIX_MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;
  private static final long MIX_MULTIPLIER_2 = 0x94D049BB133111EBL;

  private final long seed;
  private long count;

  DeterministicRandom(long seed) {
    this.seed = seed;
  }

  DeterministicRandom copy() {
    DeterministicRandom copy = new DeterministicRandom(seed);
    copy.count = count;
    return copy;
  }

  /** Returns the seed for the random numbers of a member; never {@link #ZERO_SEED}. */
  static long seedFor(Member member) {
    return memberHash(member) | 1;
  }

  /** Returns a number from 0 to {@code bound - 1}; 0 if the bound is less than 2. */
  int nextInt(int bound) {
    if (bound <= 1 || seed == ZERO_SEED) {
      return 0;
    }
    count++;
    return (int) Long.remainderUnsigned(mix(seed, count), bound);
  }

  /** Returns the CRC-32 of address and incarnation, from 0 to 2^32 - 1; the same at all members. */
  static long memberHash(Member member) {
    CRC32 crc = new CRC32();
    crc.update(member.address().host().getBytes(StandardCharsets.UTF_8));
    ByteBuffer suffix = ByteBuffer.allocate(PORT_AND_INCARNATION_BYTES);
    suffix.putInt(member.address().port()).putLong(member.incarnation());
    crc.update(suffix.flip());
    return crc.getValue();
  }

  /**
   * Returns a hash of two numbers. CRC-32 is linear, so the hashes of neighbouring inputs would be
   * correlated. The finalizer of SplitMix64 removes that correlation.
   */
  static long mix(long first, long second) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(first).putLong(second).flip());
    long mixed = first + (crc.getValue() + 1) * GOLDEN_GAMMA;
    mixed = (mixed ^ mixed >>> 30) * MIX_MULTIPLIER_1;
    mixed = (mixed ^ mixed >>> 27) * MIX_MULTIPLIER_2;
    return mixed ^ mixed >>> 31;
  }
}
