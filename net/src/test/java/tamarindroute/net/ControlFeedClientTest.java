package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.protocol.MalformedMessageException;

/** The client against a scripted feed on real sockets, with a clock that the test advances. */
@Timeout(30)
class ControlFeedClientTest {

  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration EVENT_DEADLINE = Duration.ofSeconds(7);
  private static final Duration STALL_DEADLINE = Duration.ofSeconds(2);
  private static final Duration MOVE_DEADLINE = Duration.ofSeconds(4);

  /** A scheduler whose time advances only when the test says so. */
  private static final class ManualScheduler implements Scheduler {

    private record Timer(Duration due, Runnable task) {}

    private final ExecutorService thread = Executors.newSingleThreadExecutor();
    private final List<Timer> timers = new ArrayList<>();
    private volatile Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void execute(Runnable task) {
      try {
        thread.execute(task);
      } catch (RejectedExecutionException e) {
        // The test is over; MINA still closes connections.
      }
    }

    @Override
    public Runnable schedule(Duration span, Runnable task) {
      Timer timer = new Timer(now.plus(span), task);
      timers.add(timer);
      return () -> timers.removeIf(other -> other == timer);
    }

    void advance(Duration span) throws Exception {
      call(
          () -> {
            now = now.plus(span);
            for (Timer due = nextDue(); due != null; due = nextDue()) {
              timers.remove(due);
              due.task.run();
            }
            return null;
          });
    }

    private Timer nextDue() {
      return timers.stream()
          .filter(timer -> timer.due.compareTo(now) <= 0)
          .findFirst()
          .orElse(null);
    }

    <T> T call(Callable<T> task) throws Exception {
      return thread.submit(task).get(5, TimeUnit.SECONDS);
    }
  }

  /** The addresses of all connects, and how many of the next ones hang. */
  private final List<InetSocketAddress> connects = new CopyOnWriteArrayList<>();

  private volatile int hangingConnects;

  /** Bytes that the client has consumed, and connections whose end it has seen. */
  private int consumedBytes;

  private int closedConnections;

  private final ManualScheduler scheduler = new ManualScheduler();
  private final SocketTransport transport =
      new SocketTransport(scheduler, new BufferPool(64L * 1024 * 1024), 80);
  private final List<String> receivedTexts = new CopyOnWriteArrayList<>();
  private final List<AutoCloseable> resources = new ArrayList<>();
  private final ControlFeedClient.FeedListener listener =
      new ControlFeedClient.FeedListener() {
        @Override
        public long lastEventNumber() {
          return receivedTexts.size();
        }

        @Override
        public void onEvents(String text) throws MalformedMessageException {
          if (!text.startsWith("{")) {
            throw new MalformedMessageException("no object");
          }
          receivedTexts.add(text);
        }
      };

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable one : resources) {
      one.close();
    }
    transport.shutDown();
    scheduler.thread.shutdownNow();
  }

  private ServerSocket server() throws IOException {
    ServerSocket server = new ServerSocket(0, 50);
    server.setSoTimeout(5_000);
    resources.add(server);
    return server;
  }

  private static InetSocketAddress addressOf(ServerSocket server) {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  private ControlFeedClient newClient(ServerSocket server) {
    return new ControlFeedClient(
        (address, handler) -> {
          connects.add(address);
          if (hangingConnects > 0) {
            hangingConnects--;
            Connection connection = new Connection(transport, false);
            connection.handler = handler;
            return connection;
          }
          return transport.connectReserved(address, new CountingHandler(handler));
        },
        scheduler,
        addressOf(server),
        listener,
        1);
  }

  /** Counts what it passes on to the client's handler. */
  private final class CountingHandler implements ConnectionHandler {

    private final ConnectionHandler delegate;

    CountingHandler(ConnectionHandler feed) {
      this.delegate = feed;
    }

    @Override
    public void onOpened() {
      delegate.onOpened();
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      int before = bytes.remaining();
      delegate.onReceived(bytes);
      consumedBytes += before - bytes.remaining();
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      delegate.onClosed(closeReason);
      closedConnections++;
    }
  }

  private ControlFeedClient startedClient(ServerSocket server) throws Exception {
    ControlFeedClient feed = newClient(server);
    scheduler.call(
        () -> {
          feed.start();
          return null;
        });
    return feed;
  }

  /** One connection that the scripted feed has accepted. */
  private final class FeedSession implements AutoCloseable {

    private final Socket socket;
    private final BufferedReader in;

    FeedSession(ServerSocket server) throws IOException {
      socket = server.accept();
      socket.setSoTimeout(5_000);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      resources.add(this);
    }

    String readRequest() throws IOException {
      String first = in.readLine();
      for (String line = first; line != null && !line.isEmpty(); line = in.readLine()) {
        // The headers are not checked.
      }
      return first;
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
    }

    void respond(String body) throws IOException {
      send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** The client has closed or reset the connection. */
    void assertClosed() {
      try {
        assertThat(in.read()).isEqualTo(-1);
      } catch (IOException e) {
        assertThat(e).hasMessageContaining("reset");
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Advances the time until that many connects were made; returns how long that took. */
  private Duration advanceUntilConnects(int count) throws Exception {
    Duration from = scheduler.now;
    while (connects.size() < count) {
      scheduler.advance(STEP);
      assertThat(scheduler.now.minus(from))
          .as("connects " + connects.size())
          .isLessThan(Duration.ofSeconds(30));
    }
    return scheduler.now.minus(from);
  }

  /** Waits, for a bounded time, until events from MINA's thread were handed over. */
  private void awaitTrue(Callable<Boolean> condition) throws Exception {
    for (int i = 0; i < 500 && !scheduler.call(condition); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(scheduler.call(condition)).isTrue();
  }

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
