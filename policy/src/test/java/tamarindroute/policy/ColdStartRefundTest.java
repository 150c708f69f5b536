package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.numeric.Seconds.toDuration;

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

/**
 * Tests that the slow start budget of a cold cache is refunded for attempts that did not reach the
 * cache, and for no others. Without refunds, lost connections would use up the budget. Refunds of
 * attempts that did reach the cache would let it be overloaded.
 */
class ColdStartRefundTest {

  private static final PolicySettings.ColdStart COLD_START =
      new PolicySettings.ColdStart(0.2, toDuration(20), 3, toDuration(2));
  private static final Duration STARTED = toDuration(10);
  private static final Duration NOW = toDuration(15);
  private static final Duration TRANSFER_TIME = toDuration(0.1);
  private static final Duration MAX_AGE = toDuration(8);
  private static final double WEIGHT = 20;
  private static final int MORE_THAN_ADMITTED = 500;

  private final Cache edge = TestValues.cache(1, Cache.Tier.EDGE, WEIGHT);
  private final Cache parent = TestValues.cache(3, Cache.Tier.PARENT, WEIGHT);
  private final Cache origin = TestValues.cache(7, Cache.Tier.ORIGIN, WEIGHT);
  private final List<Request> sent = new ArrayList<>();
  private RatioTestPolicy policy;
  private long objects;

  private void createPolicy(boolean edgeBypass, Cache... caches) {
    policy =
        new RatioTestPolicy(
            new PolicySettingsBuilder()
                .seed(5)
                .inboundLink(1e6)
                .edgeBypass(edgeBypass)
                .coldStart(COLD_START)
                .build());
    policy.onEndpoints(List.of(caches), STARTED);
  }

  /**
   * Sends more requests than the budget of the cache admits and returns the number of attempts with
   * the cache as target or source.
   */
  private int exhaust(Cache cache, Duration maxAge) {
    sent.clear();
    policy.onLoadReport(edge, new LoadReport(0.1, Double.NaN), NOW);
    for (int i = 0; i < MORE_THAN_ADMITTED; i++) {
      Request request = newRequest(maxAge);
      if (policy.route(request, NOW) instanceof Attempt attempt
          && attempt.contactedCaches().contains(cache)) {
        attempt.sentAt = NOW;
        request.attempts.add(attempt);
        sent.add(request);
      }
    }
    return sent.size();
  }

  private int exhaust(Cache cache) {
    return exhaust(cache, Duration.ZERO);
  }

  private Request newRequest(Duration maxAge) {
    double kilobytes = 100;
    return new Request(
        TestValues.cacheableClass(TRANSFER_TIME, 20, maxAge),
        ++objects,
        0,
        1,
        kilobytes,
        NOW,
        NOW.plusSeconds(9));
  }

  private void endAll(Result result, Detail detail) {
    for (Request request : sent) {
      Attempt attempt = request.attempts.get(0);
      attempt.outcome = new Outcome(result, detail, TRANSFER_TIME, null, true);
      policy.onOutcome(request, attempt, NOW);
    }
  }

  /**
   * A cache without connections is also ejected. As the only edge it is used nevertheless, within
   * its budget.
   */
  @ParameterizedTest
  @EnumSource(
      value = Result.class,
      names = {"NOT_SENT", "CONNECT_FAILED"})
  void attemptsThatWereNotSentAreRefunded(Result result) {
    parent.startedAt = STARTED;
    edge.startedAt = STARTED;
    createPolicy(false, edge, parent, origin);
    int first = exhaust(edge);
    assertThat(first).isEqualTo(144);
    assertThat(exhaust(edge)).isZero();
    // Repeats this with a new policy, so that the admitted requests are the ones in flight.
    createPolicy(false, edge, parent, origin);
    assertThat(exhaust(edge)).isEqualTo(first);
    endAll(result, Detail.UNKNOWN);
    assertThat(policy.cacheHealth(edge, NOW).ejected()).isEqualTo(result == Result.CONNECT_FAILED);
    assertThat(exhaust(edge)).isEqualTo(first);
  }

  @Test
  void otherOutcomesAreNotRefunded() {
    edge.startedAt = STARTED;
    createPolicy(false, edge, parent, origin);
    exhaust(edge);
    endAll(Result.CANCELLED, Detail.UNKNOWN);
    assertThat(exhaust(edge)).isZero();
  }

  /**
   * A new process of the cache gets no refund for attempts at the previous one. No budget has
   * accrued for it yet.
   */
  @Test
  void nothingIsRefundedToANewProcess() {
    edge.startedAt = STARTED;
    createPolicy(false, edge, parent, origin);
    assertThat(exhaust(edge)).isPositive();
    edge.startedAt = toDuration(14.9);
    policy.onEndpoints(List.of(edge, parent, origin), NOW);
    endAll(Result.NOT_SENT, Detail.UNKNOWN);
    assertThat(exhaust(edge)).isZero();
  }

  /**
   * A hit at the edge does not use the parent that was named as its source, unless the copy is
   * revalidated in the background.
   */
  @Test
  void unusedFillIsRefundedUnlessItsCopyIsRevalidated() {
    parent.startedAt = STARTED;
    edge.startedAt = STARTED;
    createPolicy(false, edge, parent);
    edge.startedAt = null;
    policy.onEndpoints(List.of(edge, parent), STARTED);
    edge.startedAt = toDuration(1);
    policy.onEndpoints(List.of(edge, parent), STARTED);
    int first = exhaust(parent, MAX_AGE);
    assertThat(first).isPositive();
    endAll(Result.SERVED, Detail.HIT);
    assertThat(exhaust(parent, MAX_AGE)).as("revalidated").isZero();
    createPolicy(false, edge, parent);
    assertThat(exhaust(parent)).isEqualTo(first);
    endAll(Result.SERVED, Detail.HIT);
    edge.weight = 1000;
    assertThat(exhaust(parent)).as("not revalidated").isPositive();
  }

  /**
   * A request that bypassed the edges reached the parent, whether or not the parent held a copy.
   */
  @Test
  void hitAtTheParentItselfIsNotRefunded() {
    parent.startedAt = STARTED;
    createPolicy(true, parent);
    assertThat(exhaust(parent)).isPositive();
    endAll(Result.SERVED, Detail.HIT);
    assertThat(exhaust(parent)).isZero();
  }
}
