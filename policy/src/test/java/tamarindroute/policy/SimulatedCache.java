package tamarindroute.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.numeric.Seconds;

/**
 * A cache of a simulation as it truly is. After a start its capacity rises linearly to the full
 * one.
 */
final class SimulatedCache {

  private static final double INITIAL_CAPACITY = 0.05;
  private static final double WARM_AFTER = 10;
  private static final double OVERLOAD_MULTIPLE = 2;
  private static final double OVERLOAD_WINDOW = 2;

  /** Steps by which reports of the requests in flight are late. */
  private static final int REPORT_DELAY_STEPS = 125;

  private record Arrival(double time, double work) {}

  private final Cache cache;
  private final double maxBytes;
  private final Map<Long, Double> objects = new LinkedHashMap<>(512, 0.75f, true);
  private final int[] inFlightHistory = new int[REPORT_DELAY_STEPS];
  private final Deque<Arrival> arrivalsWhileCold = new ArrayDeque<>();
  private double workWhileCold;
  private double peakColdLoad;
  private double peakColdLoadBeyondScatter;
  private double capacity;
  private double speed = 1;
  private boolean hung;
  private double bytes;
  private int sending;
  private int inFlight;

  /**
   * Creates a warm, empty cache.
   *
   * @param capacity undisturbed transfers at once
   * @param maxBytes what it can hold, in seconds of transfer
   */
  SimulatedCache(Cache cache, double capacity, double maxBytes) {
    this.cache = cache;
    this.capacity = capacity;
    this.maxBytes = maxBytes;
  }

  static PolicySettings.ColdStart coldStart() {
    return new PolicySettings.ColdStart(
        INITIAL_CAPACITY,
        Seconds.toDuration(WARM_AFTER),
        OVERLOAD_MULTIPLE,
        Seconds.toDuration(OVERLOAD_WINDOW));
  }

  Cache cache() {
    return cache;
  }

  boolean isEdge() {
    return cache.tier == Cache.Tier.EDGE;
  }

  /** Sets how fast it sends, relative to an undisturbed transfer. */
  void setSpeed(double value) {
    speed = value;
  }

  /** Sets whether it neither answers nor sends. */
  void setHung(boolean value) {
    hung = value;
  }

  boolean isHung() {
    return hung;
  }

  double capacity() {
    return capacity;
  }

  int inFlight() {
    return inFlight;
  }

  /** Starts a new process, empty and cold, on a machine of this capacity. */
  void restart(double newCapacity, double now) {
    capacity = newCapacity;
    cache.startedAt = Seconds.toDuration(now);
    objects.clear();
    bytes = 0;
    arrivalsWhileCold.clear();
    workWhileCold = 0;
  }

  private boolean isCold(double now) {
    return cache.startedAt != null && now < Seconds.seconds(cache.startedAt) + WARM_AFTER;
  }

  /** Returns the share of the full capacity at a time, if the cache is still cold now. */
  private double warmth(double time, double now) {
    return isCold(now)
        ? INITIAL_CAPACITY
            + (1 - INITIAL_CAPACITY) * (time - Seconds.seconds(cache.startedAt)) / WARM_AFTER
        : 1;
  }

  /** Returns the speed of each of its transfers, relative to an undisturbed one. */
  double pace(double now) {
    return hung ? 0 : speed * Math.min(1, capacity * warmth(now, now) / Math.max(1, sending));
  }

  boolean holds(long object) {
    return objects.get(object) != null;
  }

  /** Keeps an object and evicts the least recently used ones that do not fit any more. */
  void keep(long object, double size) {
    if (objects.put(object, size) == null) {
      bytes += size;
    }
    for (Iterator<Double> oldest = objects.values().iterator(); bytes > maxBytes; oldest.remove()) {
      bytes -= oldest.next();
    }
  }

  /** Begins a step of the simulation. */
  void beginStep(int step) {
    inFlightHistory[step % REPORT_DELAY_STEPS] = inFlight;
    sending = 0;
  }

  void countSending() {
    sending++;
  }

  /** Returns the requests in flight as they were some steps ago. */
  int reportedInFlight(int step) {
    return inFlightHistory[(step + 1) % REPORT_DELAY_STEPS];
  }

  /**
   * Takes a request, and counts its work against what overloads a cold edge within a window.
   *
   * @param scatter the scatter of an ideal load, by the limit of the window
   */
  void begin(double work, double now, DoubleUnaryOperator scatter) {
    inFlight++;
    if (!isEdge() || !isCold(now)) {
      return;
    }
    double since = Math.max(Seconds.seconds(cache.startedAt), now - OVERLOAD_WINDOW);
    arrivalsWhileCold.add(new Arrival(now, work));
    workWhileCold += work;
    while (arrivalsWhileCold.peek().time() < since) {
      workWhileCold -= arrivalsWhileCold.remove().work();
    }
    double limit = OVERLOAD_MULTIPLE * capacity * warmth((since + now) / 2, now) * OVERLOAD_WINDOW;
    peakColdLoad = Math.max(peakColdLoad, workWhileCold / limit);
    peakColdLoadBeyondScatter =
        Math.max(peakColdLoadBeyondScatter, workWhileCold / (limit + scatter.applyAsDouble(limit)));
  }

  void end() {
    inFlight--;
  }

  /** Returns the greatest share of an overload that arrived in a window while it was cold. */
  double peakColdLoad() {
    return peakColdLoad;
  }

  /** The same, with room for the scatter of an ideal load. */
  double peakColdLoadBeyondScatter() {
    return peakColdLoadBeyondScatter;
  }
}
