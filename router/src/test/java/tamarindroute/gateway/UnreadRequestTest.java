package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Request;

/**
 * Requests that a client has sent whole and the gateway has not read yet, when their connection is
 * to be ended or their time runs.
 */
@Timeout(30)
class UnreadRequestTest extends PipelineHarness {

  /** All that the harness admits. */
  private static final int MAX_CLIENTS = 8;

  private static final int BUDGET_MILLIS = 3000;
  private static final Duration WAIT = Duration.ofMillis(300);

  /** What each time limit is granted on sockets. */
  private static final Duration SLACK = Duration.ofMillis(50);

  /** Four clients with four reads of 4 KB each take all that may wait for the event loop. */
  private static final int FILLING_CLIENTS = 4;

  private static final int READS_OF_A_CLIENT = 4;
  private static final int READ_BYTES = 4 * 1024;

  private final List<WireConnection> clients = new ArrayList<>();

  UnreadRequestTest() throws IOException {}

  /** The first client has been idle for longest, and all have sent something. */
  private void connectAll() throws Exception {
    start();
    for (int i = 0; i < MAX_CLIENTS; i++) {
      clients.add(connectClient());
    }
  }

  private WireConnection firstClient() {
    return clients.get(0);
  }

  private WireConnection lastClient() {
    return clients.get(MAX_CLIENTS - 1);
  }

  private void willRejectAll(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      willDecide(request -> new Decision.Reject(null));
    }
  }

  /** Fills what may wait for the event loop, which is held, with the beginnings of requests. */
  private void fillReads() throws Exception {
    for (int i = 1; i <= FILLING_CLIENTS; i++) {
      clients.get(i).sendBodyStart(READS_OF_A_CLIENT * READ_BYTES);
    }
    for (int i = 0; i < FILLING_CLIENTS * READS_OF_A_CLIENT; i++) {
      awaitHandOver();
    }
  }

  /** The first half of the call is read; MINA's thread is held when the second half comes. */
  private void sendCallWithUnnoticedRest() throws Exception {
    byte[] call = WireConnection.callFrame("1", BUDGET_MILLIS, READ_BYTES);
    scheduler.forgetHandOvers();
    firstClient().send(Arrays.copyOf(call, call.length / 2));
    awaitHandOver();
    awaitEventLoop();
    scheduler.holdSelector(lastClient());
    firstClient().send(Arrays.copyOfRange(call, call.length / 2, call.length));
  }

  /** A new client whose admission waits for the event loop before requests of all others do. */
  private WireConnection connectBeforeAllCall() throws Exception {
    WireConnection newClient = connectSilentClient();
    awaitHandOver();
    for (int i = 0; i < MAX_CLIENTS; i++) {
      clients.get(i).call(String.valueOf(i + 1), BUDGET_MILLIS);
      awaitHandOver();
    }
    return newClient;
  }

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

  private void awaitEventLoop() throws Exception {
    onEventLoop(() -> null);
    onEventLoop(() -> null);
  }

  /** Guards against a request lost while its connection waits in the queue of those to be read. */
  @Test
  void connectionThatWaitsToBeReadIsNotClosedForANewOne() throws Exception {
    connectAll();
    willRejectAll(1);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    fillReads();
    WireConnection newClient = connectSilentClient();
    awaitHandOver();
    firstClient().call("1", BUDGET_MILLIS);
    awaitHandOver();
    hold.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    newClient.assertFramesAre();
  }

  /** Guards against requests lost that were read and wait for the event loop. */
  @Test
  void connectionsWhoseRequestsWaitForTheEventLoopAreNotClosedForANewOne() throws Exception {
    connectAll();
    willRejectAll(MAX_CLIENTS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    WireConnection newClient = connectBeforeAllCall();
    hold.release();
    assertThat(newClient.readFrame()).isEqualTo(WireConnection.END);
    for (int i = 0; i < MAX_CLIENTS; i++) {
      assertThat(clients.get(i).readFrame()).isEqualTo(i + 1 + " NAK");
    }
  }

  /** Guards against a request that is read and then given up where no connection can be closed. */
  @Test
  void newClientThatIsRefusedIsNotRead() throws Exception {
    connectAll();
    willRejectAll(MAX_CLIENTS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    WireConnection newClient = connectBeforeAllCall();
    // Each of several reads would be handed over; only the question whether to read is.
    newClient.sendBodyStart(READS_OF_A_CLIENT * READ_BYTES);
    awaitHandOver();
    scheduler.assertNoHandOver(WAIT);
    hold.release();
    assertThat(newClient.readFrame()).isEqualTo(WireConnection.END);
  }

  /** Guards against a request lost that the selector has not noticed. */
  @Test
  void connectionWithAnUnnoticedRequestIsNotClosedForANewOne() throws Exception {
    connectAll();
    willRejectAll(1);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    WireConnection newClient = connectSilentClient();
    awaitHandOver();
    scheduler.holdSelector(lastClient());
    firstClient().call("1", BUDGET_MILLIS);
    hold.release();
    awaitEventLoop();
    scheduler.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    newClient.assertFramesAre();
  }

  /**
   * Guards against a connection that waits to be read for ever, and holds up all others that do:
   * the selector reports bytes that the last read before a close has read already.
   */
  @Test
  void connectionWhoseBytesTheLastReadFoundDoesNotWaitToBeReadAgain() throws Exception {
    connectAll();
    willRejectAll(1);
    EventLoopHold beforeEviction = new EventLoopHold().awaitHeld();
    connectSilentClient();
    awaitHandOver();
    EventLoopHold beforeReads = new EventLoopHold();
    fillReads();
    scheduler.holdSelector(lastClient());
    firstClient().call("1", BUDGET_MILLIS);
    beforeEviction.release();
    beforeReads.awaitStarted();
    scheduler.release();
    spinUntilAfter(eventLoop.now().plus(WAIT));
    beforeReads.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    drain();
    assertThat(firstClient().readFrame()).isEqualTo(WireConnection.END);
  }

  /** Guards against a request lost at SIGTERM while it waits to be read. */
  @Test
  void unnoticedRequestIsAnsweredBeforeTheShutdownClosesItsConnection() throws Exception {
    connectAll();
    scheduler.holdSelector(lastClient());
    firstClient().call("1", BUDGET_MILLIS);
    drain();
    awaitEventLoop();
    scheduler.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    assertThat(firstClient().readFrame()).isEqualTo(WireConnection.END);
  }

  /** Guards against a request lost at SIGTERM of which a part was read. */
  @Test
  void requestWithAnUnnoticedRestIsAnsweredBeforeTheShutdownClosesItsConnection() throws Exception {
    connectAll();
    sendCallWithUnnoticedRest();
    drain();
    awaitEventLoop();
    scheduler.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    assertThat(firstClient().readFrame()).isEqualTo(WireConnection.END);
  }

  /** Guards against a request lost whose last bytes arrived in time and were not read in time. */
  @Test
  void requestWhoseRestIsReadAfterTheFrameTimeoutIsAnswered() throws Exception {
    connectAll();
    willRejectAll(1);
    sendCallWithUnnoticedRest();
    spinUntilAfter(eventLoop.now().plus(FrameTimeout.LIMIT).plus(WAIT));
    scheduler.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
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
