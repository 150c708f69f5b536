package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
 * The sum of what a whole fleet sends to cold caches, each gateway a module of its own with its own
 * seed and uneven traffic. A cold cache that may have N requests of mean work in the settings' time
 * has to get less than N + 2 x root of N + 2, in every window of that length, from the gateways
 * that were told of its start.
 */
class ColdStartFleetTest {

  private static final double WINDOW = 2;
  private static final double UP = 20;
  private static final PolicySettings.ColdStart EDGE =
      new PolicySettings.ColdStart(0.2, at(17), 3, at(WINDOW));
  private static final PolicySettings.ColdStart PARENT =
      new PolicySettings.ColdStart(0.064, at(22), 2, at(WINDOW));

  private RequestClass requestClass;
  private final Map<Long, Deque<Double>> reached = new HashMap<>();
  private final Map<Long, Double> worst = new HashMap<>();
  private final Map<Long, Integer> had = new HashMap<>();

  /** What a third of the gateways hold, which are told late, stands in caches of their own. */
  private final List<Cache> list = new ArrayList<>(), late = new ArrayList<>();

  private final List<RatioTestPolicy> fleet = new ArrayList<>();
  private Random dice;
  private double[] upTo;
  private double sigma, mean = 0.1;

  /** The share of trips that fail there, and of those that never leave. */
  private double failing, unsent;

  private long objects;
  private boolean hot;

  private static Duration at(double seconds) {
    return Duration.ofNanos(Math.round(seconds * 1e9));
  }

  private Cache cache(long stableId, Cache.Tier tier, double weight) {
    for (List<Cache> of : List.of(late, list)) {
      Cache cache = new Cache(stableId);
      cache.tier = tier;
      cache.weight = weight;
      of.add(cache);
    }
    return list.get(list.size() - 1);
  }

  private double weight(PolicySettings.ColdStart start, double most) {
    return most * mean / (start.overloadMultiple() * WINDOW);
  }

  /** Where a cache bears few requests, they are long ones: a link is some transfers wide. */
  private void fleet(int size, double most, int seed) {
    mean = Math.min(0.9, Math.max(0.1, 30 / most));
    // The mean sending time is known from the start, as the modules start from the agreed time.
    requestClass =
        new RequestClass(
            RequestClass.Idempotency.IDEMPOTENT,
            RequestClass.DeduplicationScope.ALL,
            Duration.ZERO,
            at(mean),
            20,
            true,
            Duration.ZERO);
    dice = new Random(seed);
    for (int i = 0; i < size; i++) {
      fleet.add(
          new RatioTestPolicy(
              new PolicySettings(
                  dice.nextLong(),
                  0,
                  size,
                  size,
                  List.of(0),
                  1000,
                  0,
                  false,
                  true,
                  true,
                  false,
                  true,
                  null,
                  8,
                  EDGE,
                  PARENT,
                  Duration.ofSeconds(6),
                  PolicySettings.WeightMeaning.ROUGH)));
    }
    upTo = new double[size];
    double sum = 0;
    for (int i = 0; i < size; i++) {
      sum += Math.exp(1.2 * dice.nextGaussian());
      upTo[i] = sum;
    }
  }

  private int some() {
    double drawn = dice.nextDouble() * upTo[upTo.length - 1];
    int i = 0;
    while (upTo[i] < drawn) {
      i++;
    }
    return i;
  }

  private void publishEndpoints(double now) {
    for (int i = 0; i < fleet.size(); i++) {
      fleet.get(i).onEndpoints(i % 3 == 2 ? late : list, at(now));
    }
  }

  private void start(double now, List<Cache> where, long... stableIds) {
    for (long stableId : stableIds) {
      where.stream()
          .filter(cache -> cache.stableId == stableId)
          .forEach(cache -> cache.startedAt = at(now));
    }
  }

  /**
   * Each module learns its classes' mean sending time on warm caches, before anything starts cold.
   */
  private void learn() {
    publishEndpoints(0);
    for (RatioTestPolicy policy : fleet) {
      for (int i = 0; i < 150; i++) {
        sendRequest(policy, 1 + 0.05 * i);
      }
    }
    had.clear();
    reached.clear();
  }

  private void sendRequest(RatioTestPolicy policy, double now) {
    double size = mean * Math.exp(sigma * dice.nextGaussian() - sigma * sigma / 2);
    long object = hot && dice.nextInt(4) > 0 ? dice.nextInt(3) : 1000 + ++objects;
    Request request = new Request(requestClass, object, 0, 1, 1000 * size, at(now), at(now + 9));
    list.stream()
        .filter(cache -> cache.tier == Cache.Tier.EDGE)
        .forEach(cache -> policy.onLoadReport(cache, new LoadReport(0.3, Double.NaN), at(now)));
    late.stream()
        .filter(cache -> cache.tier == Cache.Tier.EDGE)
        .forEach(cache -> policy.onLoadReport(cache, new LoadReport(0.3, Double.NaN), at(now)));
    Decision decision = policy.route(request, at(now));
    while (decision instanceof Attempt attempt) {
      request.attempts.add(attempt);
      attempt.sentAt = at(now);
      boolean look = attempt.source == attempt.cache;
      double random = dice.nextDouble();
      boolean left = random >= unsent;
      Result result =
          !left
              ? Result.NOT_SENT
              : random < unsent + failing
                  ? Result.FAILED
                  : look && object >= 1000 ? Result.MISS : Result.SERVED;
      boolean hit = look || object < 1000 && random > 0.9;
      attempt.outcome =
          new Outcome(
              result,
              result == Result.SERVED ? hit ? Detail.HIT : Detail.FILLED : Detail.UNKNOWN,
              at(mean + 0.01),
              hit ? null : at(0.03),
              result == Result.SERVED);
      if (left) {
        arrived(attempt.cache, now);
        if (!look && !hit) {
          arrived(attempt.source, now);
        }
      }
      decision = policy.onOutcome(request, attempt, at(now));
    }
  }

  private void arrived(Cache cache, double now) {
    if (cache.startedAt == null || cache.tier == Cache.Tier.ORIGIN) {
      return;
    }
    PolicySettings.ColdStart start = cache.tier == Cache.Tier.EDGE ? EDGE : PARENT;
    double up = cache.startedAt.toNanos() * 1e-9, warm = start.warmAfter().toSeconds();
    if (now > up + warm) {
      return;
    }
    Deque<Double> times = reached.computeIfAbsent(cache.stableId, c -> new ArrayDeque<>());
    times.add(now);
    while (times.peek() <= Math.max(up, now - WINDOW)) {
      times.remove();
    }
    double age = (Math.max(0, now - WINDOW - up) + now - up) / 2;
    double n =
        start.overloadMultiple()
            * WINDOW
            * cache.weight
            / mean
            * (start.initialCapacity() + (1 - start.initialCapacity()) * age / warm);
    worst.merge(cache.stableId, times.size() / (n + 2 * Math.sqrt(n) + 2), Math::max);
    had.merge(cache.stableId, 1, Integer::sum);
  }

  private void demand(double from, double to, double perSecond) {
    for (double now = from - Math.log(dice.nextDouble()) / perSecond;
        now < to;
        now -= Math.log(dice.nextDouble()) / perSecond) {
      sendRequest(fleet.get(some()), now);
    }
  }

  private void check(String what) {
    assertThat(worst).as("what anything reached").isNotEmpty();
    worst.forEach(
        (stableId, most) -> {
          assertThat(most).as(what + " at " + stableId).isLessThan(1);
        });
  }

  @ParameterizedTest
  @CsvSource({
    "4, 60, 0, 1",
    "4, 1200, 0, 1",
    "4, 1200, 1.2, 1",
    "30, 60, 0, 1",
    "30, 60, 1.2, 1",
    "30, 1200, 0, 1",
    "120, 60, 0, 1",
    "120, 200, 1.2, 1",
    "120, 1200, 0, 1",
    "30, 20, 0, 2",
    "120, 20, 0, 3",
    "30, 400, 0, 1"
  })
  void steady(int size, double most, double sigma, int seed) {
    this.sigma = sigma;
    fleet(size, most, seed);
    cache(1, Cache.Tier.EDGE, weight(EDGE, most));
    cache(7, Cache.Tier.ORIGIN, 50);
    learn();
    start(UP, list, 1);
    start(UP, late, 1);
    publishEndpoints(UP);
    demand(UP, UP + 17, 1.5 * most / WINDOW);
    check("steady " + most + " s" + sigma);
  }

  @ParameterizedTest
  @CsvSource({
    "4, 60, 0, 1",
    "4, 1200, 0, 1",
    "4, 1200, 1.2, 1",
    "30, 60, 0, 1",
    "30, 60, 1.2, 1",
    "30, 1200, 0, 1",
    "120, 60, 0, 1",
    "120, 200, 1.2, 1",
    "120, 1200, 0, 1",
    "30, 20, 0, 2",
    "120, 20, 0, 3",
    "30, 400, 0, 1"
  })
  void bursts(int size, double most, double sigma, int seed) {
    this.sigma = sigma;
    fleet(size, most, seed);
    cache(1, Cache.Tier.EDGE, weight(EDGE, most));
    cache(7, Cache.Tier.ORIGIN, 50);
    learn();
    start(UP, list, 1);
    start(UP, late, 1);
    publishEndpoints(UP);
    for (double t = 2; t < 17; t += 4) {
      demand(UP + t, UP + t + 2.2, 5 * most / WINDOW);
    }
    check("bursts " + most + " s" + sigma);
  }

  @ParameterizedTest
  @CsvSource({"4, 20, 1", "30, 20, 1", "120, 20, 1", "4, 900, 1", "30, 900, 1", "120, 900, 1"})
  void parent(int size, double most, int seed) {
    fleet(size, most, seed);
    cache(1, Cache.Tier.EDGE, most);
    cache(2, Cache.Tier.EDGE, most);
    cache(3, Cache.Tier.PARENT, weight(PARENT, most));
    cache(7, Cache.Tier.ORIGIN, 50);
    learn();
    start(UP, list, 3);
    start(UP, late, 3);
    publishEndpoints(UP);
    demand(UP, UP + 10, 1.5 * most / WINDOW);
    demand(UP + 13, UP + 22, 4 * most / WINDOW);
    check("parent " + most);
  }

  /**
   * Hot objects, failures, trips that never leave, a third told late, several cold at once, a
   * restart in between.
   */
  @ParameterizedTest
  @CsvSource({
    "4, 12, 1",
    "30, 12, 1",
    "120, 12, 1",
    "4, 600, 1",
    "30, 600, 1",
    "120, 600, 1",
    "30, 12, 2",
    "30, 60, 3"
  })
  void rough(int size, double most, int seed) {
    sigma = 0.8;
    hot = true;
    fleet(size, most, seed);
    cache(1, Cache.Tier.EDGE, weight(EDGE, most));
    cache(2, Cache.Tier.EDGE, weight(EDGE, most));
    cache(4, Cache.Tier.EDGE, weight(EDGE, most));
    cache(3, Cache.Tier.PARENT, weight(PARENT, most));
    cache(7, Cache.Tier.ORIGIN, 50);
    learn();
    failing = 0.05;
    unsent = 0.1;
    start(UP, list, 1, 2, 3);
    publishEndpoints(UP);
    demand(UP, UP + 2, 3 * most / WINDOW);
    start(UP, late, 1, 2, 3);
    publishEndpoints(UP + 2);
    demand(UP + 2, UP + 6, 3 * most / WINDOW);
    failing = 0.4;
    demand(UP + 6, UP + 9, 3 * most / WINDOW);
    failing = 0.05;
    start(UP + 9, list, 1);
    start(UP + 9, late, 1);
    publishEndpoints(UP + 9);
    demand(UP + 9, UP + 20, 3 * most / WINDOW);
    check("rough " + most);
  }

  /** A gateway's fifth that is dealt the others' parts, back and forth, and bursts beyond. */
  @ParameterizedTest
  @CsvSource({"10, 20, 1", "30, 20, 1", "30, 1200, 1"})
  void dealt(int size, double most, int seed) {
    fleet(size, most, seed);
    cache(1, Cache.Tier.EDGE, weight(EDGE, most));
    cache(7, Cache.Tier.ORIGIN, 50);
    learn();
    start(UP, list, 1);
    start(UP, late, 1);
    publishEndpoints(UP);
    for (int t = 0; t < 16; t += 2) {
      for (int i = 0; i < size; i++) {
        double part = i % 5 == t / 2 % 5 ? 4.0 / size : 0.25 / size;
        fleet.get(i).onQuotaGrant(Cache.Tier.EDGE, part, at(UP + t + 2), at(UP + t));
      }
      demand(UP + t, UP + t + 2, 3 * most / WINDOW);
    }
    check("dealt " + most);
  }
}
