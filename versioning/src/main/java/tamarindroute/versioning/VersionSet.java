package tamarindroute.versioning;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;

/**
 * An immutable set of schema versions from 0, the oldest, to {@link #VERSIONS} - 1.
 *
 * @param bits bit v is set if version v is in the set
 */
public record VersionSet(long bits) {

  /**
   * Number of possible versions: one for each bit of a long. A fleet uses two or three versions at
   * a time, and the numbers increase with its releases.
   */
  public static final int VERSIONS = 64;

  /** Result of {@link #newest()} for an empty set. */
  public static final int NO_VERSION = -1;

  /** Longer than a list of all 64 versions without spaces, which has 181 characters. */
  private static final int MAX_TEXT_LENGTH = 200;

  /** The empty set. */
  public static final VersionSet NONE = new VersionSet(0);

  /** Only version 0: the versions of a peer that reports none. */
  public static final VersionSet OLDEST = new VersionSet(1);

  /**
   * Returns the set of the given versions.
   *
   * @throws IllegalArgumentException for a version outside 0 to {@link #VERSIONS} - 1
   */
  public static VersionSet of(int... versions) {
    long bits = 0;
    for (int version : versions) {
      bits |= bit(version);
    }
    return new VersionSet(bits);
  }

  private static long bit(int version) {
    if (version < 0 || version >= VERSIONS) {
      throw versionOutOfBounds(Integer.toString(version));
    }
    return 1L << version;
  }

  private static IllegalArgumentException versionOutOfBounds(String version) {
    return new IllegalArgumentException(
        "schema version \"" + version + "\" is not an integer from 0 to " + (VERSIONS - 1));
  }

  /**
   * Parses versions and inclusive ranges that are separated by commas, such as "0", "1-3" or
   * "0,2-4".
   *
   * @throws IllegalArgumentException if a part is neither a version nor an ascending range, or if
   *     the text is too long
   */
  public static VersionSet parse(String text) {
    if (text.length() > MAX_TEXT_LENGTH) {
      throw new IllegalArgumentException(
          "list of schema versions has "
              + text.length()
              + " characters, must have at most "
              + MAX_TEXT_LENGTH);
    }
    long bits = 0;
    for (String part : text.split(",", -1)) {
      bits |= parsePart(part.strip());
    }
    return new VersionSet(bits);
  }

  private static long parsePart(String part) {
    String[] bounds = part.split("-", -1);
    if (bounds.length > 2) {
      throw new IllegalArgumentException(
          "schema versions \"" + part + "\" are neither one version nor a range of two");
    }
    int from = parseVersion(bounds[0]);
    int to = parseVersion(bounds[bounds.length - 1]);
    if (from > to) {
      throw new IllegalArgumentException(
          "range of schema versions \"" + part + "\" is descending, must be ascending");
    }
    long bits = 0;
    for (int version = from; version <= to; version++) {
      bits |= bit(version);
    }
    return bits;
  }

  private static int parseVersion(String text) {
    if (!text.matches("[0-9]{1,2}") || Integer.parseInt(text) >= VERSIONS) {
      throw versionOutOfBounds(text);
    }
    return Integer.parseInt(text);
  }

  /** Whether the set contains a version; false for versions out of bounds. */
  public boolean contains(int version) {
    return version >= 0 && version < VERSIONS && ((bits >>> version) & 1) != 0;
  }

  /** Whether the set is empty. */
  public boolean isEmpty() {
    return bits == 0;
  }

  /** Returns the intersection of both sets. */
  public VersionSet and(VersionSet other) {
    return new VersionSet(bits & other.bits);
  }

  /** Returns the union of both sets. */
  public VersionSet or(VersionSet other) {
    return new VersionSet(bits | other.bits);
  }

  /** Returns the greatest version, or {@link #NO_VERSION} for an empty set. */
  public int newest() {
    return VERSIONS - 1 - Long.numberOfLeadingZeros(bits);
  }

  /** Returns all versions in ascending order. */
  public List<Integer> versions() {
    List<Integer> versions = new ArrayList<>();
    for (int version = 0; version < VERSIONS; version++) {
      if (contains(version)) {
        versions.add(version);
      }
    }
    return versions;
  }

  /** Returns a list that {@link #parse} accepts, or an empty text for the empty set. */
  @Override
  public String toString() {
    StringJoiner text = new StringJoiner(",");
    versions().forEach(version -> text.add(Integer.toString(version)));
    return text.toString();
  }
}
