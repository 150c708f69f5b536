package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Request;

/** The time of requests that a client has sent whole and the gateway has not read yet. */
@Timeout(30)
class RequestArrivalTimeTest extends UnreadRequestHarness {

  RequestArrivalTimeTest() throws IOException {}

  /** Asserts that time counts from now, when the first client's call was written and not read. */
  private void assertTimeRunsUntil(Runnable release) throws Exception {
    Duration writtenAt = eventLoop.now();
    spinUntilAfter(writtenAt.plus(WAIT));
    release.run();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    assertThat(lastRouted().arrivalTime).isLessThanOrEqualTo(writtenAt);
  }

  /** Asserts that the time of the first client's next call, after a pause, counts from that. */
  private void assertTimeBeginsWithCall(String tag) throws Exception {
    spinUntilAfter(eventLoop.now().plus(WAIT));
    Duration writtenAfter = eventLoop.now();
    firstClient().call(tag, BUDGET_MILLIS);
    assertThat(firstClient().readFrame()).isEqualTo(tag + " NAK");
    assertThat(lastRouted().arrivalTime).isGreaterThan(writtenAfter.minus(SLACK));
  }

  private Request lastRouted() throws Exception {
    return onEventLoop(() -> policy.routedRequests.get(policy.routedRequests.size() - 1));
  }

  /** Guards against an answer as late as its request was read, with the connection in the queue. */
  @Test
  void timeOfARequestRunsWhileItsConnectionWaitsToBeRead() throws Exception {
    connectAll();
    willRejectAll(1);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    fillReads();
    firstClient().call("1", BUDGET_MILLIS);
    awaitHandOver();
    assertTimeRunsUntil(hold::release);
  }

  /** Guards against an answer as late as its request was noticed. */
  @Test
  void timeOfARequestRunsWhileTheSelectorIsBusy() throws Exception {
    connectAll();
    willRejectAll(1);
    scheduler.holdSelector(lastClient());
    firstClient().call("1", BUDGET_MILLIS);
    assertTimeRunsUntil(scheduler::release);
  }

  /** Guards against time that is counted anew with each of the reads that a request takes. */
  @Test
  void timeOfALargeRequestRunsWhileItsRestWaitsToBeRead() throws Exception {
    connectAll();
    willRejectAll(1);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    firstClient().send(WireConnection.callFrame("1", BUDGET_MILLIS, 10 * READ_BYTES));
    assertTimeRunsUntil(hold::release);
  }

  /** Guards against time that is counted from an earlier request which filled its read. */
  @Test
  void timeOfARequestBeginsWhenItArrivesThoughTheReadBeforeWasFull() throws Exception {
    connectAll();
    willRejectAll(2);
    firstClient().send(WireConnection.callFrame("1", BUDGET_MILLIS, READ_BYTES));
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    assertTimeBeginsWithCall("2");
  }

  /** Guards against time that is counted from an earlier request of the same connection. */
  @Test
  void timeOfARequestBeginsWhenItArrives() throws Exception {
    connectAll();
    willRejectAll(1);
    assertTimeBeginsWithCall("1");
  }

  /** Guards against an attempt for a client whose time ended while its request waited. */
  @Test
  void requestWhoseTimeEndedUnreadIsRejectedWithoutAnAttempt() throws Exception {
    connectAll();
    scheduler.holdSelector(lastClient());
    firstClient().call("1", (int) WAIT.toMillis());
    spinUntilAfter(eventLoop.now().plus(WAIT));
    scheduler.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    assertThat(onEventLoop(() -> policy.routedRequests.size())).isZero();
  }
}
