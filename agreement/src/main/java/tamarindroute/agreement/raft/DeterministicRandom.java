package tamarindroute.agreement.raft;

import java.nio.ByteBuffer;
import java.util.Random;
import java.util.zip.CRC32;

/** The library's chance (how long it waits before it stands for election) from seed and counter. */
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
    CRC32 sum = new CRC32();
    sum.update(ByteBuffer.allocate(16).putLong(seed).putLong(counter++).flip());
    return (int) sum.getValue() >>> 32 - bits;
  }
}
