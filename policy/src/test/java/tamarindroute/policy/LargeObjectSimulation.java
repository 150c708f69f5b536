package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;
import static tamarindroute.numeric.Seconds.toDuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;

/**
 * A simulation of one gateway with three edges, a parent and an origin. Transfers share the links
 * of the edges. Objects differ widely in size. Times are in seconds, and sizes are in seconds of
 * transfer.
 */
final class LargeObjectSimulation {

  private static final double STEP_SECONDS = 0.004;
  private static final double END_SECONDS = 40;

  /** Time at which the disturbance of the day begins. */
  private static final double DISTURBANCE_SECONDS = 8;

  private static final double MEAN_SIZE_SECONDS = 0.1;
  private static final double TIMEOUT_SECONDS = 3;
  private static final double HIT_WAIT_SECONDS = 0.005;
  private static final double SIBLING_WAIT_SECONDS = 0.01;
  private static final double PARENT_WAIT_SECONDS = 0.05;
  private static final double SLOW_PARENT_WAIT_SECONDS = 0.5;
  private static final double SLOW_EDGE_SPEED = 0.2;
  private static final int POPULAR_OBJECTS = 400;
  private static final int FIRST_UNIQUE_OBJECT = 1000;
  private static final int EDGE_COUNT = 3;
  private static final double EDGE_WEIGHT = 10;
  private static final double INBOUND_LINK_KB_PER_SECOND = 30_000;

  /** An attempt in flight. It waits first, and then transfers its work. */
  private static final class Transfer {
    private final Request request;
    private final Attempt attempt;
    private double remainingWait;
    private double remainingWork;

    Transfer(Request request, Attempt attempt, double wait, double work) {
      this.request = request;
      this.attempt = attempt;
      remainingWait = wait;
      remainingWork = work;
    }

    boolean isSending() {
      return remainingWait <= 0;
    }

    boolean isDone() {
      return remainingWait <= 0 && remainingWork <= 0;
    }

    void advance(double speed) {
      if (isSending()) {
        remainingWork -= STEP_SECONDS * speed;
      } else {
        remainingWait -= STEP_SECONDS;
      }
    }
  }

  private final RequestClass requestClass = TestValues.cacheableClass(toDuration(0.5), 1.6);
  private final Random random = new Random(5);
  private final RatioTestPolicy policy;
  private final List<Cache> caches =
      List.of(
          TestValues.cache(1, Cache.Tier.EDGE, EDGE_WEIGHT),
          TestValues.cache(2, Cache.Tier.EDGE, EDGE_WEIGHT),
          TestValues.cache(3, Cache.Tier.EDGE, EDGE_WEIGHT),
          TestValues.cache(4, Cache.Tier.PARENT, 4 * EDGE_WEIGHT),
          TestValues.cache(5, Cache.Tier.ORIGIN, EDGE_WEIGHT));
  private final double requestsPerSecond;
  private final double sizeDeviation;
  private final Map<Cache, Set<Long>> objectsByCache = new HashMap<>();
  private final Map<Cache, Double> speedByCache = new HashMap<>();
  private final List<Transfer> transfers = new ArrayList<>();
  private final List<Request> requests = new ArrayList<>();
  private final Set<Request> open = new HashSet<>();
  private final Set<Request> answered = new HashSet<>();
  private double parentWait = PARENT_WAIT_SECONDS;
  private long uniqueObjects = FIRST_UNIQUE_OBJECT;

  /**
   * Creates a simulation.
   *
   * @param load requested work as a share of the capacity of the edges
   * @param sizeDeviation standard deviation of the logarithm of sizes
   */
  LargeObjectSimulation(double load, double sizeDeviation) {
    this.sizeDeviation = sizeDeviation;
    requestsPerSecond = load * (EDGE_COUNT * EDGE_WEIGHT) / MEAN_SIZE_SECONDS;
    for (Cache cache : caches) {
      objectsByCache.put(cache, new HashSet<>());
      speedByCache.put(cache, 1.0);
    }
    policy = new RatioTestPolicy(settings());
    policy.onEndpoints(caches, Duration.ZERO);
  }

  private static PolicySettings settings() {
    return new PolicySettingsBuilder()
        .seed(11)
        .inboundLink(INBOUND_LINK_KB_PER_SECOND)
        .maxRetryAfter(toDuration(0.5))
        .coldStart(new PolicySettings.ColdStart(0.2, toDuration(17), 3, toDuration(2)))
        .build();
  }

  List<Request> requests() {
    return requests;
  }

  Set<Request> answered() {
    return answered;
  }

  /** Simulates a day with the named disturbance. */
  void run(String day) {
    double nextArrival = 0;
    for (double now = 0; now < END_SECONDS; now += STEP_SECONDS) {
      if (now > DISTURBANCE_SECONDS && now < DISTURBANCE_SECONDS + STEP_SECONDS) {
        disturb(day, now);
      }
      while (nextArrival < now) {
        sendRequest(now);
        nextArrival -= Math.log(random.nextDouble()) / requestsPerSecond;
      }
      advanceTransfers(now);
      decideOnLateAttempts(now);
    }
  }

  private void disturb(String day, double now) {
    switch (day) {
      case "quiet", "overload" -> {
        // Nothing but the load differs.
      }
      case "slow-edge" -> speedByCache.put(caches.get(0), SLOW_EDGE_SPEED);
      case "slow-parent" -> parentWait = SLOW_PARENT_WAIT_SECONDS;
      case "cold-edges" -> restartEdges(now);
      default ->
          throw new IllegalArgumentException(
              "day is \""
                  + day
                  + "\", expected quiet, overload, slow-edge, slow-parent or cold-edges");
    }
  }

  private void restartEdges(double now) {
    for (Cache edge : caches.subList(0, EDGE_COUNT)) {
      edge.startedAt = toDuration(now);
      objectsByCache.get(edge).clear();
    }
    policy.onEndpoints(caches, toDuration(now));
  }

  private void sendRequest(double now) {
    boolean popular = random.nextInt(4) > 0;
    long object = popular ? random.nextInt(POPULAR_OBJECTS) : ++uniqueObjects;
    double kilobytes = PolicySettingsBuilder.TRANSFER_RATE_KB_PER_SECOND * size(object);
    Request request =
        new Request(
            requestClass,
            object,
            0,
            1,
            kilobytes,
            toDuration(now),
            toDuration(now + TIMEOUT_SECONDS));
    requests.add(request);
    open.add(request);
    execute(request, policy.route(request, toDuration(now)), now);
  }

  private double size(long object) {
    double gaussian = new Random(object * 31 + 7).nextGaussian();
    return MEAN_SIZE_SECONDS
        * Math.exp(sizeDeviation * gaussian - sizeDeviation * sizeDeviation / 2);
  }

  private void execute(Request request, Decision decision, double now) {
    if (decision instanceof Attempt attempt) {
      attempt.sentAt = toDuration(now);
      request.attempts.add(attempt);
      transfers.add(newTransfer(request, attempt));
    } else if (decision instanceof Decision.Cancel cancel) {
      transfers.removeIf(transfer -> transfer.attempt == cancel.attempt());
      end(request, cancel.attempt(), Result.CANCELLED, Detail.UNKNOWN, now);
    } else if (decision instanceof Decision.Reject || decision instanceof Decision.Fail) {
      open.remove(request);
    }
  }

  private Transfer newTransfer(Request request, Attempt attempt) {
    double work = request.kilobytes / PolicySettingsBuilder.TRANSFER_RATE_KB_PER_SECOND;
    if (holds(attempt.cache, request)) {
      return new Transfer(request, attempt, HIT_WAIT_SECONDS, work);
    }
    if (attempt.source == attempt.cache) {
      return new Transfer(request, attempt, HIT_WAIT_SECONDS, 0);
    }
    double wait = attempt.source.tier == Cache.Tier.EDGE ? SIBLING_WAIT_SECONDS : parentWait;
    return new Transfer(request, attempt, wait, work);
  }

  private boolean holds(Cache cache, Request request) {
    return objectsByCache.get(cache).contains(request.objectId);
  }

  private void advanceTransfers(double now) {
    Map<Cache, Integer> sending = new HashMap<>();
    for (Transfer transfer : transfers) {
      sending.merge(transfer.attempt.cache, transfer.isSending() ? 1 : 0, Integer::sum);
    }
    for (Transfer transfer : List.copyOf(transfers)) {
      Cache cache = transfer.attempt.cache;
      transfer.advance(speedByCache.get(cache) * Math.min(1, cache.weight / sending.get(cache)));
      if (transfer.isDone()) {
        if (transfers.remove(transfer)) {
          endDone(transfer, now);
        }
      } else if (now > seconds(transfer.request.deadline) && transfers.remove(transfer)) {
        end(transfer.request, transfer.attempt, Result.TIMED_OUT, Detail.UNKNOWN, now);
      }
    }
  }

  private void endDone(Transfer transfer, double now) {
    Request request = transfer.request;
    Attempt attempt = transfer.attempt;
    boolean hit = holds(attempt.cache, request);
    if (attempt.source == attempt.cache && !hit) {
      end(request, attempt, Result.MISS, Detail.UNKNOWN, now);
    } else {
      objectsByCache.get(attempt.cache).add(request.objectId);
      end(request, attempt, Result.SERVED, hit ? Detail.HIT : Detail.FILLED, now);
    }
  }

  private void end(Request request, Attempt attempt, Result result, Detail detail, double now) {
    boolean served = result == Result.SERVED;
    if (served) {
      answered.add(request);
      open.remove(request);
    }
    Duration sourceWait = detail == Detail.FILLED ? toDuration(parentWait) : null;
    attempt.outcome =
        new Outcome(result, detail, toDuration(now).minus(attempt.sentAt), sourceWait, served);
    execute(request, policy.onOutcome(request, attempt, toDuration(now)), now);
  }

  /**
   * Requests a further decision on each open request with an attempt that became late in this step.
   */
  private void decideOnLateAttempts(double now) {
    for (Request request : List.copyOf(open)) {
      boolean becameLate =
          request.attempts.stream()
              .anyMatch(
                  attempt ->
                      attempt.isLate(toDuration(now))
                          && attempt.expectedBy.compareTo(toDuration(now - STEP_SECONDS)) > 0);
      if (becameLate) {
        execute(request, policy.route(request, toDuration(now)), now);
      }
    }
  }
}
