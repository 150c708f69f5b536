package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EventLoop;

/** What becomes of an attempt that the module names for a request which is being ended. */
class RouterTest {

  private static Attempt attempt() {
    Cache cache = new Cache(1);
    return new Attempt(cache, cache, 0, null, false, false, null);
  }

  /**
   * The module has counted it: it is told of each as not sent, until it names no more; nothing is
   * sent.
   */
  @Test
  void attemptForAnEndingRequestIsReportedAsNotSent() {
    List<Attempt> reported = new ArrayList<>();
    RoutingPolicy policy =
        (RoutingPolicy)
            Proxy.newProxyInstance(
                RoutingPolicy.class.getClassLoader(),
                new Class<?>[] {RoutingPolicy.class},
                (proxy, method, arguments) ->
                    switch (method.getName()) {
                      case "route" -> attempt();
                      case "onOutcome" -> {
                        reported.add((Attempt) arguments[1]);
                        yield reported.size() < 3 ? attempt() : new Decision.Wait();
                      }
                      default -> null;
                    });
    PendingRequest pending =
        new PendingRequest(
            null,
            new ClientConnection.ClientCall("1", "clip", "", new ArrayDeque<>(), 0, false),
            new Request(null, 1, 0, 0, 0, Duration.ZERO, Duration.ofSeconds(9)),
            "1",
            "1",
            null,
            null);
    pending.noFurtherAttempts = true;
    // Without a sender: whatever is sent all the same fails.
    new Router(policy, new EventLoop()).route(pending);
    assertThat(reported)
        .hasSize(3)
        .doesNotHaveDuplicates()
        .isEqualTo(pending.request.attempts)
        .allSatisfy(
            attempt -> assertThat(attempt.outcome.result()).isEqualTo(Outcome.Result.NOT_SENT));
  }
}
