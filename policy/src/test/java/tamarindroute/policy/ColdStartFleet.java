package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.toDuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;

/**
 * A fleet of gateways with uneven traffic that send to cold caches. Each gateway has its own policy
 * and seed. Times are in seconds.
 */
final class ColdStartFleet {

  /** Window in which the load that overloads a cold cache is measured. */
  static final double WINDOW_SECONDS = 2;

  static final PolicySettings.ColdStart EDGE_START =
      new PolicySettings.ColdStart(0.2, toDuration(17), 3, toDuration(WINDOW_SECONDS));
  static final PolicySettings.ColdStart PARENT_START =
      new PolicySettings.ColdStart(0.064, toDuration(22), 2, toDuration(WINDOW_SECONDS));

  private static final double DEADLINE_SECONDS = 9;
  private static final double HIT_WAIT_SECONDS = 0.01;
  private static final Duration SOURCE_WAIT = toDuration(0.03);

  /** Standard deviation of the logarithm of the traffic per gateway. */
  private static final double CLIENT_DEVIATION = 1.2;

  private static final double REPORTED_UTILIZATION = 0.3;

  /** Lowest number of objects that are not hot. Objects below it are hot, and edges store them. */
  private static final int FIRST_COLD_OBJECT = 1000;

  private static final int HOT_OBJECTS = 3;
  private static final double HOT_FILL_SHARE = 0.1;

  /** Number of requests from which each policy measures transfer times on warm caches. */
  private static final int LEARNING_REQUESTS = 150;

  private final double meanTransferTime;
  private final RequestClass requestClass;
  private final Random random;
  private final List<RatioTestPolicy> gateways = new ArrayList<>();
  private final double[] cumulativeTraffic;
  private final ColdStartMeter meter;

  /** Endpoint list of two thirds of the gateways. */
  private final List<Cache> caches = new ArrayList<>();

  /** Endpoint list of the other gateways, which learn of restarts late. */
  private final List<Cache> lateCaches = new ArrayList<>();

  private double sizeDeviation;
  private double failingShare;
  private double unsentShare;
  private boolean hotObjects;
  private long objects;

  /**
   * Creates a fleet. If few requests overload a cache, their transfers are long, because a link
   * always carries several transfers.
   *
   * @param size number of gateways
   * @param requestsPerWindow number of mean requests that overload a warm cache within the window
   */
  ColdStartFleet(int size, double requestsPerWindow, int seed) {
    meanTransferTime = Math.min(0.9, Math.max(0.1, 30 / requestsPerWindow));
    meter = new ColdStartMeter(meanTransferTime);
    // A policy uses the latency objective as the mean transfer time until it has measured one.
    requestClass = TestValues.cacheableClass(toDuration(meanTransferTime), 20);
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      gateways.add(new RatioTestPolicy(settings(size)));
    }
    cumulativeTraffic = new double[size];
    double sum = 0;
    for (int i = 0; i < size; i++) {
      sum += Math.exp(CLIENT_DEVIATION * random.nextGaussian());
      cumulativeTraffic[i] = sum;
    }
  }

  private PolicySettings settings(int size) {
    return new PolicySettingsBuilder()
        .seed(random.nextLong())
        .gateways(size)
        .coldStart(EDGE_START, PARENT_START)
        .build();
  }

  /** Sets the standard deviation of the logarithm of sizes. */
  ColdStartFleet withSizeDeviation(double value) {
    sizeDeviation = value;
    return this;
  }

  /** Directs three quarters of the requests to a few hot objects. */
  ColdStartFleet withHotObjects() {
    hotObjects = true;
    return this;
  }

  /** Adds a cache to both endpoint lists. */
  ColdStartFleet withCache(long stableId, Cache.Tier tier, double weight) {
    lateCaches.add(TestValues.cache(stableId, tier, weight));
    caches.add(TestValues.cache(stableId, tier, weight));
    return this;
  }

  /**
   * Returns the weight of a cache that this number of mean requests overloads within the window.
   */
  double weight(PolicySettings.ColdStart start, double requestsPerWindow) {
    return requestsPerWindow * meanTransferTime / (start.overloadMultiple() * WINDOW_SECONDS);
  }

  /** Sets the shares of attempts that fail and of attempts that are never sent, 0 to 1. */
  void setFailures(double failing, double unsent) {
    failingShare = failing;
    unsentShare = unsent;
  }

  RatioTestPolicy gateway(int index) {
    return gateways.get(index);
  }

  ColdStartMeter meter() {
    return meter;
  }

  /** Sends requests through each policy on warm caches, so that it measures transfer times. */
  void learn() {
    publishEndpoints(0);
    for (RatioTestPolicy gateway : gateways) {
      for (int i = 0; i < LEARNING_REQUESTS; i++) {
        sendRequest(gateway, 1 + 0.05 * i);
      }
    }
    meter.clearWindows();
  }

  /** Restarts caches. Two thirds of the gateways learn of the restart now. */
  void restart(double now, long... stableIds) {
    restart(caches, now, stableIds);
    publishEndpoints(now);
  }

  /** Restarts caches. All gateways learn of the restart now. */
  void restartForAll(double now, long... stableIds) {
    restart(caches, now, stableIds);
    restart(lateCaches, now, stableIds);
    publishEndpoints(now);
  }

  /** Announces an earlier restart of caches to the other third of the gateways. */
  void announceToLateGateways(double startedAt, double now, long... stableIds) {
    restart(lateCaches, startedAt, stableIds);
    publishEndpoints(now);
  }

  private static void restart(List<Cache> list, double startedAt, long... stableIds) {
    for (long stableId : stableIds) {
      list.stream()
          .filter(cache -> cache.stableId == stableId)
          .forEach(cache -> cache.startedAt = toDuration(startedAt));
    }
  }

  private void publishEndpoints(double now) {
    for (int i = 0; i < gateways.size(); i++) {
      gateways.get(i).onEndpoints(i % 3 == 2 ? lateCaches : caches, toDuration(now));
    }
  }

  /** Sends requests at random times to gateways that are drawn by their traffic. */
  void sendRequests(double from, double to, double perSecond) {
    for (double now = from - Math.log(random.nextDouble()) / perSecond;
        now < to;
        now -= Math.log(random.nextDouble()) / perSecond) {
      sendRequest(drawGateway(), now);
    }
  }

  private RatioTestPolicy drawGateway() {
    double drawn = random.nextDouble() * cumulativeTraffic[cumulativeTraffic.length - 1];
    int i = 0;
    while (cumulativeTraffic[i] < drawn) {
      i++;
    }
    return gateways.get(i);
  }

  private void sendRequest(RatioTestPolicy gateway, double now) {
    Duration time = toDuration(now);
    Request request = newRequest(now);
    reportSpareCapacity(gateway, caches, time);
    reportSpareCapacity(gateway, lateCaches, time);
    Decision decision = gateway.route(request, time);
    while (decision instanceof Attempt attempt) {
      request.attempts.add(attempt);
      attempt.sentAt = time;
      end(request, attempt, now);
      decision = gateway.onOutcome(request, attempt, time);
    }
  }

  private Request newRequest(double now) {
    double factor =
        Math.exp(sizeDeviation * random.nextGaussian() - sizeDeviation * sizeDeviation / 2);
    double transferTime = meanTransferTime * factor;
    long object = drawObject();
    double kilobytes = PolicySettingsBuilder.TRANSFER_RATE_KB_PER_SECOND * transferTime;
    return new Request(
        requestClass, object, 0, 1, kilobytes, toDuration(now), toDuration(now + DEADLINE_SECONDS));
  }

  private long drawObject() {
    boolean hot = hotObjects && random.nextInt(4) > 0;
    return hot ? random.nextInt(HOT_OBJECTS) : FIRST_COLD_OBJECT + ++objects;
  }

  private static void reportSpareCapacity(RatioTestPolicy gateway, List<Cache> list, Duration now) {
    list.stream()
        .filter(cache -> cache.tier == Cache.Tier.EDGE)
        .forEach(
            cache ->
                gateway.onLoadReport(cache, new LoadReport(REPORTED_UTILIZATION, Double.NaN), now));
  }

  /** Ends an attempt at once and counts it at the caches that it reached. */
  private void end(Request request, Attempt attempt, double now) {
    boolean hot = request.objectId < FIRST_COLD_OBJECT;
    boolean lookup = attempt.source == attempt.cache;
    double drawn = random.nextDouble();
    boolean sent = drawn >= unsentShare;
    boolean hit = lookup || (hot && drawn > 1 - HOT_FILL_SHARE);
    Result result = result(sent, drawn, lookup && !hot);
    boolean served = result == Result.SERVED;
    Detail servedDetail = hit ? Detail.HIT : Detail.FILLED;
    attempt.outcome =
        new Outcome(
            result,
            served ? servedDetail : Detail.UNKNOWN,
            toDuration(meanTransferTime + HIT_WAIT_SECONDS),
            hit ? null : SOURCE_WAIT,
            served);
    if (sent) {
      meter.onArrival(attempt.cache, now);
      if (!hit) {
        meter.onArrival(attempt.source, now);
      }
    }
  }

  private Result result(boolean sent, double drawn, boolean miss) {
    if (!sent) {
      return Result.NOT_SENT;
    }
    if (drawn < unsentShare + failingShare) {
      return Result.FAILED;
    }
    return miss ? Result.MISS : Result.SERVED;
  }
}
