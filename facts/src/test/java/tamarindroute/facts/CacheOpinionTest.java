package tamarindroute.facts;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.facts.FactSamples.seconds;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class CacheOpinionTest {

  @Provide
  Arbitrary<CacheOpinion> opinions() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 9),
            Arbitraries.of(true, false),
            Arbitraries.integers().between(0, 50).injectNull(0.2))
        .as(
            (failureEvidence, up, uptime) ->
                new CacheOpinion(failureEvidence, up, uptime == null ? null : seconds(uptime)));
  }

  @Property(seed = "7", tries = 500)
  void mergedOpinionIsNeverBetterAndMergeIsCommutative(
      @ForAll("opinions") CacheOpinion a,
      @ForAll("opinions") CacheOpinion b,
      @ForAll("opinions") CacheOpinion c) {
    assertThat(a.merge(b)).isEqualTo(b.merge(a));
    assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
    assertThat(a.merge(a)).isEqualTo(a);
    assertThat(a.merge(CacheOpinion.NEUTRAL)).isEqualTo(a);
    assertThat(a.merge(b).failureEvidence()).isGreaterThanOrEqualTo(a.failureEvidence());
    assertThat(a.up() || !a.merge(b).up()).isTrue();
    assertThat(a.uptime() == null || a.merge(b).uptime().compareTo(a.uptime()) <= 0).isTrue();
  }
}
