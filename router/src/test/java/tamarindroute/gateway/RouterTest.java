package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Request;
import tamarindroute.host.EventLoop;
import tamarindroute.protocol.CallFields;
import tamarindroute.protocol.ClientCommand;

/** Attempts that the policy decides on for a request whose attempts are stopped. */
class RouterTest {

  private static Attempt attempt() {
    Cache cache = new Cache(1);
    return new Attempt(cache, cache, 0, null, false, false, null);
  }

  /**
   * The policy has counted each attempt that it decided on, so each must be reported to it as not
   * sent, until the policy decides on no further attempt.
   */
  @Test
  void attemptForAnEndingRequestIsReportedAsNotSent() {
    ScriptedPolicy policy = new ScriptedPolicy();
    for (int i = 0; i < 3; i++) {
      policy.decisions.add(request -> attempt());
    }
    policy.decisions.add(request -> new Decision.Wait());
    PendingRequest pending =
        new PendingRequest(
            null,
            new ClientConnection.ReceivedCall(
                new ClientCommand.Call("1", "clip", ""), new ArrayDeque<>(), 0, false),
            new CallFields("1", "1", null, null, 9000, 0, 0, 0),
            new Request(null, 1, 0, 0, 0, Duration.ZERO, Duration.ofSeconds(9)),
            false);
    pending.stopAttempts();
    // The router has no sender here, so sending an attempt would throw an exception.
    new Router(policy, new EventLoop()).route(pending);
    assertThat(policy.endedAttempts)
        .hasSize(3)
        .doesNotHaveDuplicates()
        .isEqualTo(pending.request.attempts)
        .allSatisfy(
            attempt -> assertThat(attempt.outcome.result()).isEqualTo(Outcome.Result.NOT_SENT));
  }
}
