package tamarindroute.rig.proxy;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Draws of one way: a checksum over the seed, the way's name and a counter, so that no way's draws
 * hang on another's.
 */
public final class DeterministicRandom {

  private final byte[] name;
  private long count;

  public DeterministicRandom(long seed, String name) {
    this.name = (seed + " " + name + " ").getBytes(StandardCharsets.UTF_8);
  }

  /** From 0 up to, not including, 1. */
  public double next() {
    CRC32 sum = new CRC32();
    sum.update(name);
    count++;
    for (int shift = 0; shift < 64; shift += 8) {
      sum.update((int) (count >>> shift) & 0xff);
    }
    // The checksum is linear: counters that follow one another differ in few bits, so those are
    // stirred.
    long stirred = sum.getValue() * 0x9E3779B97F4A7C15L;
    return ((stirred ^ stirred >>> 29) * 0xBF58476D1CE4E5B9L >>> 11) * 0x1p-53;
  }
}
