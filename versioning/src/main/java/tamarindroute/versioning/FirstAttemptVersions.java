package tamarindroute.versioning;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The schema version of each keyed request's first attempt, made here or reported by other members.
 * Bounded; drops the entries that were recorded first when full.
 *
 * <p>A repeat without an entry may have been attempted in any version: its entry was dropped, or
 * the report has not arrived yet.
 */
public final class FirstAttemptVersions {

  /** What is known of a request's first attempt. */
  public sealed interface Knowledge {
    /** It was made in this version. */
    record Known(int version) implements Knowledge {}

    /** The client sends the request for the first time, so there was none. */
    record NotAttempted() implements Knowledge {}

    /** Nothing is known of a repeat, or two reports differ: any version may have been used. */
    record Unknown() implements Knowledge {}
  }

  private record Entry(int version, boolean conflicting, Duration expiresAt) {
    Entry merge(Entry later) {
      boolean differs = conflicting || version != later.version;
      Duration last = expiresAt.compareTo(later.expiresAt) > 0 ? expiresAt : later.expiresAt;
      return new Entry(version, differs, last);
    }

    boolean isExpired(Duration now) {
      return expiresAt.compareTo(now) <= 0;
    }
  }

  private final int capacity;
  private final Duration retention;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /**
   * An empty record.
   *
   * @param capacity most entries
   * @param retention the longest time after an attempt in which a repeat can come
   */
  public FirstAttemptVersions(int capacity, Duration retention) {
    this.capacity = capacity;
    this.retention = retention;
  }

  /**
   * Records an attempt. Of several versions of one request the first stays, and is marked as
   * conflicting.
   *
   * @param request the request's key
   * @param version the attempt's version
   * @param age time since the attempt
   * @param now monotonic time
   */
  public void onAttempt(long request, int version, Duration age, Duration now) {
    Entry entry = new Entry(version, false, now.minus(age).plus(retention));
    if (entry.isExpired(now)) {
      return;
    }
    entries.merge(request, entry, Entry::merge);
    dropExpired(now);
  }

  /**
   * What is known of a request's first attempt.
   *
   * @param request the request's key
   * @param firstTime whether the client says that this is no repeat
   * @param now monotonic time
   */
  public Knowledge lookup(long request, boolean firstTime, Duration now) {
    Entry entry = entries.get(request);
    if (entry != null && !entry.isExpired(now)) {
      return entry.conflicting ? new Knowledge.Unknown() : new Knowledge.Known(entry.version);
    }
    return firstTime ? new Knowledge.NotAttempted() : new Knowledge.Unknown();
  }

  /** Drops from the oldest entry on, up to the first that is valid and within the capacity. */
  private void dropExpired(Duration now) {
    Iterator<Entry> oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean expired = oldestFirst.next().isExpired(now);
      if (!expired && entries.size() <= capacity) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** The number of entries, including expired ones that were not dropped yet. */
  public int size() {
    return entries.size();
  }
}
