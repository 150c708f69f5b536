package tamarindroute.faultinjection;

import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** The objects that clients request, with sizes and contents derived from their ids. */
final class TestObjects {

  /** The ids: 16 hexadecimal digits each. */
  static final List<String> IDS =
      IntStream.range(1, 25).mapToObj(i -> String.format("%016x", 0xab00 + i)).toList();

  /** Number of parts of each object. */
  static final int PARTS = 3;

  private static final int PURGE_GROUP_MASK = 7;
  private static final int[] LENGTHS = {0, 300, 2000, 20_000, 90_000, 5000, 1, 200};

  private TestObjects() {}

  /** The purge group of an object. */
  static int purgeGroup(String object) {
    return (int) (Long.parseUnsignedLong(object, 16) & PURGE_GROUP_MASK);
  }

  /** Length of a part in bytes. */
  static int length(String object, int part) {
    return LENGTHS[(int) ((Long.parseUnsignedLong(object, 16) + part) & (LENGTHS.length - 1))];
  }

  /** The digest of one version of a part; it determines the content. */
  static String digest(String object, int part, int version) {
    long seed = Long.parseUnsignedLong(object, 16) * 31 + part * 1009L + version;
    return String.format("%016x", new SplittableRandom(seed).nextLong());
  }

  /** The content of a part of this digest. */
  static byte[] content(String digest, int length) {
    byte[] bytes = new byte[length];
    new Random(digest.hashCode()).nextBytes(bytes);
    return bytes;
  }
}
