package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares hashes and random numbers with fixed values. All members have to compute the same
 * hashes, because the hashes assign members to the parts of a state exchange. Members of versions
 * with different hashes would exchange different parts.
 */
class MemberHashFixtureTest {

  private static final Member FIRST_MEMBER = new Member(new Address("127.0.0.1", 9001), 17);
  private static final Member SECOND_MEMBER = new Member(new Address("127.0.0.1", 9002), 18);

  @Test
  void memberHashAndMixHaveFixedValues() {
    assertThat(DeterministicRandom.memberHash(FIRST_MEMBER)).isEqualTo(4_159_021_764L);
    assertThat(
            DeterministicRandom.mix(
                DeterministicRandom.memberHash(FIRST_MEMBER),
                DeterministicRandom.memberHash(SECOND_MEMBER)))
        .isEqualTo(427_753_566_010_787_572L);
  }

  @Test
  void randomNumbersFromMemberSeedHaveFixedValues() {
    DeterministicRandom random = new DeterministicRandom(DeterministicRandom.seedFor(FIRST_MEMBER));
    List<Integer> numbers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      numbers.add(random.nextInt(1_000));
    }
    assertThat(numbers).containsExactly(790, 977, 468, 812, 345);
  }
}
