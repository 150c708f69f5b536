package tamarindroute.versioning;

import java.util.List;

/**
 * The schema versions that each fleet version allows.
 *
 * @param allowed by fleet version, from 0
 */
public record VersionTable(List<VersionSet> allowed) {

  /**
   * Refuses a table in which a fleet version allows nothing, or shares no schema version with the
   * next: a member without contact could then use none.
   */
  public VersionTable {
    allowed = List.copyOf(allowed);
    if (allowed.isEmpty() || allowed.get(0).isEmpty()) {
      throw new IllegalArgumentException("fleet version 0 allows no schema version");
    }
    for (int version = 1; version < allowed.size(); version++) {
      if (allowed.get(version).and(allowed.get(version - 1)).isEmpty()) {
        throw new IllegalArgumentException(
            "fleet versions " + (version - 1) + " and " + version + " share no schema version");
      }
    }
  }

  /** The greatest fleet version. */
  public int last() {
    return allowed.size() - 1;
  }
}
