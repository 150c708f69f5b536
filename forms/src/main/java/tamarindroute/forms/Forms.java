package tamarindroute.forms;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;

/** A set of forms, by their versions from 0, the oldest. */
public record Forms(long bits) {

  /**
   * Versions fit one word: a fleet holds two or three at once, and told ones count up with its
   * releases.
   */
  public static final int MOST = 64;

  /** Longer than any sound text of versions and ranges. */
  private static final int LONGEST_TEXT = 200;

  public static final Forms NONE = new Forms(0);

  /** What a client reads that tells nothing. */
  public static final Forms OLDEST = new Forms(1);

  public static Forms of(int... versions) {
    long bits = 0;
    for (int version : versions) {
      bits |= bit(version);
    }
    return new Forms(bits);
  }

  private static long bit(int version) {
    if (version < 0 || version >= MOST) {
      throw new IllegalArgumentException("no version of a form: " + version);
    }
    return 1L << version;
  }

  /**
   * Reads "0", "1-3", "0,2-4"; throws IllegalArgumentException with the reason where it is not of
   * that kind.
   */
  public static Forms read(String text) {
    if (text.length() > LONGEST_TEXT) {
      throw new IllegalArgumentException("forms told at more length than " + LONGEST_TEXT);
    }
    long bits = 0;
    for (String part : text.split(",", -1)) {
      String[] ends = part.strip().split("-", -1);
      if (ends.length > 2) {
        throw new IllegalArgumentException("neither a version nor a range: " + part);
      }
      int from = version(ends[0]);
      int to = version(ends[ends.length - 1]);
      if (from > to) {
        throw new IllegalArgumentException("a range from high to low: " + part);
      }
      for (int version = from; version <= to; version++) {
        bits |= bit(version);
      }
    }
    return new Forms(bits);
  }

  private static int version(String text) {
    if (!text.matches("[0-9]{1,2}") || Integer.parseInt(text) >= MOST) {
      throw new IllegalArgumentException("no version of a form: " + text);
    }
    return Integer.parseInt(text);
  }

  public boolean has(int version) {
    return version >= 0 && version < MOST && (bits >>> version & 1) != 0;
  }

  public boolean none() {
    return bits == 0;
  }

  public Forms and(Forms other) {
    return new Forms(bits & other.bits);
  }

  public Forms or(Forms other) {
    return new Forms(bits | other.bits);
  }

  /** The newest; -1 of none. */
  public int newest() {
    return MOST - 1 - Long.numberOfLeadingZeros(bits);
  }

  public List<Integer> versions() {
    List<Integer> versions = new ArrayList<>();
    for (int version = 0; version < MOST; version++) {
      if (has(version)) {
        versions.add(version);
      }
    }
    return versions;
  }

  /** In the words that are read back. */
  @Override
  public String toString() {
    StringJoiner all = new StringJoiner(",");
    versions().forEach(version -> all.add(Integer.toString(version)));
    return all.toString();
  }
}
