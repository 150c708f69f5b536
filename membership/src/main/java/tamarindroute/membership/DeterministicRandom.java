package tamarindroute.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Reproducible random numbers, computed from a seed and a counter. */
final class DeterministicRandom {

  /** Makes {@link #nextInt} return 0 always, so that a model checker has no draws to explore. */
  static final long ZERO_SEED = 0;

  private static final int MEMBER_SUFFIX_BYTES = Integer.BYTES + Long.BYTES;

  /** Constants of SplitMix64. */
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

  /** Seed of a member's own random numbers; never {@link #ZERO_SEED}. */
  static long seedFor(Member member) {
    return memberHash(member) | 1;
  }

  /** Returns a number from 0 up to, not including, the bound; 0 if the bound is less than 2. */
  int nextInt(int bound) {
    if (bound <= 1 || seed == ZERO_SEED) {
      return 0;
    }
    count++;
    return (int) Long.remainderUnsigned(mix(seed, count), bound);
  }

  /** CRC-32 of address and incarnation; the same at all members. */
  static long memberHash(Member member) {
    CRC32 crc = new CRC32();
    crc.update(member.address().host().getBytes(StandardCharsets.UTF_8));
    ByteBuffer suffix = ByteBuffer.allocate(MEMBER_SUFFIX_BYTES);
    suffix.putInt(member.address().port()).putLong(member.incarnation());
    crc.update(suffix.flip());
    return crc.getValue();
  }

  /**
   * Hashes two numbers. CRC-32 is linear, which would correlate the results of neighbouring inputs;
   * the finalizer of SplitMix64 removes that.
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
