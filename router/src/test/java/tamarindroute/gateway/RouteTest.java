package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;
import tamarindroute.host.Clock;

/** What becomes of an attempt that the module names for a request which is being ended. */
class RouteTest {

  private static Trip trip() {
    Cache cache = new Cache(1);
    return new Trip(cache, cache, 0, null, false, false, null);
  }

  /**
   * The module has counted it: it is told of each as not sent, until it names no more; nothing is
   * sent.
   */
  @Test
  void anAttemptForARequestThatIsBeingEndedIsToldAsNotSent() {
    List<Trip> told = new ArrayList<>();
    Decisions module =
        (Decisions)
            Proxy.newProxyInstance(
                Decisions.class.getClassLoader(),
                new Class<?>[] {Decisions.class},
                (proxy, method, arguments) ->
                    switch (method.getName()) {
                      case "place" -> trip();
                      case "after" -> {
                        told.add((Trip) arguments[1]);
                        yield told.size() < 3 ? trip() : new Answer.NotYet();
                      }
                      default -> null;
                    });
    Held held =
        new Held(
            null,
            new TakeIn.Call("1", "clip", "", new ArrayDeque<>(), 0, false),
            new View(null, 1, 0, 0, 0, Duration.ZERO, Duration.ofSeconds(9)),
            "1",
            "1",
            null,
            null);
    held.noMore = true;
    // Without a sender: whatever is sent all the same fails.
    new Route(module, new Clock()).place(held);
    assertThat(told)
        .hasSize(3)
        .doesNotHaveDuplicates()
        .isEqualTo(held.view.trips)
        .allSatisfy(trip -> assertThat(trip.outcome.result()).isEqualTo(Outcome.Result.NOT_SENT));
  }
}
