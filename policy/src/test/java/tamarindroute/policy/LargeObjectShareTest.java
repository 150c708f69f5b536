package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
 * The answered share of a class by size: the tenth with the largest objects and the next fifth
 * against the whole class, in a small world with one module, three edges whose links are shared by
 * their transfers, and a parent behind them. An answer counts in time or late. On quiet days at
 * least two thirds of the class's share, on others half.
 */
class LargeObjectShareTest {

  private static final double STEP = 0.004;
  private static final double MEAN = 0.1;

  /** A transfer under way; the time left before its first byte, then the work left. */
  private static final class Transfer {
    final Request request;
    final Attempt attempt;
    double wait;
    double work;

    Transfer(Request request, Attempt attempt, double wait, double work) {
      this.request = request;
      this.attempt = attempt;
      this.wait = wait;
      this.work = work;
    }
  }

  private final RequestClass requestClass =
      new RequestClass(
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.DeduplicationScope.ALL,
          Duration.ZERO,
          at(0.5),
          1.6,
          true,
          Duration.ZERO);
  private final Random dice = new Random(5);
  private final List<Transfer> out = new ArrayList<>();
  private final Map<Cache, Set<Long>> holds = new HashMap<>();
  private final Map<Cache, Double> speed = new HashMap<>();
  private final List<Request> requests = new ArrayList<>();
  private final Set<Request> open = new HashSet<>();
  private final Set<Request> answered = new HashSet<>();
  private double far = 0.05;
  private RatioTestPolicy policy;

  private static Duration at(double seconds) {
    return Duration.ofNanos(Math.round(seconds * 1e9));
  }

  private static Cache cache(long stableId, Cache.Tier tier, double weight) {
    Cache cache = new Cache(stableId);
    cache.tier = tier;
    cache.weight = weight;
    return cache;
  }

  private void follow(Request request, Decision decision, double now) {
    if (decision instanceof Attempt attempt) {
      attempt.sentAt = at(now);
      request.attempts.add(attempt);
      boolean held = holds.get(attempt.cache).contains(request.objectId);
      if (!held && attempt.source == attempt.cache) {
        out.add(new Transfer(request, attempt, 0.005, 0));
      } else {
        out.add(
            new Transfer(
                request,
                attempt,
                held ? 0.005 : attempt.source.tier == Cache.Tier.EDGE ? 0.01 : far,
                request.kilobytes / 1000));
      }
    } else if (decision instanceof Decision.Cancel recall) {
      out.removeIf(transfer -> transfer.attempt == recall.attempt());
      end(request, recall.attempt(), Result.CANCELLED, Detail.UNKNOWN, now);
    } else if (decision instanceof Decision.Reject || decision instanceof Decision.Fail) {
      open.remove(request);
    }
  }

  private void end(Request request, Attempt attempt, Result result, Detail detail, double now) {
    boolean over = result == Result.SERVED;
    if (over) {
      answered.add(request);
      open.remove(request);
    }
    boolean fill = detail == Detail.FILLED;
    attempt.outcome =
        new Outcome(result, detail, at(now).minus(attempt.sentAt), fill ? at(far) : null, over);
    follow(request, policy.onOutcome(request, attempt, at(now)), now);
  }

  private void step(double now) {
    Map<Cache, Integer> crowd = new HashMap<>();
    out.forEach(
        transfer -> crowd.merge(transfer.attempt.cache, transfer.wait <= 0 ? 1 : 0, Integer::sum));
    for (Transfer transfer : List.copyOf(out)) {
      Cache cache = transfer.attempt.cache;
      if (transfer.wait > 0) {
        transfer.wait -= STEP;
      } else {
        transfer.work -= STEP * speed.get(cache) * Math.min(1, cache.weight / crowd.get(cache));
      }
      if (transfer.wait <= 0 && transfer.work <= 0 && out.remove(transfer)) {
        boolean held = holds.get(cache).contains(transfer.request.objectId);
        if (transfer.attempt.source == cache && !held) {
          end(transfer.request, transfer.attempt, Result.MISS, Detail.UNKNOWN, now);
        } else {
          holds.get(cache).add(transfer.request.objectId);
          end(
              transfer.request,
              transfer.attempt,
              Result.SERVED,
              held ? Detail.HIT : Detail.FILLED,
              now);
        }
      } else if (now > transfer.request.deadline.toNanos() * 1e-9 && out.remove(transfer)) {
        end(transfer.request, transfer.attempt, Result.TIMED_OUT, Detail.UNKNOWN, now);
      }
    }
    for (Request request : List.copyOf(open)) {
      request.attempts.stream()
          .filter(
              t ->
                  t.outcome == null
                      && t.expectedBy != null
                      && t.expectedBy.compareTo(at(now)) <= 0
                      && t.expectedBy.compareTo(at(now - STEP)) > 0)
          .findFirst()
          .ifPresent(late -> follow(request, policy.route(request, at(now)), now));
    }
  }

  private static double share(List<Request> of, Set<Request> answered) {
    return (double) of.stream().filter(answered::contains).count() / of.size();
  }

  @ParameterizedTest
  @CsvSource({
    "quiet, 0.7, 1.3, 0.667",
    "quiet, 0.9, 1.0, 0.667",
    "quiet, 0.9, 1.3, 0.667",
    "quiet, 1.0, 1.0, 0.667",
    "quiet, 1.0, 1.3, 0.667",
    "short, 1.1, 1.3, 0.5",
    "short, 1.4, 1.0, 0.5",
    "short, 1.4, 1.3, 0.5",
    "slow, 0.8, 1.3, 0.5",
    "slow, 1.0, 1.0, 0.5",
    "far, 0.9, 1.3, 0.5",
    "cold, 0.9, 1.3, 0.5",
    "cold, 0.9, 0.8, 0.5"
  })
  void theLargestAreNotStarved(String day, double load, double sigma, double least) {
    PolicySettings.ColdStart start = new PolicySettings.ColdStart(0.2, at(17), 3, at(2));
    policy =
        new RatioTestPolicy(
            new PolicySettings(
                11,
                0,
                1,
                1,
                List.of(0),
                1000,
                30_000,
                false,
                true,
                true,
                false,
                true,
                at(0.5),
                8,
                start,
                start,
                at(6),
                PolicySettings.WeightMeaning.ROUGH));
    List<Cache> caches =
        List.of(
            cache(1, Cache.Tier.EDGE, 10),
            cache(2, Cache.Tier.EDGE, 10),
            cache(3, Cache.Tier.EDGE, 10),
            cache(4, Cache.Tier.PARENT, 40),
            cache(5, Cache.Tier.ORIGIN, 10));
    caches.forEach(c -> holds.put(c, new HashSet<>()));
    caches.forEach(c -> speed.put(c, 1.0));
    policy.onEndpoints(caches, at(0));
    double perSecond = load * 30 / MEAN, next = 0;
    long fresh = 1000;
    for (double now = 0; now < 40; now += STEP) {
      if (now > 8 && now < 8 + STEP && !day.equals("quiet")) {
        speed.put(caches.get(0), day.equals("slow") ? 0.2 : 1);
        far = day.equals("far") ? 0.5 : far;
        if (day.equals("cold")) {
          for (Cache cache : caches.subList(0, 3)) {
            cache.startedAt = at(now);
            holds.get(cache).clear();
          }
          policy.onEndpoints(caches, at(now));
        }
      }
      for (; next < now; next -= Math.log(dice.nextDouble()) / perSecond) {
        long object = dice.nextInt(4) > 0 ? dice.nextInt(400) : ++fresh;
        double size =
            MEAN * Math.exp(sigma * new Random(object * 31 + 7).nextGaussian() - sigma * sigma / 2);
        Request request =
            new Request(requestClass, object, 0, 1, 1000 * size, at(now), at(now + 3));
        requests.add(request);
        open.add(request);
        follow(request, policy.route(request, at(now)), now);
      }
      step(now);
    }
    requests.removeIf(
        request -> request.arrivalTime.toSeconds() < 8 || request.arrivalTime.toSeconds() > 35);
    requests.sort(Comparator.comparingDouble(request -> -request.kilobytes));
    double all = share(requests, answered);
    double largest = share(requests.subList(0, requests.size() / 10), answered);
    double large =
        share(requests.subList(requests.size() / 10, requests.size() * 3 / 10), answered);
    assertThat(Math.min(largest, large) / all).isGreaterThan(least);
    assertThat(all).isGreaterThan(0.6);
  }
}
