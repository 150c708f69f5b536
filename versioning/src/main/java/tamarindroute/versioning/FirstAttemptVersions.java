package tamarindroute.versioning;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records the schema version of the first attempt of each keyed request, whether this member made
 * the attempt or another member reported it. When the record is full, the entries that were
 * recorded first are dropped.
 *
 * <p>A retry without an entry may have been attempted in any version: its entry was dropped, or the
 * report has not arrived yet.
 */
public final class FirstAttemptVersions {

  /** The recorded state of a request's first attempt. */
  public sealed interface Knowledge {
    /**
     * The first attempt used one known version.
     *
     * @param version the schema version of the first attempt
     */
    record Known(int version) implements Knowledge {}

    /** The client sends the request for the first time, so there was no attempt. */
    record NotAttempted() implements Knowledge {}

    /**
     * The request is a retry without an entry, or reports of its version conflict. Any version may
     * have been used.
     */
    record Unknown() implements Knowledge {}
  }

  private record Entry(int version, boolean conflicting, Duration expiresAt) {
    Entry merge(Entry later) {
      boolean mergedConflicting = conflicting || version != later.version;
      Duration latestExpiry =
          expiresAt.compareTo(later.expiresAt) > 0 ? expiresAt : later.expiresAt;
      return new Entry(version, mergedConflicting, latestExpiry);
    }

    boolean isExpired(Duration now) {
      return expiresAt.compareTo(now) <= 0;
    }
  }

  private final int capacity;
  private final Duration retention;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /**
   * Creates an empty record.
   *
   * @param capacity maximum number of entries
   * @param retention the longest time after an attempt in which a retry can arrive; entries expire
   *     afterwards
   */
  public FirstAttemptVersions(int capacity, Duration retention) {
    this.capacity = capacity;
    this.retention = retention;
  }

  /**
   * Records an attempt. If the request already has an entry with another version, the entry keeps
   * its version and is marked as conflicting. An attempt older than the retention is ignored.
   *
   * @param request the key of the request
   * @param version the schema version of the attempt
   * @param age time since the attempt
   * @param now current monotonic time
   */
  public void onAttempt(long request, int version, Duration age, Duration now) {
    Entry entry = new Entry(version, false, now.minus(age).plus(retention));
    if (entry.isExpired(now)) {
      return;
    }
    entries.merge(request, entry, Entry::merge);
    dropExpiredAndExcess(now);
  }

  /**
   * Returns the recorded state of a request's first attempt.
   *
   * @param request the key of the request
   * @param firstTime whether the client declares that the request is not a retry
   * @param now current monotonic time
   */
  public Knowledge lookup(long request, boolean firstTime, Duration now) {
    Entry entry = entries.get(request);
    if (entry != null && !entry.isExpired(now)) {
      return entry.conflicting ? new Knowledge.Unknown() : new Knowledge.Known(entry.version);
    }
    return firstTime ? new Knowledge.NotAttempted() : new Knowledge.Unknown();
  }

  /**
   * Drops entries in the order in which they were recorded, until an entry has not expired and the
   * size is within the capacity.
   */
  private void dropExpiredAndExcess(Duration now) {
    Iterator<Entry> oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean expired = oldestFirst.next().isExpired(now);
      if (!expired && entries.size() <= capacity) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Returns the number of entries, including expired entries that are not dropped yet. */
  public int size() {
    return entries.size();
  }
}
