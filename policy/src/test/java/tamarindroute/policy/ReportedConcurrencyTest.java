package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.data.Offset.offset;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.PolicySettings;

/**
 * Tests how a cache's report of its outstanding requests changes the concurrency estimate of a
 * gateway.
 */
class ReportedConcurrencyTest {

  private static final double NOW_SECONDS = 10;
  private static final int GATEWAYS = 4;
  private static final int OWN_IN_FLIGHT = 5;
  private static final double WEIGHT = 10;

  private CacheState state;

  @BeforeEach
  void createEdgeSharedByFourGateways() {
    Cache edge = TestValues.cache(1, Cache.Tier.EDGE, WEIGHT);
    SharedState shared = SharedState.create(settings());
    shared.tiers().onEndpoints(List.of(edge), 0);
    state = shared.tiers().get(edge);
    state.concurrency().changeInFlight(OWN_IN_FLIGHT, 0);
    assertThat(concurrency(NOW_SECONDS)).as("if all gateways send alike").isBetween(2.0, 2.2);
  }

  private static PolicySettings settings() {
    return new PolicySettingsBuilder()
        .seed(5)
        .gateways(GATEWAYS)
        .inboundLink(1e6)
        .weights(PolicySettings.WeightMeaning.NOMINAL)
        .build();
  }

  private double concurrency(double now) {
    return state.concurrency().perUnit(now);
  }

  private void report(double outstandingRequests) {
    state.onLoadReport(new LoadReport(Double.NaN, outstandingRequests), NOW_SECONDS);
  }

  /**
   * A report of few requests must not lower the estimate. Otherwise all gateways would send at once
   * after one quiet moment was reported.
   */
  @Test
  void reportOfLessDoesNotLowerTheEstimate() {
    double before = concurrency(NOW_SECONDS);
    report(OWN_IN_FLIGHT);
    assertThat(concurrency(NOW_SECONDS)).isEqualTo(before);
  }

  @Test
  void reportOfMoreCountsForTwoSeconds() {
    double before = concurrency(NOW_SECONDS);
    report(55);
    assertThat(concurrency(NOW_SECONDS)).isEqualTo((OWN_IN_FLIGHT + 50 + 1) / WEIGHT);
    assertThat(concurrency(NOW_SECONDS + 2.5)).isCloseTo(before, offset(0.1));
  }
}
