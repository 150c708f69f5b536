package tamarindroute.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import tamarindroute.decision.Request;
import tamarindroute.numeric.Hashing;

/**
 * A bounded table of the most recently requested parts of objects, with their popularity and size.
 * The least recently requested part is evicted.
 */
final class ObjectPopularity {

  /** Largest number of parts in the table. */
  private static final int MAX_ENTRIES = 20_000;

  private static final int INITIAL_CAPACITY = 1024;
  private static final float LOAD_FACTOR = 0.75f;

  /** Prime factor that spreads the parts of objects over the key space. */
  private static final int PART_STRIDE = 1000003;

  private final Map<Long, ObjectStatistics> table =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private double totalKilobytes;
  private double hotKilobytes;

  /** Returns the placement key of a part of an object. */
  static long key(long objectId, int part) {
    return Hashing.mix(objectId * PART_STRIDE + part);
  }

  /** Returns the placement key of the requested part. */
  static long key(Request request) {
    return key(request.objectId, request.part);
  }

  /**
   * Returns the statistics of the requested part, updated to the current window. A part that is not
   * in the table is added to it.
   */
  ObjectStatistics statistics(Request request, double now) {
    long key = key(request);
    long window = (long) (now / ObjectStatistics.WINDOW_SECONDS);
    ObjectStatistics object = table.get(key);
    if (object == null) {
      object = new ObjectStatistics(request.kilobytes, window);
      table.put(key, object);
      totalKilobytes += object.kilobytes();
      evictOldest();
    }
    object.advanceTo(window);
    return object;
  }

  private void evictOldest() {
    if (table.size() > MAX_ENTRIES) {
      ObjectStatistics evicted = table.remove(table.keySet().iterator().next());
      hotKilobytes -= evicted.isHot() ? evicted.kilobytes() : 0;
      totalKilobytes -= evicted.kilobytes();
    }
  }

  /** Marks an object as hot or not, and updates the size of the hot objects. */
  void setHot(ObjectStatistics object, boolean hot) {
    if (hot != object.isHot()) {
      hotKilobytes += hot ? object.kilobytes() : -object.kilobytes();
      object.setHot(hot);
    }
  }

  /** Returns the total size of the parts in the table, in kB. */
  double totalKilobytes() {
    return totalKilobytes;
  }

  /** Returns the total size of the hot parts in the table, in kB. */
  double hotKilobytes() {
    return hotKilobytes;
  }
}
