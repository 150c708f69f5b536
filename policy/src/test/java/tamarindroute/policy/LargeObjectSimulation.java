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
 * One gateway with three edges, whose links are shared by their transfers, a parent and an origin.
 * Objects differ widely in size. Times and sizes are in seconds, of transfer for sizes.
 */
final class LargeObjectSimulation {

  private static final double STEP = 0.004;
  private static final double END = 40;

  /** When the day's disturbance begins. */
  private static final double DISTURBANCE = 8;

  private static final double MEAN_SIZE = 0.1;
  private static final double TIMEOUT = 3;
  private static final double HIT_WAIT = 0.005;
  private static final double SIBLING_WAIT = 0.01;
  private static final double PARENT_WAIT = 0.05;
  private static final double SLOW_PARENT_WAIT = 0.5;
  private static final double SLOW_EDGE_SPEED = 0.2;
  private static final int POPULAR_OBJECTS = 400;
  private static final int FIRST_UNIQUE_OBJECT = 1000;
  private static final int EDGES = 3;
  private static final double EDGE_WEIGHT = 10;
  private static final double INBOUND_LINK = 30_000;

  /** An attempt in flight: first a wait, then its transfer. */
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

    void advance(double pace) {
      if (isSending()) {
        remainingWork -= STEP * pace;
      } else {
        remainingWait -= STEP;
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
  private double parentWait = PARENT_WAIT;
  private long uniqueObjects = FIRST_UNIQUE_OBJECT;

  /**
   * Creates the simulation.
   *
   * @param load requested work as a share of the edges' capacity
   * @param sizeDeviation deviation of the logarithm of sizes
   */
  LargeObjectSimulation(double load, double sizeDeviation) {
    this.sizeDeviation = sizeDeviation;
    requestsPerSecond = load * (EDGES * EDGE_WEIGHT) / MEAN_SIZE;
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
        .inboundLink(INBOUND_LINK)
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

  /** Simulates a day, named for its disturbance. */
  void run(String day) {
    double nextArrival = 0;
    for (double now = 0; now < END; now += STEP) {
      if (now > DISTURBANCE && now < DISTURBANCE + STEP) {
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
        // The load alone makes the day.
      }
      case "slow-edge" -> speedByCache.put(caches.get(0), SLOW_EDGE_SPEED);
      case "slow-parent" -> parentWait = SLOW_PARENT_WAIT;
      case "cold-edges" -> restartEdges(now);
      default -> throw new IllegalArgumentException("unknown day: " + day);
    }
  }

  private void restartEdges(double now) {
    for (Cache edge : caches.subList(0, EDGES)) {
      edge.startedAt = toDuration(now);
      objectsByCache.get(edge).clear();
    }
    policy.onEndpoints(caches, toDuration(now));
  }

  private void sendRequest(double now) {
    boolean popular = random.nextInt(4) > 0;
    long object = popular ? random.nextInt(POPULAR_OBJECTS) : ++uniqueObjects;
    double kilobytes = PolicySettingsBuilder.TRANSFER_RATE * size(object);
    Request request =
        new Request(
            requestClass, object, 0, 1, kilobytes, toDuration(now), toDuration(now + TIMEOUT));
    requests.add(request);
    open.add(request);
    follow(request, policy.route(request, toDuration(now)), now);
  }

  private double size(long object) {
    double gaussian = new Random(object * 31 + 7).nextGaussian();
    return MEAN_SIZE * Math.exp(sizeDeviation * gaussian - sizeDeviation * sizeDeviation / 2);
  }

  private void follow(Request request, Decision decision, double now) {
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
    double work = request.kilobytes / PolicySettingsBuilder.TRANSFER_RATE;
    if (holds(attempt.cache, request)) {
      return new Transfer(request, attempt, HIT_WAIT, work);
    }
    if (attempt.source == attempt.cache) {
      return new Transfer(request, attempt, HIT_WAIT, 0);
    }
    double wait = attempt.source.tier == Cache.Tier.EDGE ? SIBLING_WAIT : parentWait;
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
    follow(request, policy.onOutcome(request, attempt, toDuration(now)), now);
  }

  /**
   * Asks for a decision about each open request with an attempt that has become late in this step.
   */
  private void decideOnLateAttempts(double now) {
    for (Request request : List.copyOf(open)) {
      boolean becameLate =
          request.attempts.stream()
              .anyMatch(
                  attempt ->
                      attempt.isLate(toDuration(now))
                          && attempt.expectedBy.compareTo(toDuration(now - STEP)) > 0);
      if (becameLate) {
        follow(request, policy.route(request, toDuration(now)), now);
      }
    }
  }
}
