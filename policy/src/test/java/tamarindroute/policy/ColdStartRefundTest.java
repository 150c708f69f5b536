package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;

/**
 * What a gateway's trips took of a cold cache's bound comes back if they never got there, and in no
 * other case.
 */
class ColdStartRefundTest {

  private static final PolicySettings.ColdStart START =
      new PolicySettings.ColdStart(0.2, at(20), 3, at(2));

  private final Cache edge = cache(1, Cache.Tier.EDGE);
  private final Cache parent = cache(3, Cache.Tier.PARENT);
  private final Cache origin = cache(7, Cache.Tier.ORIGIN);
  private final List<Request> out = new ArrayList<>();
  private RatioTestPolicy policy;
  private long objects;

  private static Duration at(double seconds) {
    return Duration.ofNanos(Math.round(seconds * 1e9));
  }

  private static Cache cache(long stableId, Cache.Tier tier) {
    Cache cache = new Cache(stableId);
    cache.tier = tier;
    cache.weight = 20;
    return cache;
  }

  private static RequestClass requestClass(Duration maxAge) {
    return new RequestClass(
        RequestClass.Idempotency.IDEMPOTENT,
        RequestClass.DeduplicationScope.ALL,
        Duration.ZERO,
        at(0.1),
        20,
        true,
        maxAge);
  }

  private void startPolicy(boolean direct, Cache... caches) {
    policy =
        new RatioTestPolicy(
            new PolicySettings(
                5,
                0,
                1,
                1,
                List.of(0),
                1000,
                1e6,
                direct,
                true,
                true,
                false,
                true,
                null,
                8,
                START,
                START,
                at(6),
                PolicySettings.WeightMeaning.ROUGH));
    policy.onEndpoints(List.of(caches), at(10));
  }

  /** How many views went to the cache, or had it as their source, before it bore no more. */
  private int countSentTo(Cache to, Duration maxAge, double now) {
    out.clear();
    policy.onLoadReport(edge, new LoadReport(0.1, Double.NaN), at(now));
    for (int i = 0; i < 500; i++) {
      Request request =
          new Request(requestClass(maxAge), ++objects, 0, 1, 100, at(now), at(now + 9));
      if (policy.route(request, at(now)) instanceof Attempt attempt
          && (attempt.cache == to || attempt.source == to)) {
        attempt.sentAt = at(now);
        request.attempts.add(attempt);
        out.add(request);
      }
    }
    return out.size();
  }

  private void end(Result result, Detail detail, double now) {
    for (Request request : out) {
      Attempt attempt = request.attempts.get(0);
      attempt.outcome = new Outcome(result, detail, at(0.1), null, true);
      policy.onOutcome(request, attempt, at(now));
    }
  }

  /**
   * An unreached cache is also judged bad; the only one, it is tried all the same, within its
   * bound.
   */
  @ParameterizedTest
  @EnumSource(
      value = Result.class,
      names = {"NOT_SENT", "CONNECT_FAILED"})
  void tripsThatNeverLeftGiveBack(Result result) {
    parent.startedAt = at(10);
    edge.startedAt = at(10);
    startPolicy(false, edge, parent, origin);
    int first = countSentTo(edge, Duration.ZERO, 15);
    assertThat(first).isEqualTo(144);
    assertThat(countSentTo(edge, Duration.ZERO, 15)).isZero();
    // The same modules with the first ones out.
    startPolicy(false, edge, parent, origin);
    assertThat(countSentTo(edge, Duration.ZERO, 15)).isEqualTo(first);
    end(result, Detail.UNKNOWN, 15);
    assertThat(policy.cacheHealth(edge, at(15)).ejected())
        .isEqualTo(result == Result.CONNECT_FAILED);
    assertThat(countSentTo(edge, Duration.ZERO, 15)).isEqualTo(first);
  }

  @Test
  void otherEndingsGiveNothingBack() {
    edge.startedAt = at(10);
    startPolicy(false, edge, parent, origin);
    countSentTo(edge, Duration.ZERO, 15);
    end(Result.CANCELLED, Detail.UNKNOWN, 15);
    assertThat(countSentTo(edge, Duration.ZERO, 15)).isZero();
  }

  /**
   * What the former process never got is not there for the next, which has had nothing flow in yet.
   */
  @Test
  void aProcessThatStartedSinceGetsNothingOfIt() {
    edge.startedAt = at(10);
    startPolicy(false, edge, parent, origin);
    assertThat(countSentTo(edge, Duration.ZERO, 15)).isPositive();
    edge.startedAt = at(14.9);
    policy.onEndpoints(List.of(edge, parent, origin), at(15));
    end(Result.NOT_SENT, Detail.UNKNOWN, 15);
    assertThat(countSentTo(edge, Duration.ZERO, 15)).isZero();
  }

  /** A hit at the edge asked nothing of the parent; one that is renewed behind did. */
  @Test
  void aFillThatWasNotNeededGivesBackUnlessItsCopyIsRenewed() {
    parent.startedAt = at(10);
    edge.startedAt = at(10);
    startPolicy(false, edge, parent);
    edge.startedAt = null;
    policy.onEndpoints(List.of(edge, parent), at(10));
    edge.startedAt = at(1);
    policy.onEndpoints(List.of(edge, parent), at(10));
    int first = countSentTo(parent, at(8), 15);
    assertThat(first).isPositive();
    end(Result.SERVED, Detail.HIT, 15);
    assertThat(countSentTo(parent, at(8), 15)).as("renewed").isZero();
    startPolicy(false, edge, parent);
    assertThat(countSentTo(parent, Duration.ZERO, 15)).isEqualTo(first);
    end(Result.SERVED, Detail.HIT, 15);
    edge.weight = 1000;
    assertThat(countSentTo(parent, Duration.ZERO, 15)).as("plain").isPositive();
  }

  /** A view that went straight to a parent was there, whatever it found. */
  @Test
  void aHitAtTheParentItselfGivesNothingBack() {
    parent.startedAt = at(10);
    startPolicy(true, parent);
    assertThat(countSentTo(parent, Duration.ZERO, 15)).isPositive();
    end(Result.SERVED, Detail.HIT, 15);
    assertThat(countSentTo(parent, Duration.ZERO, 15)).isZero();
  }
}
