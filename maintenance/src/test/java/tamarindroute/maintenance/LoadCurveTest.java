package tamarindroute.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LoadCurveTest {
  private static final Duration NOW = Duration.ofHours(40);

  private static LoadCurve some(long seed) {
    Random random = new Random(seed);
    LoadCurve curve = LoadCurve.empty(4);
    for (int i = random.nextInt(4); i >= 0; i--) {
      // Two samples of one member and sequence may differ, which members never do on purpose.
      LoadSample sample = LoadSample.empty(4);
      for (int more = random.nextInt(3); more >= 0; more--) {
        sample = sample.withLoad(random.nextInt(4), random.nextInt(3), NOW);
      }
      curve = curve.withSample("m" + random.nextInt(3), sample);
    }
    return curve;
  }

  private static String text(LoadCurve curve) {
    StringBuilder text = new StringBuilder();
    curve
        .samples()
        .forEach(
            (member, sample) ->
                text.append(member)
                    .append(sample.sequence())
                    .append(Arrays.toString(sample.load()))
                    .append(Arrays.toString(sample.weight())));
    return text.toString();
  }

  @Property(seed = "28", tries = 300, edgeCases = EdgeCasesMode.NONE)
  void mergingIsCommutativeAssociativeIdempotent(
      @ForAll long one, @ForAll long two, @ForAll long three) {
    LoadCurve a = some(one);
    LoadCurve b = some(two);
    LoadCurve c = some(three);
    assertThat(text(a.merge(b))).isEqualTo(text(b.merge(a)));
    assertThat(text(a.merge(b).merge(c))).isEqualTo(text(a.merge(b.merge(c))));
    assertThat(text(a.merge(b).merge(b))).isEqualTo(text(a.merge(b)));
  }

  @Test
  void daysDecayMembersAddUpAndOutdatedSamplesGrow() {
    LoadSample sample = LoadSample.empty(4).withLoad(1, 10, NOW).withLoad(1, 16, NOW);
    LoadCurve curve = LoadCurve.empty(4).withSample("m", sample);
    assertThat(curve.loadAt(1, NOW))
        .isCloseTo((10 * LoadSample.DAILY_DECAY + 16) / 1.5, within(1e-9));
    assertThat(curve.loadAt(0, NOW)).as("smoothed").isCloseTo(14.0 / 4, within(1e-9));
    assertThat(curve.withSample("n", sample).loadAt(1, NOW)).isCloseTo(28, within(1e-9));
    Duration later = NOW.plus(LoadCurve.FRESH_PERIOD).plusHours(5);
    assertThat(curve.loadAt(1, later))
        .isCloseTo(14 * (1 + 5 * LoadCurve.GROWTH_PER_HOUR), within(1e-9));
    assertThat(curve.loadAt(1, NOW.plusDays(9))).isCloseTo(14 * LoadCurve.MAX_GROWTH, within(1e-9));
    assertThat(curve.loadFrom(1, 5, NOW)).hasSize(5).startsWith(14.0).endsWith(14.0);
  }

  @Test
  void samplesOutOfBoundsAreRejectedWhole() {
    assertThatThrownBy(() -> LoadSample.empty(4).withLoad(0, Double.NaN, NOW))
        .hasMessageContaining("bin 0");
    assertThatThrownBy(() -> LoadSample.empty(4).withLoad(2, -1, NOW))
        .hasMessageContaining("bin 2");
    LoadCurve curve = LoadCurve.empty(4);
    assertThat(curve.withSample("m", LoadSample.empty(5))).isEqualTo(curve);
  }
}
