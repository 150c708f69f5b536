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

/**
 * Guards against load curves that differ between members or misrepresent the load. Members merge
 * samples in different orders and repeatedly, members stop reporting, and samples may be out of
 * bounds.
 */
class LoadCurveTest {
  private static final Duration NOW = Duration.ofHours(40);

  private static LoadCurve randomCurve(long seed) {
    Random random = new Random(seed);
    LoadCurve curve = LoadCurve.empty(4);
    for (int samples = random.nextInt(4); samples >= 0; samples--) {
      // Two samples of one member with one sequence may differ, as from a faulty member.
      LoadSample sample = LoadSample.empty(4);
      for (int loads = random.nextInt(3); loads >= 0; loads--) {
        sample = sample.withLoad(random.nextInt(4), random.nextInt(3), NOW);
      }
      curve = curve.withSample("m" + random.nextInt(3), sample);
    }
    return curve;
  }

  private static String contentOf(LoadCurve curve) {
    StringBuilder content = new StringBuilder();
    curve
        .samples()
        .forEach(
            (member, sample) ->
                content
                    .append(member)
                    .append(sample.sequence())
                    .append(Arrays.toString(sample.load()))
                    .append(Arrays.toString(sample.weight())));
    return content.toString();
  }

  @Property(seed = "28", tries = 300, edgeCases = EdgeCasesMode.NONE)
  void mergingIsCommutativeAssociativeIdempotent(
      @ForAll long firstSeed, @ForAll long secondSeed, @ForAll long thirdSeed) {
    LoadCurve first = randomCurve(firstSeed);
    LoadCurve second = randomCurve(secondSeed);
    LoadCurve third = randomCurve(thirdSeed);
    assertThat(contentOf(first.merge(second))).isEqualTo(contentOf(second.merge(first)));
    assertThat(contentOf(first.merge(second).merge(third)))
        .isEqualTo(contentOf(first.merge(second.merge(third))));
    assertThat(contentOf(first.merge(second).merge(second)))
        .isEqualTo(contentOf(first.merge(second)));
  }

  @Test
  void daysDecayMembersAddUpAndOutdatedSamplesGrow() {
    LoadSample sample = LoadSample.empty(4).withLoad(1, 10, NOW).withLoad(1, 16, NOW);
    LoadCurve curve = LoadCurve.empty(4).withSample("m", sample);
    assertThat(curve.loadAt(1, NOW))
        .isCloseTo((10 * LoadSample.DAILY_DECAY_FACTOR + 16) / 1.5, within(1e-9));
    assertThat(curve.loadAt(0, NOW)).as("smoothed").isCloseTo(14.0 / 4, within(1e-9));
    assertThat(curve.withSample("n", sample).loadAt(1, NOW)).isCloseTo(28, within(1e-9));
    Duration later = NOW.plus(LoadCurve.FRESH_PERIOD).plusHours(5);
    assertThat(curve.loadAt(1, later))
        .isCloseTo(14 * (1 + 5 * LoadCurve.GROWTH_PER_HOUR), within(1e-9));
    assertThat(curve.loadAt(1, NOW.plusDays(9)))
        .isCloseTo(14 * LoadCurve.MAX_GROWTH_FACTOR, within(1e-9));
    assertThat(curve.loadFrom(1, 5, NOW)).hasSize(5).startsWith(14.0).endsWith(14.0);
  }

  @Test
  void samplesOutOfBoundsAreRejected() {
    assertThatThrownBy(() -> LoadSample.empty(4).withLoad(0, Double.NaN, NOW))
        .hasMessageContaining("bin 0");
    assertThatThrownBy(() -> LoadSample.empty(4).withLoad(2, -1, NOW))
        .hasMessageContaining("bin 2");
    LoadCurve curve = LoadCurve.empty(4);
    assertThat(curve.withSample("m", LoadSample.empty(5))).isEqualTo(curve);
  }
}
