package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Load;
import tamarindroute.decision.Settings;

/** What a cache's own count of requests in hand adds to what a gateway makes of its crowd. */
class ReportedCrowdTest {

  private static final double NOW = 10;
  private static final int GATEWAYS = 4;
  private final Cache edge = new Cache(1);
  private Node node;

  @BeforeEach
  void oneEdgeBehindFourGateways() {
    edge.tier = Cache.Tier.EDGE;
    edge.weight = 10;
    Settings.ColdStart start = new Settings.ColdStart(1, Duration.ZERO, 3, Duration.ofSeconds(2));
    Caches all =
        new Caches(
            new Settings(
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
                Settings.Weights.NOMINAL));
    all.listed(List.of(edge), 0);
    node = all.nodes.get(edge);
    node.inHand.shift(5, 0);
    assertThat(node.concurrency(NOW)).as("as if all sent alike").isBetween(2.0, 2.2);
  }

  /** Guards against all gateways coming together after one quiet moment was reported. */
  @Test
  void aQuietMomentDoesNotUnsayWhatTheOthersSend() {
    double before = node.concurrency(NOW);
    node.loaded(new Load(Double.NaN, 5), NOW);
    assertThat(node.concurrency(NOW)).isEqualTo(before);
  }

  @Test
  void aGreaterCrowdIsBelievedForTwoSeconds() {
    double before = node.concurrency(NOW);
    node.loaded(new Load(Double.NaN, 55), NOW);
    assertThat(node.concurrency(NOW)).isEqualTo((5 + 50 + 1) / 10.0);
    assertThat(node.concurrency(NOW + 2.5))
        .isCloseTo(before, org.assertj.core.data.Offset.offset(0.1));
  }
}
