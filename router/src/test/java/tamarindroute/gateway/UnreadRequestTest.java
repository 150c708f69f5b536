package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that a client has sent whole and the gateway has not read yet, when their connection is
 * to be ended.
 */
@Timeout(30)
class UnreadRequestTest extends UnreadRequestHarness {

  UnreadRequestTest() throws IOException {}

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

  /** Drains while MINA's thread is held, and expects the first client's answer, then the end. */
  private void assertAnsweredBeforeTheShutdownCloses() throws Exception {
    drain();
    awaitEventLoop();
    scheduler.release();
    assertThat(firstClient().readFrame()).isEqualTo("1 NAK");
    assertThat(firstClient().readFrame()).isEqualTo(WireConnection.END);
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
    assertAnsweredBeforeTheShutdownCloses();
  }

  /** Guards against a request lost at SIGTERM of which a part was read. */
  @Test
  void requestWithAnUnnoticedRestIsAnsweredBeforeTheShutdownClosesItsConnection() throws Exception {
    connectAll();
    sendCallWithUnnoticedRest();
    assertAnsweredBeforeTheShutdownCloses();
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
}
