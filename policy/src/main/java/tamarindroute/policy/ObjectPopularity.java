package tamarindroute.policy;

import java.util.LinkedHashMap;
import tamarindroute.decision.Request;
import tamarindroute.numeric.Hashing;

/** Owns the table of popularities and the ratio test, which tells what is spread over the edges. */
final class ObjectPopularity {

  /** The window of the design page, its weight of the newest one, and a bound on the table. */
  private static final double WINDOW = 5, ALPHA = 0.4;

  private static final int TABLE = 20_000;

  static final class Item {
    private final double kilobytes;
    private double popularity;
    int count;
    private long window;
    private boolean hot;
    double heldAt = -1;

    Item(Request request, long window) {
      kilobytes = request.kilobytes > 0 ? request.kilobytes : 1;
      this.window = window;
    }

    /** Brings the popularity to the end of the last whole window. */
    void roll(long current) {
      if (current > window) {
        popularity = (1 - ALPHA) * popularity + ALPHA * count / WINDOW;
        popularity *= Math.pow(1 - ALPHA, current - window - 1);
        count = 0;
        window = current;
      }
    }

    double density() {
      return popularity / kilobytes;
    }
  }

  private final LinkedHashMap<Long, Item> table = new LinkedHashMap<>(1024, 0.75f, true);
  private double tableBytes, hotBytes, marginal;
  private int marginalSamples;

  static long key(long object, int part) {
    return Hashing.mix(object * 1000003 + part);
  }

  Item item(Request request, double now) {
    long key = key(request.objectId, request.part);
    long window = (long) (now / WINDOW);
    Item item = table.get(key);
    if (item == null) {
      item = new Item(request, window);
      table.put(key, item);
      tableBytes += item.kilobytes;
      if (table.size() > TABLE) {
        Item out = table.remove(table.keySet().iterator().next());
        hotBytes -= out.hot ? out.kilobytes : 0;
        tableBytes -= out.kilobytes;
      }
    }
    item.roll(window);
    return item;
  }

  /** The ratio test of the design page, and the bound on the middle rank's share of the bytes. */
  boolean hot(Item item, CacheTiers tiers) {
    long n = tiers.edges.stream().filter(e -> e.cache.isReady()).count();
    boolean passes =
        n > 1
            && tiers.settings.siblingFillAllowed()
            && marginalSamples >= 50
            && tiers.hitLatency < tiers.fillLatency
            && item.density()
                > marginal
                    * (n * tiers.fillLatency - (n - 1) * tiers.hitLatency)
                    / tiers.hitLatency;
    boolean hot = passes && (item.hot || (hotBytes + item.kilobytes) * n <= 0.5 * tableBytes);
    hotBytes += hot == item.hot ? 0 : hot ? item.kilobytes : -item.kilobytes;
    item.hot = hot;
    return hot;
  }

  /**
   * The marginal: a tenth of the hits are of lower density; each hit moves it a bit, so that it
   * ages.
   */
  void noteHit(double density) {
    if (density > 0) {
      double step = marginalSamples++ < 200 ? 0.3 : 0.05;
      marginal =
          marginalSamples == 1
              ? density
              : marginal * Math.exp(density < marginal ? -step * 0.9 : step * 0.1);
    }
  }
}
