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
import tamarindroute.protocol.MalformedException;

/**
 * The feed's connection against a scripted feed on real sockets, with the time in the test's hand.
 */
@Timeout(30)
class FeedTest {

  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration TOLD = Duration.ofSeconds(7);
  private static final Duration STOPPED = Duration.ofSeconds(2);
  private static final Duration MOVED = Duration.ofSeconds(4);

  /** The owner's thread; its time stands still but for the test's steps. */
  private static final class Owner implements Timers {

    private record Timer(Duration due, Runnable task) {}

    private final ExecutorService thread = Executors.newSingleThreadExecutor();
    private final List<Timer> timers = new ArrayList<>();
    private volatile Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void handOver(Runnable task) {
      try {
        thread.execute(task);
      } catch (RejectedExecutionException e) {
        // The test is over; MINA still ends what was open.
      }
    }

    @Override
    public Runnable after(Duration span, Runnable task) {
      Timer timer = new Timer(now.plus(span), task);
      timers.add(timer);
      return () -> timers.removeIf(other -> other == timer);
    }

    void advance(Duration span) throws Exception {
      does(
          () -> {
            now = now.plus(span);
            for (Timer due = due(); due != null; due = due()) {
              timers.remove(due);
              due.task.run();
            }
            return null;
          });
    }

    private Timer due() {
      return timers.stream()
          .filter(timer -> timer.due.compareTo(now) <= 0)
          .findFirst()
          .orElse(null);
    }

    <T> T does(Callable<T> task) throws Exception {
      return thread.submit(task).get(5, TimeUnit.SECONDS);
    }
  }

  /** Where the next dials lead: to the scripted feed, or nowhere. */
  private final List<InetSocketAddress> dials = new CopyOnWriteArrayList<>();

  private volatile int hanging;

  /** Bytes that the feed has used, and connections that it was told the end of. */
  private int taken;

  private int ended;

  private final Owner owner = new Owner();
  private final Sockets sockets = new Sockets(owner, new Pool(64L * 1024 * 1024), 80);
  private final List<String> read = new CopyOnWriteArrayList<>();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private final Feed.Reader reader =
      new Feed.Reader() {
        @Override
        public long last() {
          return read.size();
        }

        @Override
        public void read(String text) throws MalformedException {
          if (!text.startsWith("{")) {
            throw new MalformedException("no object");
          }
          read.add(text);
        }
      };

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable one : opened) {
      one.close();
    }
    sockets.shutDown();
    owner.thread.shutdownNow();
  }

  private ServerSocket server() throws IOException {
    ServerSocket server = new ServerSocket(0, 50);
    server.setSoTimeout(5_000);
    opened.add(server);
    return server;
  }

  private static InetSocketAddress at(ServerSocket server) {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  private Feed feed(ServerSocket server) {
    return new Feed(
        (address, peer) -> {
          dials.add(address);
          if (hanging > 0) {
            hanging--;
            Connection connection = new Connection(sockets, false);
            connection.peer = peer;
            return connection;
          }
          return sockets.connectReserved(address, new Seen(peer));
        },
        owner,
        at(server),
        reader,
        1);
  }

  /** Passes all on and counts it, on the owner's thread. */
  private final class Seen implements Peer {

    private final Peer feed;

    Seen(Peer feed) {
      this.feed = feed;
    }

    @Override
    public void opened() {
      feed.opened();
    }

    @Override
    public void received(ByteBuffer bytes) {
      int before = bytes.remaining();
      feed.received(bytes);
      taken += before - bytes.remaining();
    }

    @Override
    public void ended(Ending ending) {
      feed.ended(ending);
      ended++;
    }
  }

  private Feed started(ServerSocket server) throws Exception {
    Feed feed = feed(server);
    owner.does(
        () -> {
          feed.start();
          return null;
        });
    return feed;
  }

  /** One connection that came to the scripted feed. */
  private final class Come implements AutoCloseable {

    private final Socket socket;
    private final BufferedReader in;

    Come(ServerSocket server) throws IOException {
      socket = server.accept();
      socket.setSoTimeout(5_000);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      opened.add(this);
    }

    String asked() throws IOException {
      String first = in.readLine();
      for (String line = first; line != null && !line.isEmpty(); line = in.readLine()) {
        // The headers say nothing.
      }
      return first;
    }

    void sends(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
    }

    void answers(String body) throws IOException {
      sends("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** The gateway has closed or reset it. */
    void isClosed() {
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

  /** Steps on until that many dials were made; how long it took. */
  private Duration until(int count) throws Exception {
    Duration from = owner.now;
    while (dials.size() < count) {
      owner.advance(STEP);
      assertThat(owner.now.minus(from))
          .as("dials " + dials.size())
          .isLessThan(Duration.ofSeconds(30));
    }
    return owner.now.minus(from);
  }

  /**
   * What has happened on MINA's thread is handed over within this; bounded, and no order hangs on
   * it.
   */
  private void waits(Callable<Boolean> so) throws Exception {
    for (int i = 0; i < 500 && !owner.does(so); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(owner.does(so)).isTrue();
  }

  /**
   * A drain told right after the asking, a watch that is silent from then on, and dials that hang.
   */
  @Test
  void aSilentWatchAndDialsThatHangAreOvercomeBeforeWhatIsToldCounts() throws Exception {
    ServerSocket server = server();
    started(server);
    assertThat(new Come(server).asked()).startsWith("GET /v1/events?SUB=0&wait=");
    hanging = 2;
    Duration took = until(4);
    Come again = new Come(server);
    assertThat(again.asked()).startsWith("GET /v1/events?SUB=0&wait=");
    again.answers("{}");
    waits(() -> read.size() == 1);
    assertThat(took).isLessThan(TOLD.minusMillis(1000));
  }

  /**
   * One hanging dial after a feed that stopped: 2 s after the end of the wait that was asked for.
   */
  @Test
  void aStopAndADialThatHangsAreOvercomeTwoSecondsAfterTheWait() throws Exception {
    ServerSocket server = server();
    started(server);
    String asked = new Come(server).asked();
    Duration wait = Duration.ofMillis(Long.parseLong(asked.replaceAll(".*wait=(\\d+).*", "$1")));
    hanging = 1;
    assertThat(until(3)).isLessThan(wait.plus(STOPPED).minus(STEP.multipliedBy(2)));
    assertThat(new Come(server).asked()).startsWith("GET /v1/events");
  }

  /**
   * The connection after a silent one is as likely silent: the next one must be there in time as
   * well.
   */
  @Test
  void twoSilentWatchesInARowAreOvercomeBeforeWhatIsToldCounts() throws Exception {
    ServerSocket server = server();
    started(server);
    new Come(server).asked();
    Duration first = until(2);
    Come second = new Come(server);
    second.asked();
    Duration both = first.plus(until(3));
    assertThat(new Come(server).asked()).startsWith("GET /v1/events");
    assertThat(both).isLessThan(TOLD.minusMillis(1000));
  }

  /**
   * SIGHUP in the pause after a break: the new feed is asked at once, and one connection alone
   * lives on.
   */
  @Test
  void aMoveInAPauseDialsAtOnceAndOnce() throws Exception {
    ServerSocket server = server();
    ServerSocket other = server();
    Feed feed = started(server);
    Come first = new Come(server);
    first.asked();
    first.close();
    waits(() -> ended == 1);
    owner.does(
        () -> {
          feed.move(at(other));
          return null;
        });
    owner.advance(Duration.ZERO);
    assertThat(dials).containsExactly(at(server), at(other));
    Come there = new Come(other);
    assertThat(there.asked()).startsWith("GET /v1/events?SUB=0");
    for (int i = 0; i < 20; i++) {
      owner.advance(STEP);
    }
    assertThat(dials).as("the pause is called off").hasSize(2);
    there.answers("{}");
    assertThat(there.asked()).startsWith("GET /v1/events?SUB=1");
  }

  /** The first dial there may hang, and SIGHUP may come twice, also in the middle of a dial. */
  @Test
  void movesInARowAndADialThatHangsLeaveOneConnectionInTime() throws Exception {
    ServerSocket server = server();
    ServerSocket other = server();
    Feed feed = started(server);
    Come old = new Come(server);
    old.asked();
    hanging = 2;
    owner.does(
        () -> {
          feed.move(at(other));
          feed.move(at(server));
          feed.move(at(server));
          return null;
        });
    owner.advance(Duration.ZERO);
    assertThat(dials).hasSize(3);
    old.isClosed();
    assertThat(until(4)).isLessThan(MOVED.minusMillis(1000));
    Come there = new Come(server);
    assertThat(there.asked()).startsWith("GET");
    there.answers("{}");
    assertThat(there.asked()).startsWith("GET");
    assertThat(dials).hasSize(4);
  }

  /**
   * What the old feed sent before it was left, but was not read yet, is not taken for the new
   * one's.
   */
  @Test
  void theOldFeedsLateAnswerIsNotRead() throws Exception {
    ServerSocket server = server();
    ServerSocket other = server();
    Feed feed = started(server);
    Come old = new Come(server);
    old.asked();
    old.sends("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"old");
    owner.does(
        () -> {
          old.answers("{\"old\":1}");
          feed.move(at(other));
          return null;
        });
    owner.advance(Duration.ZERO);
    Come there = new Come(other);
    there.asked();
    there.answers("{\"new\":1}");
    assertThat(there.asked()).startsWith("GET /v1/events?SUB=1");
    assertThat(read).containsExactly("{\"new\":1}");
  }

  /** A long answer on a slow way takes longer than any patience; it is cut only where it stops. */
  @Test
  void anAnswerIsReadAsLongAsItComesAndCutSoonWhereItStops() throws Exception {
    ServerSocket server = server();
    started(server);
    Come come = new Come(server);
    come.asked();
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{";
    come.sends(head);
    for (int i = 0; i < 18; i++) {
      int sent = head.length() + i;
      waits(() -> taken == sent);
      owner.advance(Duration.ofMillis(500));
      come.sends(" ");
    }
    come.sends("}");
    waits(() -> read.size() == 1);
    come.asked();
    come.sends(head);
    waits(() -> taken == 2 * head.length() + 19);
    assertThat(until(2)).isLessThan(Duration.ofMillis(1300));
    come.isClosed();
  }

  /**
   * Whatever comes in place of an answer, or of its end, is asked for again with the same number,
   * and soon.
   */
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
  void whatIsNoAnswerIsAskedForAgain(String bad) throws Exception {
    ServerSocket server = server();
    started(server);
    Come come = new Come(server);
    come.asked();
    come.sends(bad);
    waits(() -> ended == 1);
    goesOn(server);
  }

  /**
   * Broken off in the middle of an event, in order or by a reset, as late as the owner is at it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anAnswerThatIsBrokenOffIsAskedForAgain(boolean reset) throws Exception {
    ServerSocket server = server();
    started(server);
    Come come = new Come(server);
    come.asked();
    come.sends("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"n\":");
    if (reset) {
      come.socket.setSoLinger(true, 0);
    }
    come.close();
    waits(() -> ended == 1);
    goesOn(server);
  }

  private void goesOn(ServerSocket server) throws Exception {
    assertThat(read).isEmpty();
    assertThat(until(2)).isLessThanOrEqualTo(Duration.ofMillis(300));
    Come come = new Come(server);
    assertThat(come.asked()).startsWith("GET /v1/events?SUB=0&");
    come.sends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
    assertThat(come.asked()).startsWith("GET /v1/events?SUB=1&");
    assertThat(ended).isEqualTo(1);
  }

  /** Caches that use every descriptor of their share do not make the gateway deaf to its feed. */
  @Test
  void theFeedHasADescriptorWhenTheCachesHaveNone() throws Exception {
    ServerSocket server = server();
    ServerSocket caches = server();
    Peer inUse =
        new Peer() {
          @Override
          public void received(ByteBuffer bytes) {}

          @Override
          public void ended(Ending ending) {}
        };
    owner.does(
        () -> {
          while (sockets.mayConnect()) {
            sockets.connect(at(caches), inUse);
          }
          return null;
        });
    Feed feed = new Feed(sockets, owner, at(server), reader, 1);
    owner.does(
        () -> {
          feed.start();
          return null;
        });
    assertThat(new Come(server).asked()).startsWith("GET /v1/events");
  }
}
