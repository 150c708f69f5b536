package tamarindroute.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of requests on one connection to a cache that are cancelled or answered, for which a late
 * or duplicate response may still come. A later request of the same id must not use the connection.
 */
final class SettledRequestIds {

  /**
   * Far more than are cancelled on a connection in the time in which a request can be attempted
   * again.
   */
  static final int MAX_CANCELLED = 500;

  /** Enough, since an id is attempted again at once or not for long. */
  private static final int MAX_ANSWERED = 64;

  private final DuplicateResponseDetector duplicates;
  private final Set<String> cancelled = new LinkedHashSet<>();

  /** Empty unless the cache has recently sent duplicates. */
  private final Set<String> answered = new LinkedHashSet<>();

  SettledRequestIds(DuplicateResponseDetector duplicates) {
    this.duplicates = duplicates;
  }

  boolean contains(String id) {
    return cancelled.contains(id) || answered.contains(id);
  }

  /** The request was cancelled after it was written. */
  void addCancelled(String id) {
    add(id, cancelled, MAX_CANCELLED);
  }

  /** The response is complete. */
  void addAnswered(String id) {
    if (duplicates.mayDuplicateNext()) {
      add(id, answered, MAX_ANSWERED);
    } else {
      answered.clear();
    }
  }

  private static void add(String id, Set<String> ids, int max) {
    ids.add(id);
    if (ids.size() > max) {
      ids.remove(ids.iterator().next());
    }
  }

  /** A response came that nobody waits for. */
  void onUnsolicited(String id) {
    if (!cancelled.contains(id)) {
      duplicates.onDuplicate();
    }
  }
}
