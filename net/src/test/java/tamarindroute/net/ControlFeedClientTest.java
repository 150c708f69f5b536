package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The client against a scripted feed on real sockets, with a clock that the test advances. */
@Timeout(30)
class ControlFeedClientTest extends ControlFeedClientFixture {

  private static final Duration EVENT_DEADLINE = Duration.ofSeconds(7);
  private static final Duration STALL_DEADLINE = Duration.ofSeconds(2);
  private static final Duration MOVE_DEADLINE = Duration.ofSeconds(4);

  /**
   * An event published right after the request, on a connection that is silent from then on, and
   * connects that hang.
   */
  @Test
  void aSilentFeedAndHangingConnectsAreOvercomeBeforeTheEventDeadline() throws Exception {
    ServerSocket server = server();
    startedClient(server);
    assertThat(new FeedSession(server).readRequest()).startsWith("GET /v1/events?SUB=0&wait=");
    hangingConnects = 2;
    Duration took = advanceUntilConnects(4);
    FeedSession again = new FeedSession(server);
    assertThat(again.readRequest()).startsWith("GET /v1/events?SUB=0&wait=");
    again.respond("{}");
    awaitTrue(() -> receivedTexts.size() == 1);
    assertThat(took).isLessThan(EVENT_DEADLINE.minusMillis(1000));
  }

  /** One hanging connect after a feed that has stopped. */
  @Test
  void aStalledFeedAndAHangingConnectAreOvercomeTwoSecondsAfterTheWait() throws Exception {
    ServerSocket server = server();
    startedClient(server);
    String request = new FeedSession(server).readRequest();
    Duration wait = Duration.ofMillis(Long.parseLong(request.replaceAll(".*wait=(\\d+).*", "$1")));
    hangingConnects = 1;
    assertThat(advanceUntilConnects(3))
        .isLessThan(wait.plus(STALL_DEADLINE).minus(STEP.multipliedBy(2)));
    assertThat(new FeedSession(server).readRequest()).startsWith("GET /v1/events");
  }

  /** A connection after a silent one is as likely to be silent. */
  @Test
  void twoSilentConnectionsInARowAreOvercomeBeforeTheEventDeadline() throws Exception {
    ServerSocket server = server();
    startedClient(server);
    new FeedSession(server).readRequest();
    Duration first = advanceUntilConnects(2);
    FeedSession second = new FeedSession(server);
    second.readRequest();
    Duration both = first.plus(advanceUntilConnects(3));
    assertThat(new FeedSession(server).readRequest()).startsWith("GET /v1/events");
    assertThat(both).isLessThan(EVENT_DEADLINE.minusMillis(1000));
  }

  /** Guards against events that are never applied since their response ends with the connection. */
  @Test
  void aResponseThatEndsWithTheConnectionIsRead() throws Exception {
    ServerSocket server = server();
    startedClient(server);
    FeedSession first = new FeedSession(server);
    first.readRequest();
    first.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"n\":1,");
    first.send("\"events\":[]}");
    first.close();
    awaitTrue(() -> receivedTexts.size() == 1);
    assertThat(receivedTexts).containsExactly("{\"n\":1,\"events\":[]}");
    FeedSession second = new FeedSession(server);
    assertThat(second.readRequest()).startsWith("GET /v1/events?SUB=1");
    second.respond("{}");
    assertThat(second.readRequest()).startsWith("GET /v1/events?SUB=2");
  }

  /** Such a response that makes no sense, or that a reset cuts off, is requested again. */
  @ParameterizedTest
  @ValueSource(strings = {"broken off", "reset"})
  void aResponseCutOffByTheEndOfTheConnectionIsRequestedAgain(String end) throws Exception {
    ServerSocket server = server();
    startedClient(server);
    FeedSession first = new FeedSession(server);
    first.readRequest();
    first.send("HTTP/1.1 200 OK\r\n\r\n" + (end.equals("reset") ? "{" : "no object"));
    awaitTrue(() -> consumedBytes > 0);
    if (end.equals("reset")) {
      first.socket.setSoLinger(true, 0);
    }
    first.close();
    awaitTrue(() -> closedConnections == 1);
    advanceUntilConnects(2);
    assertThat(new FeedSession(server).readRequest()).startsWith("GET /v1/events?SUB=0");
    assertThat(receivedTexts).isEmpty();
  }

  /** A configuration reload during the retry delay: one connection to the new feed remains. */
  @Test
  void aMoveDuringTheRetryDelayConnectsAtOnceAndOnce() throws Exception {
    ServerSocket server = server();
    ServerSocket other = server();
    ControlFeedClient feed = startedClient(server);
    FeedSession first = new FeedSession(server);
    first.readRequest();
    first.close();
    awaitTrue(() -> closedConnections == 1);
    scheduler.call(
        () -> {
          feed.moveTo(addressOf(other));
          return null;
        });
    scheduler.advance(Duration.ZERO);
    assertThat(connects).containsExactly(addressOf(server), addressOf(other));
    FeedSession newSession = new FeedSession(other);
    assertThat(newSession.readRequest()).startsWith("GET /v1/events?SUB=0");
    for (int i = 0; i < 20; i++) {
      scheduler.advance(STEP);
    }
    assertThat(connects).as("the retry is cancelled").hasSize(2);
    newSession.respond("{}");
    assertThat(newSession.readRequest()).startsWith("GET /v1/events?SUB=1");
  }

  /** Reloads may follow each other while a connect is pending, and a connect may hang. */
  @Test
  void movesInARowAndAHangingConnectLeaveOneConnectionInTime() throws Exception {
    ServerSocket server = server();
    ServerSocket other = server();
    ControlFeedClient feed = startedClient(server);
    FeedSession oldSession = new FeedSession(server);
    oldSession.readRequest();
    hangingConnects = 2;
    scheduler.call(
        () -> {
          feed.moveTo(addressOf(other));
          feed.moveTo(addressOf(server));
          feed.moveTo(addressOf(server));
          return null;
        });
    scheduler.advance(Duration.ZERO);
    assertThat(connects).hasSize(3);
    oldSession.assertClosed();
    assertThat(advanceUntilConnects(4)).isLessThan(MOVE_DEADLINE.minusMillis(1000));
    FeedSession newSession = new FeedSession(server);
    assertThat(newSession.readRequest()).startsWith("GET");
    newSession.respond("{}");
    assertThat(newSession.readRequest()).startsWith("GET");
    assertThat(connects).hasSize(4);
  }

  /** What the old feed sent before the move must not pass for a response of the new one. */
  @Test
  void theOldFeedsLateResponseIsIgnored() throws Exception {
    ServerSocket server = server();
    ServerSocket other = server();
    ControlFeedClient feed = startedClient(server);
    FeedSession oldSession = new FeedSession(server);
    oldSession.readRequest();
    oldSession.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"old");
    scheduler.call(
        () -> {
          oldSession.respond("{\"old\":1}");
          feed.moveTo(addressOf(other));
          return null;
        });
    scheduler.advance(Duration.ZERO);
    FeedSession newSession = new FeedSession(other);
    newSession.readRequest();
    newSession.respond("{\"new\":1}");
    assertThat(newSession.readRequest()).startsWith("GET /v1/events?SUB=1");
    assertThat(receivedTexts).containsExactly("{\"new\":1}");
  }

  /** A long response on a slow network may take longer than the timeouts of its parts. */
  @Test
  void aSlowResponseIsReadToItsEndAndAStalledOneIsCutOff() throws Exception {
    ServerSocket server = server();
    startedClient(server);
    FeedSession session = new FeedSession(server);
    session.readRequest();
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{";
    session.send(head);
    for (int i = 0; i < 18; i++) {
      int sent = head.length() + i;
      awaitTrue(() -> consumedBytes == sent);
      scheduler.advance(Duration.ofMillis(500));
      session.send(" ");
    }
    session.send("}");
    awaitTrue(() -> receivedTexts.size() == 1);
    session.readRequest();
    session.send(head);
    awaitTrue(() -> consumedBytes == 2 * head.length() + 19);
    assertThat(advanceUntilConnects(2)).isLessThan(Duration.ofMillis(1300));
    session.assertClosed();
  }

  /** The same events are requested again after a short delay. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n{}",
        "nonsense\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n{",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}x\r\n"
      })
  void anInvalidResponseIsRequestedAgain(String bad) throws Exception {
    ServerSocket server = server();
    startedClient(server);
    FeedSession session = new FeedSession(server);
    session.readRequest();
    session.send(bad);
    awaitTrue(() -> closedConnections == 1);
    assertRequestedAgain(server);
  }

  /** The connection ends in the middle of an event, by a close or a reset. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anInterruptedResponseIsRequestedAgain(boolean reset) throws Exception {
    ServerSocket server = server();
    startedClient(server);
    FeedSession session = new FeedSession(server);
    session.readRequest();
    session.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"n\":");
    if (reset) {
      session.socket.setSoLinger(true, 0);
    }
    session.close();
    awaitTrue(() -> closedConnections == 1);
    assertRequestedAgain(server);
  }

  private void assertRequestedAgain(ServerSocket server) throws Exception {
    assertThat(receivedTexts).isEmpty();
    assertThat(advanceUntilConnects(2)).isLessThanOrEqualTo(Duration.ofMillis(300));
    FeedSession session = new FeedSession(server);
    assertThat(session.readRequest()).startsWith("GET /v1/events?SUB=0&");
    session.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
    assertThat(session.readRequest()).startsWith("GET /v1/events?SUB=1&");
    assertThat(closedConnections).isEqualTo(1);
  }

  /** The connection to the feed has a descriptor of its own. */
  @Test
  void theFeedHasADescriptorWhenCachesUseTheirWholeShare() throws Exception {
    ServerSocket server = server();
    ServerSocket caches = server();
    ConnectionHandler inUse =
        new ConnectionHandler() {
          @Override
          public void onReceived(ByteBuffer bytes) {}

          @Override
          public void onClosed(CloseReason closeReason) {}
        };
    scheduler.call(
        () -> {
          while (transport.canConnect()) {
            transport.connect(addressOf(caches), inUse);
          }
          return null;
        });
    ControlFeedClient feed =
        new ControlFeedClient(transport, scheduler, addressOf(server), listener, 1);
    scheduler.call(
        () -> {
          feed.start();
          return null;
        });
    assertThat(new FeedSession(server).readRequest()).startsWith("GET /v1/events");
  }
}
