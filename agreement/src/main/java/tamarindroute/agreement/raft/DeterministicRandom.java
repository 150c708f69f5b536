package tamarindroute.agreement.raft;

import java.nio.ByteBuffer;
import java.util.Random;
import java.util.zip.CRC32;

/**
 * Pseudorandom numbers for MicroRaft's election timeouts, computed as CRC-32 of a seed and a
 * counter. The sequence does not depend on the Java version.
 */
final class DeterministicRandom extends Random {

  private static final long serialVersionUID = 1L;

  private final long seed;
  private long counter;

  DeterministicRandom(long seed) {
    super(seed);
    this.seed = seed;
  }

  @Override
  protected int next(int bits) {
    ByteBuffer input = ByteBuffer.allocate(2 * Long.BYTES);
    input.putLong(seed).putLong(counter).flip();
    counter++;
    CRC32 crc = new CRC32();
    crc.update(input);
    return (int) crc.getValue() >>> (Integer.SIZE - bits);
  }
}
