package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Three members, all that can happen within budgets; and that the exploration finds what is seeded.
 */
class ModelCheckTest {

  private static final List<ModelCheck.Cut> ALL = List.of(ModelCheck.Cut.values());

  /**
   * Losses, doubled, stops, kills with a restart, cuts; and how few states would be a world not
   * explored.
   */
  @ParameterizedTest
  @CsvSource({
    "2, 0, 0, 0, 0, 1000",
    "0, 1, 0, 0, 0, 2000",
    "0, 0, 1, 0, 0, 5000",
    "0, 0, 0, 1, 0, 20000",
    "0, 0, 0, 0, 1, 20000"
  })
  void noRuleIsBrokenAndAllHeals(
      int losses, int doubled, int stops, int kills, int cuts, int least) {
    ModelCheck.Found found =
        new ModelCheck(ModelCheck.SMALL, ALL)
            .explore(new ModelCheck.Budget(losses, doubled, stops, kills, cuts), 150_000);
    assertThat(found.breaches()).isEmpty();
    assertThat(found.states()).isGreaterThan(least);
    // Whoever was killed, or cut off whole, is indeed held away by then: the rules had something to
    // judge.
    assertThat(found.away() > 0).isEqualTo(kills + cuts > 0);
  }

  @Test
  void findsWhoDoesNotNoticeItsPause() {
    Settings blind = ModelCheck.SMALL.with(new Settings.Guards(true, true, false));
    assertBroken(
        new ModelCheck(blind, ALL), new ModelCheck.Budget(0, 0, 1, 0, 0), "did not find out");
  }

  @Test
  void findsWhoIsHeldAwayThoughItLives() {
    ModelCheck longer =
        new ModelCheck(ModelCheck.SMALL, ALL, 4 * ModelCheck.STOP, (machine, message) -> message);
    assertBroken(longer, new ModelCheck.Budget(0, 0, 1, 0, 0), "which lives");
  }

  @Test
  void findsWhoTakesAFormerSelfsWords() {
    ModelCheck careless =
        new ModelCheck(
            ModelCheck.SMALL,
            ALL,
            ModelCheck.STOP,
            (machine, m) ->
                new Message(
                    m.kind(),
                    m.from(),
                    machine.self().birth(),
                    m.number(),
                    m.about(),
                    m.rumours()));
    assertBroken(careless, new ModelCheck.Budget(0, 0, 0, 1, 0), "former self");
  }

  private static void assertBroken(ModelCheck check, ModelCheck.Budget budget, String what) {
    assertThat(check.explore(budget, 150_000).breaches()).anyMatch(breach -> breach.contains(what));
  }
}
