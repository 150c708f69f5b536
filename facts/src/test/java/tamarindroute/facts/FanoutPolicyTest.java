package tamarindroute.facts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.membership.Address;

class FanoutPolicyTest {

  /**
   * One in five messages is lost. Each member pushes a fact on when it receives it for the first
   * time, and once more a round later.
   */
  @ParameterizedTest
  @CsvSource({"48, 2", "128, 4", "500, 5"})
  void urgentFactReachesAllMembersInFewRounds(int size, int maxRounds) {
    List<Address> alive = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      alive.add(FactSamples.address(i));
    }
    int slowest = 0;
    for (int seed = 1; seed <= 20; seed++) {
      slowest = Math.max(slowest, roundsUntilAllReceived(alive, seed, maxRounds));
    }
    assertThat(slowest).isLessThan(maxRounds + 1);
  }

  /** Returns the rounds needed, or one more than the maximum if they did not suffice. */
  private static int roundsUntilAllReceived(List<Address> alive, int seed, int maxRounds) {
    Random random = new Random(seed);
    int[] receivedInRound = new int[alive.size()];
    receivedInRound[0] = 1;
    int round = 1;
    while (round <= maxRounds && Arrays.stream(receivedInRound).anyMatch(r -> r == 0)) {
      for (int i = 0; i < alive.size(); i++) {
        int turn = round - receivedInRound[i];
        if (receivedInRound[i] > 0 && (turn == 0 || turn == 1)) {
          for (Address target : FanoutPolicy.targets(alive, alive.get(i), seed * 1000L + i, turn)) {
            int index = alive.indexOf(target);
            if (receivedInRound[index] == 0 && random.nextInt(5) > 0) {
              receivedInRound[index] = round + 1;
            }
          }
        }
      }
      round++;
    }
    return round - 1;
  }
}
