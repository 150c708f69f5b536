package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Result;

/** Second copies of a cache's responses, while the request is attempted again at the same cache. */
@Timeout(30)
class DuplicateResponseTest extends PipelineHarness {

  private static final int BUDGET_MILLIS = 5000;
  private static final String FRAME = "ASK 9b1f03aa5c7e2d41";

  DuplicateResponseTest() throws IOException {}

  /** The connection on which the next attempt comes; the previous one if no other was opened. */
  private WireConnection acceptNext(WireConnection previous) throws IOException {
    firstCache.socket().setSoTimeout(500);
    try {
      return accept(firstCache);
    } catch (SocketTimeoutException e) {
      return previous;
    }
  }

  /**
   * Guards against a second copy of a refusal that proves, of an attempt which runs, that it never
   * ran: the request would be sent and executed again.
   */
  @ParameterizedTest
  @ValueSource(strings = {"once", "pick", "clip"})
  void aLateCopyOfARefusalIsNotTakenForTheNextAttemptsResponse(String requestClass)
      throws Exception {
    assertLateCopyIsDropped(requestClass, "AGAIN", Result.REJECTED);
  }

  /**
   * Guards against a second copy of a miss that ends the fill: another fill would be sent while it
   * runs, where only one attempt may be in flight.
   */
  @Test
  void aLateCopyOfAMissIsNotTakenForTheFillsEnd() throws Exception {
    assertLateCopyIsDropped("clip", "NOENT", Result.MISS);
  }

  /** Asserts that a response which comes again while the next attempt runs does not end that. */
  private void assertLateCopyIsDropped(String requestClass, String status, Result result)
      throws Exception {
    start();
    WireConnection client = connectClient();
    willDecide(request -> attempt("s-1"), request -> attempt("s-1"), request -> attempt("s-1"));
    client.call("1", requestClass, BUDGET_MILLIS);
    WireConnection first = accept(firstCache);
    assertThat(first.readFrame()).isEqualTo(FRAME);
    first.respond("1", status);
    WireConnection second = acceptNext(first);
    assertThat(second.readFrame()).isEqualTo(FRAME);
    new EventLoopHold().awaitHeld().release();
    first.respond("1", status);
    awaitHandOver();
    assertThat(onEventLoop(() -> List.copyOf(policy.outcomes)))
        .extracting(Outcome::result)
        .containsExactly(result);
    second.respond("1");
    client.assertFramesAre("1 ACK");
    assertNothingLeft(result, Result.SERVED);
  }
}
