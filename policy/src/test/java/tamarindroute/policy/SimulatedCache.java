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
 * A simulated cache with its true capacity, content and speed. After a restart its capacity rises
 * linearly from a small share to the full capacity.
 */
final class SimulatedCache {

  /** Share of the full capacity right after a start. */
  private static final double INITIAL_CAPACITY_SHARE = 0.05;

  /** Time from a start to the full capacity. */
  private static final double WARM_AFTER_SECONDS = 10;

  /** Multiple of the current capacity that overloads a cold cache. */
  private static final double OVERLOAD_MULTIPLE = 2;

  /** Window in which the load of a cold cache is measured. */
  private static final double OVERLOAD_WINDOW_SECONDS = 2;

  /** Number of simulation steps by which reports of the requests in flight are delayed. */
  private static final int REPORT_DELAY_STEPS = 125;

  /** Arrival of work, both in seconds: the time of the simulation and the transfer time. */
  private record Arrival(double time, double work) {}

  private final Cache cache;
  private final double maxContentSeconds;
  private final Map<Long, Double> objects = new LinkedHashMap<>(512, 0.75f, true);
  private final int[] inFlightHistory = new int[REPORT_DELAY_STEPS];
  private final Deque<Arrival> arrivalsWhileCold = new ArrayDeque<>();
  private double workWhileCold;
  private double peakColdLoad;
  private double peakColdLoadBeyondScatter;
  private double capacity;
  private double speed = 1;
  private boolean hung;
  private double contentSeconds;
  private int sending;
  private int inFlight;

  /**
   * Creates a warm, empty cache.
   *
   * @param capacity number of transfers that do not slow each other down
   * @param maxContentSeconds content that the cache can hold, in seconds of transfer
   */
  SimulatedCache(Cache cache, double capacity, double maxContentSeconds) {
    this.cache = cache;
    this.capacity = capacity;
    this.maxContentSeconds = maxContentSeconds;
  }

  /** Returns the cold start that gateways are configured with, which is the true one. */
  static PolicySettings.ColdStart coldStart() {
    return new PolicySettings.ColdStart(
        INITIAL_CAPACITY_SHARE,
        Seconds.toDuration(WARM_AFTER_SECONDS),
        OVERLOAD_MULTIPLE,
        Seconds.toDuration(OVERLOAD_WINDOW_SECONDS));
  }

  Cache cache() {
    return cache;
  }

  boolean isEdge() {
    return cache.tier == Cache.Tier.EDGE;
  }

  /** Sets the speed of transfers relative to a transfer on an idle cache. */
  void setSpeed(double value) {
    speed = value;
  }

  /** Sets whether the cache hangs: it neither answers nor sends. */
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

  /**
   * Starts a new process, empty and cold.
   *
   * @param newCapacity number of transfers that do not slow each other down once warm
   */
  void restart(double newCapacity, double now) {
    capacity = newCapacity;
    cache.startedAt = Seconds.toDuration(now);
    objects.clear();
    contentSeconds = 0;
    arrivalsWhileCold.clear();
    workWhileCold = 0;
  }

  private boolean isCold(double now) {
    return cache.startedAt != null && now < Seconds.seconds(cache.startedAt) + WARM_AFTER_SECONDS;
  }

  /** Returns the share of the full capacity at a time; 1 if the cache is no longer cold now. */
  private double warmth(double time, double now) {
    return isCold(now)
        ? INITIAL_CAPACITY_SHARE
            + (1 - INITIAL_CAPACITY_SHARE)
                * (time - Seconds.seconds(cache.startedAt))
                / WARM_AFTER_SECONDS
        : 1;
  }

  /** Returns the speed of each transfer in progress, relative to a transfer on an idle cache. */
  double relativeSpeed(double now) {
    return hung ? 0 : speed * Math.min(1, capacity * warmth(now, now) / Math.max(1, sending));
  }

  boolean holds(long object) {
    return objects.get(object) != null;
  }

  /** Stores an object and evicts the least recently used objects that exceed the capacity. */
  void store(long object, double size) {
    if (objects.put(object, size) == null) {
      contentSeconds += size;
    }
    for (Iterator<Double> oldest = objects.values().iterator();
        contentSeconds > maxContentSeconds;
        oldest.remove()) {
      contentSeconds -= oldest.next();
    }
  }

  /** Begins a simulation step. */
  void beginStep(int step) {
    inFlightHistory[step % REPORT_DELAY_STEPS] = inFlight;
    sending = 0;
  }

  void countSending() {
    sending++;
  }

  /** Returns the number of requests in flight as it was when the delayed report was made. */
  int reportedInFlight(int step) {
    return inFlightHistory[(step + 1) % REPORT_DELAY_STEPS];
  }

  /**
   * Counts a request as in flight. At a cold edge its work is added to the load of the current
   * overload window.
   *
   * @param work seconds of transfer
   * @param scatter returns the allowance for random scatter, in seconds of transfer, for the load
   *     that overloads the cache within the window
   */
  void begin(double work, double now, DoubleUnaryOperator scatter) {
    inFlight++;
    if (!isEdge() || !isCold(now)) {
      return;
    }
    double since = Math.max(Seconds.seconds(cache.startedAt), now - OVERLOAD_WINDOW_SECONDS);
    arrivalsWhileCold.add(new Arrival(now, work));
    workWhileCold += work;
    while (arrivalsWhileCold.peek().time() < since) {
      workWhileCold -= arrivalsWhileCold.remove().work();
    }
    double limit =
        OVERLOAD_MULTIPLE * capacity * warmth((since + now) / 2, now) * OVERLOAD_WINDOW_SECONDS;
    peakColdLoad = Math.max(peakColdLoad, workWhileCold / limit);
    peakColdLoadBeyondScatter =
        Math.max(peakColdLoadBeyondScatter, workWhileCold / (limit + scatter.applyAsDouble(limit)));
  }

  void end() {
    inFlight--;
  }

  /**
   * Returns the highest load of a window while the cache was cold, as a multiple of the load that
   * overloads it.
   */
  double peakColdLoad() {
    return peakColdLoad;
  }

  /**
   * Returns the highest load of a window while the cache was cold, as a multiple of the load that
   * overloads it plus the allowance for scatter.
   */
  double peakColdLoadBeyondScatter() {
    return peakColdLoadBeyondScatter;
  }
}
