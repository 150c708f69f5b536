package tamarindroute.membership;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Owns chance: draws from a seed and a counter, so that a play can be played again. It must never
 * read a clock.
 */
final class DeterministicRandom {

  private final long seed;
  private long count;

  /** A seed of 0 draws nothing: always the first; for exploring every way that is left. */
  DeterministicRandom(long seed) {
    this.seed = seed;
  }

  DeterministicRandom copy() {
    DeterministicRandom copy = new DeterministicRandom(seed);
    copy.count = count;
    return copy;
  }

  static long seedFor(Member member) {
    return memberHash(member) | 1;
  }

  int nextInt(int bound) {
    if (bound <= 1 || seed == 0) {
      return 0;
    }
    count++;
    return (int) Long.remainderUnsigned(mix(seed, count), bound);
  }

  static long memberHash(Member member) {
    CRC32 crc = new CRC32();
    byte[] host = member.address().host().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    crc.update(host);
    crc.update(
        ByteBuffer.allocate(12)
            .putInt(member.address().port())
            .putLong(member.incarnation())
            .flip());
    return crc.getValue();
  }

  /**
   * CRC-32 is linear: neighbours' draws would go in step, so its value is spread as SplitMix64
   * does.
   */
  static long mix(long first, long second) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(first).putLong(second).flip());
    long mixed = first + (crc.getValue() + 1) * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }
}
