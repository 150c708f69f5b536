package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.decision.Request;

/**
 * Tests the share of requests that are answered, in time or late, by size. The test guards against
 * starvation of large objects: their transfers rarely fit into the latency objective under load, so
 * that they would be rejected first. The tenth with the largest objects and the next fifth have to
 * get at least two thirds of the share of their class on quiet days, and half of it on others.
 */
class LargeObjectShareTest {

  /** First second whose arrivals count. Earlier ones belong to the warm-up. */
  private static final int FIRST_SECOND = 8;

  /** Last second whose arrivals count. Later ones may be open when the simulation ends. */
  private static final int LAST_SECOND = 35;

  private static double answeredShare(List<Request> requests, Set<Request> answered) {
    return (double) requests.stream().filter(answered::contains).count() / requests.size();
  }

  @ParameterizedTest
  @CsvSource({
    "quiet, 0.7, 1.3, 0.667",
    "quiet, 0.9, 1.0, 0.667",
    "quiet, 0.9, 1.3, 0.667",
    "quiet, 1.0, 1.0, 0.667",
    "quiet, 1.0, 1.3, 0.667",
    "overload, 1.1, 1.3, 0.5",
    "overload, 1.4, 1.0, 0.5",
    "overload, 1.4, 1.3, 0.5",
    "slow-edge, 0.8, 1.3, 0.5",
    "slow-edge, 1.0, 1.0, 0.5",
    "slow-parent, 0.9, 1.3, 0.5",
    "cold-edges, 0.9, 1.3, 0.5",
    "cold-edges, 0.9, 0.8, 0.5"
  })
  void largeObjectsAreNotStarved(String day, double load, double sizeDeviation, double least) {
    LargeObjectSimulation simulation = new LargeObjectSimulation(load, sizeDeviation);
    simulation.run(day);
    List<Request> requests =
        simulation.requests().stream()
            .filter(request -> request.arrivalTime.toSeconds() >= FIRST_SECOND)
            .filter(request -> request.arrivalTime.toSeconds() <= LAST_SECOND)
            .sorted(Comparator.comparingDouble(request -> -request.kilobytes))
            .toList();
    int count = requests.size();
    Set<Request> answered = simulation.answered();
    double all = answeredShare(requests, answered);
    double largest = answeredShare(requests.subList(0, count / 10), answered);
    double large = answeredShare(requests.subList(count / 10, count * 3 / 10), answered);
    assertThat(Math.min(largest, large) / all).isGreaterThan(least);
    assertThat(all).isGreaterThan(0.6);
  }
}
