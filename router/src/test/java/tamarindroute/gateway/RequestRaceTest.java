package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome.Result;

/** Two ends of one request in one turn of the event loop, in each order. */
@Timeout(30)
class RequestRaceTest extends PipelineHarness {

  /** Less than any other end of what waits for a connection here, and much more than 50 ms. */
  private static final Duration PROMPTLY = Duration.ofSeconds(1);

  /** For ends that no deadline shall meet. */
  private static final int LONG_BUDGET_MILLIS = 3000;

  RequestRaceTest() throws IOException {}

  @Test
  void deadlineThenResponse() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, 300);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    spinUntilAfter(policy.routedRequests.get(0).deadline);
    hold.release();
    client.assertFramesAre("1 FAIL");
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.TIMED_OUT);
  }

  @Test
  void responseThenDeadline() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, 1000);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    EventLoopHold after = new EventLoopHold();
    assertThat(eventLoop.now()).as("in time").isLessThan(policy.routedRequests.get(0).deadline);
    hold.release();
    after.awaitStarted();
    spinUntilAfter(policy.routedRequests.get(0).deadline);
    after.release();
    client.assertFramesAre("1 ACK");
    assertNothingLeft(Result.SERVED);
  }

  @Test
  void cancelThenResponse() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.send("RPC.CANCEL", "1");
    awaitHandOver();
    cache.respond("1");
    awaitHandOver();
    hold.release();
    client.assertFramesAre();
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.CANCELLED);
  }

  /**
   * Nothing is left under the tag, which serves again; the cache gets no cancel for what it has
   * answered.
   */
  @Test
  void responseThenCancel() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    client.send("RPC.CANCEL", "1");
    awaitHandOver();
    hold.release();
    client.assertFramesAre("1 ACK");
    willDecide(request -> attempt("s-1"));
    client.call("1", LONG_BUDGET_MILLIS);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    cache.respond("1");
    client.assertFramesAre("1 ACK");
    assertNothingLeft(Result.SERVED, Result.SERVED);
  }

  /** The part of the response that has come is dropped and its buffers are freed. */
  @Test
  void partialResponseThenDeadline() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, 300);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respondPartially("1");
    awaitHandOver();
    EventLoopHold after = new EventLoopHold();
    hold.release();
    after.awaitStarted();
    spinUntilAfter(policy.routedRequests.get(0).deadline);
    after.release();
    client.assertFramesAre("1 FAIL");
    assertNothingLeft(Result.TIMED_OUT);
  }

  @Test
  void partialResponseThenCancel() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respondPartially("1");
    awaitHandOver();
    client.send("RPC.CANCEL", "1");
    awaitHandOver();
    hold.release();
    client.assertFramesAre();
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.CANCELLED);
  }

  @Test
  void finThenResponse() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.fin();
    awaitHandOver();
    cache.respond("1");
    awaitHandOver();
    hold.release();
    assertThat(client.readFrame()).isEqualTo("1 ACK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertNothingLeft(Result.SERVED);
  }

  @Test
  void responseThenFin() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    client.fin();
    awaitHandOver();
    hold.release();
    assertThat(client.readFrame()).isEqualTo("1 ACK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertNothingLeft(Result.SERVED);
  }

  /** The attempt ends long before its connection times out, and no further one is begun. */
  @Test
  void finWhileAnAttemptWaitsForItsConnection() throws Exception {
    start(unreachableCache(), address(secondCache.socket()));
    WireConnection client = connectClient();
    willDecide(
        request -> attempt("s-1"), request -> attempt("s-2"), request -> new Decision.Reject(null));
    Duration startedAt = eventLoop.now();
    client.call("1", LONG_BUDGET_MILLIS);
    client.fin();
    assertThat(client.readFrame()).isEqualTo("1 NAK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertThat(eventLoop.now().minus(startedAt)).isLessThan(PROMPTLY);
    assertNothingLeft(Result.NOT_SENT, Result.NOT_SENT);
    assertNotConnectedTo(secondCache);
  }

  /** The client may be gone: no further attempt is begun, though 50 ms have not passed. */
  @Test
  void finThenRejection() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    willDecide(request -> attempt("s-2"), request -> new Decision.Reject(null));
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.fin();
    awaitHandOver();
    cache.respond("1", "AGAIN");
    awaitHandOver();
    hold.release();
    assertThat(client.readFrame()).isEqualTo("1 NAK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertNothingLeft(Result.REJECTED, Result.NOT_SENT);
    assertNotConnectedTo(secondCache);
  }

  @Test
  void resetBeforeTheRequestIsAdmitted() throws Exception {
    start();
    WireConnection client = connectClient();
    willDecide(request -> attempt("s-1"));
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.call("1", LONG_BUDGET_MILLIS);
    awaitHandOver();
    client.reset();
    awaitHandOver();
    hold.release();
    assertNothingLeft();
    assertThat(onEventLoop(() -> List.copyOf(policy.routedRequests))).isEmpty();
    assertNotConnectedTo(firstCache);
  }

  /**
   * An attempt that the policy decides on at the deadline is reported as not sent and never begun.
   */
  @Test
  void deadlineThenNextAttempt() throws Exception {
    start();
    WireConnection client = connectClient();
    willDecide(
        request -> attempt("s-1"), request -> attempt("s-2"), request -> new Decision.Wait());
    client.call("1", 300);
    WireConnection cache = accept(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    client.assertFramesAre("1 FAIL");
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.TIMED_OUT, Result.NOT_SENT);
    assertNotConnectedTo(secondCache);
  }

  @Test
  void deadlineOfAnUnwrittenAttempt() throws Exception {
    start(unreachableCache(), address(secondCache.socket()));
    WireConnection client = connectClient();
    willDecide(request -> attempt("s-1"));
    client.call("1", 300);
    client.assertFramesAre("1 FAIL");
    assertNothingLeft(Result.NOT_SENT);
  }

  @Test
  void cancelOfAnUnwrittenAttempt() throws Exception {
    start(unreachableCache(), address(secondCache.socket()));
    WireConnection client = connectClient();
    willDecide(request -> attempt("s-1"));
    client.call("1", LONG_BUDGET_MILLIS);
    client.send("RPC.CANCEL", "1");
    client.assertFramesAre();
    assertNothingLeft(Result.NOT_SENT);
  }
}
