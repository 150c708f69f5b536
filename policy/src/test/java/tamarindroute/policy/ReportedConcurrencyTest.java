package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.PolicySettings;

/** What a cache's own count of requests in hand adds to what a gateway makes of its crowd. */
class ReportedConcurrencyTest {

  private static final double NOW = 10;
  private static final int GATEWAYS = 4;
  private final Cache edge = new Cache(1);
  private CacheState state;

  @BeforeEach
  void oneEdgeBehindFourGateways() {
    edge.tier = Cache.Tier.EDGE;
    edge.weight = 10;
    PolicySettings.ColdStart start =
        new PolicySettings.ColdStart(1, Duration.ZERO, 3, Duration.ofSeconds(2));
    CacheTiers tiers =
        new CacheTiers(
            new PolicySettings(
                5,
                0,
                GATEWAYS,
                GATEWAYS,
                List.of(0),
                1000,
                1e6,
                false,
                true,
                true,
                false,
                true,
                null,
                8,
                start,
                start,
                Duration.ofSeconds(6),
                PolicySettings.WeightMeaning.NOMINAL));
    tiers.onEndpoints(List.of(edge), 0);
    state = tiers.states.get(edge);
    state.inFlight.shiftRest(5, 0);
    assertThat(state.concurrency(NOW)).as("as if all sent alike").isBetween(2.0, 2.2);
  }

  /** Guards against all gateways coming together after one quiet moment was reported. */
  @Test
  void aQuietMomentDoesNotUnsayWhatTheOthersSend() {
    double before = state.concurrency(NOW);
    state.onLoadReport(new LoadReport(Double.NaN, 5), NOW);
    assertThat(state.concurrency(NOW)).isEqualTo(before);
  }

  @Test
  void aGreaterCrowdIsBelievedForTwoSeconds() {
    double before = state.concurrency(NOW);
    state.onLoadReport(new LoadReport(Double.NaN, 55), NOW);
    assertThat(state.concurrency(NOW)).isEqualTo((5 + 50 + 1) / 10.0);
    assertThat(state.concurrency(NOW + 2.5))
        .isCloseTo(before, org.assertj.core.data.Offset.offset(0.1));
  }
}
