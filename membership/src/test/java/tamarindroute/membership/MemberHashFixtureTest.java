package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Hashes that all members have to compute alike, as they select the parts of an exchange. */
class MemberHashFixtureTest {

  private static final Member ONE = new Member(new Address("127.0.0.1", 9001), 17);
  private static final Member OTHER = new Member(new Address("127.0.0.1", 9002), 18);

  @Test
  void hashOfAMemberAndMixOfTwo() {
    assertThat(DeterministicRandom.memberHash(ONE)).isEqualTo(4_159_021_764L);
    assertThat(
            DeterministicRandom.mix(
                DeterministicRandom.memberHash(ONE), DeterministicRandom.memberHash(OTHER)))
        .isEqualTo(427_753_566_010_787_572L);
  }

  @Test
  void randomNumbersFromTheSeedOfAMember() {
    DeterministicRandom random = new DeterministicRandom(DeterministicRandom.seedFor(ONE));
    List<Integer> numbers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      numbers.add(random.nextInt(1_000));
    }
    assertThat(numbers).containsExactly(790, 977, 468, 812, 345);
  }
}
