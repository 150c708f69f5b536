package tamarindroute.versioning;

import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;

/**
 * A set of schema versions from 0, the oldest, to {@link #VERSIONS} - 1.
 *
 * @param bits bit v is set if version v is in the set
 */
public record VersionSet(long bits) {

  /** How many versions there can be. */
  public static final int VERSIONS = 64;

  /** The version of an empty set's {@link #newest()}. */
  public static final int NO_VERSION = -1;

  private static final int MAX_TEXT_LENGTH = 200;

  /** The set without versions. */
  public static final VersionSet NONE = new VersionSet(0);

  /** What a peer reads and writes that reports nothing. */
  public static final VersionSet OLDEST = new VersionSet(1);

  /** The set of the given versions. */
  public static VersionSet of(int... versions) {
    long bits = 0;
    for (int version : versions) {
      bits |= bit(version);
    }
    return new VersionSet(bits);
  }

  private static long bit(int version) {
    if (version < 0 || version >= VERSIONS) {
      throw outOfBounds(Integer.toString(version));
    }
    return 1L << version;
  }

  private static IllegalArgumentException outOfBounds(String version) {
    return new IllegalArgumentException(
        "schema version \"" + version + "\" is not an integer from 0 to " + (VERSIONS - 1));
  }

  /**
   * Parses versions and ranges separated by commas: "0", "1-3", "0,2-4".
   *
   * @throws IllegalArgumentException with the reason, for any other text
   */
  public static VersionSet parse(String text) {
    if (text.length() > MAX_TEXT_LENGTH) {
      throw new IllegalArgumentException(
          "schema versions are "
              + text.length()
              + " characters long, must be at most "
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
          "\"" + part + "\" is neither a schema version nor a range of two");
    }
    int from = parseVersion(bounds[0]);
    int to = parseVersion(bounds[bounds.length - 1]);
    if (from > to) {
      throw new IllegalArgumentException(
          "range \"" + part + "\" of schema versions goes from high to low");
    }
    long bits = 0;
    for (int version = from; version <= to; version++) {
      bits |= bit(version);
    }
    return bits;
  }

  private static int parseVersion(String text) {
    if (!text.matches("[0-9]{1,2}") || Integer.parseInt(text) >= VERSIONS) {
      throw outOfBounds(text);
    }
    return Integer.parseInt(text);
  }

  /** Whether a version is in the set. */
  public boolean contains(int version) {
    return version >= 0 && version < VERSIONS && ((bits >>> version) & 1) != 0;
  }

  /** Whether the set has no versions. */
  public boolean isEmpty() {
    return bits == 0;
  }

  /** The versions in both sets. */
  public VersionSet and(VersionSet other) {
    return new VersionSet(bits & other.bits);
  }

  /** The versions in either set. */
  public VersionSet or(VersionSet other) {
    return new VersionSet(bits | other.bits);
  }

  /** The newest version; {@link #NO_VERSION} of an empty set. */
  public int newest() {
    return VERSIONS - 1 - Long.numberOfLeadingZeros(bits);
  }

  /** All versions, oldest first. */
  public List<Integer> versions() {
    List<Integer> versions = new ArrayList<>();
    for (int version = 0; version < VERSIONS; version++) {
      if (contains(version)) {
        versions.add(version);
      }
    }
    return versions;
  }

  /** The text that {@link #parse} reads; empty for the empty set. */
  @Override
  public String toString() {
    StringJoiner text = new StringJoiner(",");
    versions().forEach(version -> text.add(Integer.toString(version)));
    return text.toString();
  }
}
