package tamarindroute.versioning;

import java.util.List;

/**
 * The schema versions that each fleet version allows.
 *
 * @param allowed the allowed schema versions, indexed by fleet version from 0
 */
public record VersionTable(List<VersionSet> allowed) {

  /**
   * Validates the table.
   *
   * @throws IllegalArgumentException if the table is empty, if fleet version 0 allows no schema
   *     version, or if two consecutive fleet versions share none: a member out of contact could
   *     then use no schema version at all
   */
  public VersionTable {
    allowed = List.copyOf(allowed);
    if (allowed.isEmpty()) {
      throw new IllegalArgumentException(
          "version table has 0 fleet versions, must have at least 1");
    }
    if (allowed.get(0).isEmpty()) {
      throw new IllegalArgumentException(
          "fleet version 0 allows no schema version, must allow at least one");
    }
    for (int version = 1; version < allowed.size(); version++) {
      if (allowed.get(version).and(allowed.get(version - 1)).isEmpty()) {
        throw new IllegalArgumentException(
            "fleet versions "
                + (version - 1)
                + " and "
                + version
                + " share no schema version, must share at least one");
      }
    }
  }

  /** Returns the highest fleet version. */
  public int last() {
    return allowed.size() - 1;
  }
}
