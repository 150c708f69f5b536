package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;
import tamarindroute.host.Clock;
import tamarindroute.host.Config;
import tamarindroute.host.Roster;
import tamarindroute.net.Asked;
import tamarindroute.net.CacheLine;
import tamarindroute.net.Connection;
import tamarindroute.net.Ending;
import tamarindroute.net.Pool;
import tamarindroute.net.Sockets;
import tamarindroute.net.Timers;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.RespReader;
import tamarindroute.protocol.RespWriter;

/**
 * Two ends of one request in one turn of the owner's thread, each order forced: the thread is held
 * while both are handed over to it, and goes on only then. The client and the caches are this
 * test's sockets; the stages, the connections and the buffers between them are the gateway's own,
 * the module is a script.
 */
@Timeout(30)
class OrderTest {

  private static final String COPY = "4be0c1927d55a6f3";
  private static final Duration UP_WITHIN = Duration.ofSeconds(2);

  /** Less than any other end of what waits for a connection here, and much more than 50 ms. */
  private static final Duration AT_ONCE = Duration.ofSeconds(1);

  /** For ends that no deadline shall meet. */
  private static final int LONG = 3000;

  private final Clock clock = new Clock();

  /** A permit for each task that MINA's thread has handed over. */
  private final Semaphore handed = new Semaphore(0);

  private final Timers owner =
      new Timers() {
        @Override
        public Duration now() {
          return clock.now();
        }

        @Override
        public void handOver(Runnable task) {
          clock.handOver(task);
          handed.release();
        }

        @Override
        public Runnable after(Duration span, Runnable task) {
          return clock.after(span, task);
        }
      };
  private final Pool pool = new Pool(64L * 1024 * 1024);

  /** The limit leaves each side eight descriptors. */
  private final Sockets sockets = new Sockets(owner, pool, 80);

  private final List<AutoCloseable> closing = new ArrayList<>();

  /**
   * The module's words, in the order in which they are wanted; what it was told. All on the owner's
   * thread.
   */
  private final ArrayDeque<Function<View, Answer>> answers = new ArrayDeque<>();

  private final List<View> placed = new ArrayList<>();
  private final List<Result> told = new ArrayList<>();
  private final Decisions module =
      (Decisions)
          Proxy.newProxyInstance(
              Decisions.class.getClassLoader(),
              new Class<?>[] {Decisions.class},
              (proxy, method, arguments) ->
                  switch (method.getName()) {
                    case "place" -> {
                      placed.add((View) arguments[0]);
                      yield answers.remove().apply((View) arguments[0]);
                    }
                    case "after" -> {
                      told.add(((Trip) arguments[1]).outcome.result());
                      yield answers.isEmpty()
                          ? new Answer.Termination()
                          : answers.remove().apply((View) arguments[0]);
                    }
                    case "mayStillGo" -> true;
                    default -> null;
                  });
  private final ServerSocketChannel first = server();
  private final ServerSocketChannel second = server();
  private InetSocketAddress door;
  private Roster roster;
  private Chain chain;
  private int roomAtRest;

  OrderTest() throws IOException {}

  private ServerSocketChannel server() throws IOException {
    ServerSocketChannel server =
        ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 200);
    server.socket().setSoTimeout(5_000);
    closing.add(server);
    return server;
  }

  private static InetSocketAddress address(ServerSocket server) {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  private void start(InetSocketAddress one, InetSocketAddress other) throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    try (ServerSocket free = new ServerSocket(0)) {
      door = address(free);
    }
    roster =
        new Roster(config.settings(), List.of(module), clock, (id, address) -> line(id, address));
    roster.read(
        "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,\"servers\":["
            + entry("s-1", one)
            + ","
            + entry("s-2", other)
            + "]}}]}");
    chain =
        turn(
            () -> {
              try {
                return new Chain(config.settings(), module, clock, pool, roster);
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    sockets.listen(door, chain::takeIn);
    roomAtRest = room();
  }

  private void start() throws Exception {
    start(address(first.socket()), address(second.socket()));
  }

  private static String entry(String id, InetSocketAddress at) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + at.getPort()
        + "\",\"zone\":\"shed\",\"kind\":\"edge\","
        + "\"cell\":0,\"state\":\"ready\",\"weight\":40,\"started_ms\":0}";
  }

  private CacheLine line(String id, InetSocketAddress at) {
    return new CacheLine(
        sockets, owner, id, at, new CacheLine.Limits(1, 100, UP_WITHIN, Duration.ZERO));
  }

  @AfterEach
  void end() throws Exception {
    sockets.shutDown();
    for (AutoCloseable one : closing) {
      one.close();
    }
  }

  /** Attempt at the cache of this id. */
  private Answer attempt(String id) {
    Cache cache =
        roster.caches().stream().filter(one -> roster.id(one).equals(id)).findAny().orElseThrow();
    return new Trip(cache, cache, 1, null, false, false, null);
  }

  private <T> T turn(Supplier<T> work) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    clock.handOver(
        () -> {
          try {
            done.complete(work.get());
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(10, TimeUnit.SECONDS);
  }

  /** Holds the owner's thread, from its turn in the queue to the release. */
  private final class Hold {

    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch over = new CountDownLatch(1);

    Hold() {
      clock.handOver(
          () -> {
            begun.countDown();
            await(over);
          });
    }

    /** Held, and nothing waits behind it yet that this test has not put there. */
    Hold now() {
      await(begun);
      handed.drainPermits();
      return this;
    }

    void release() {
      over.countDown();
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** MINA's thread has handed over one more task. */
  private void handedOver() throws Exception {
    assertThat(handed.tryAcquire(5, TimeUnit.SECONDS)).as("handed over").isTrue();
  }

  private void untilPast(Duration time) {
    while (clock.now().compareTo(time) <= 0) {
      Thread.onSpinWait();
    }
  }

  /** How many buffers more there is room for. */
  private int room() {
    int some = 0;
    while (pool.hasRoomFor((long) (some + 1) * Pool.SIZE)) {
      some++;
    }
    return some;
  }

  /** Nothing is in hand, the module was told just this, and in a moment all buffers are back. */
  private void allOver(Result... results) throws Exception {
    assertThat(turn(() -> List.copyOf(told))).containsExactly(results);
    assertThat(chain.inHand()).isZero();
    Duration last = clock.now().plusSeconds(5);
    while (room() < roomAtRest && clock.now().compareTo(last) < 0) {
      turn(() -> null);
    }
    assertThat(room()).as("room for buffers").isEqualTo(roomAtRest);
  }

  /** One side of a connection, read frame by frame; a read waits 5 s at most. */
  private final class Wire {

    private final Socket socket;
    private final RespReader reader = new RespReader(3, 4096, 256 * 1024);
    private final ByteBuffer bytes = ByteBuffer.allocate(64 * 1024).limit(0);

    Wire(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(5_000);
      socket.setTcpNoDelay(true);
      closing.add(socket);
    }

    /** The next frame's first two words; "end" where the other side has closed. */
    String next() throws Exception {
      while (true) {
        // A frame without a body ends with nothing more to be read.
        RespReader.Step step = reader.next(bytes);
        if (step == RespReader.Step.END) {
          return reader.words().get(0) + " " + reader.words().get(1);
        }
        if (step == RespReader.Step.MORE) {
          int some = socket.getInputStream().read(bytes.array());
          if (some < 0) {
            return "end";
          }
          bytes.clear().limit(some);
        }
      }
    }

    void send(String... words) throws IOException {
      socket.getOutputStream().write(RespWriter.frame(words));
    }

    /** A frame with a body. */
    void sendWhole(String body, String... words) throws IOException {
      socket
          .getOutputStream()
          .write(
              (new String(RespWriter.opening(body.length(), words).array()) + body + "\r\n")
                  .getBytes());
    }

    void call(String tag, int budget) throws IOException {
      sendWhole(
          "body",
          "RPC.CALL",
          tag,
          "clip",
          new Fields()
              .with("rid", "9b1f03aa5c7e2d4" + tag)
              .with("obj", "7f3a9c21e0b4d655")
              .with("budget", budget)
              .write("-"));
    }

    /** The cache's answer to that request. */
    void answer(String tag) throws IOException {
      answer(tag, "ACK");
    }

    void answer(String tag, String word) throws IOException {
      sendWhole(
          "what was asked for",
          "9b1f03aa5c7e2d4" + tag,
          word,
          new Fields().with("digest", COPY).write("-"));
    }

    /** The answer's beginning and a part of its body. */
    void half(String tag) throws IOException {
      socket
          .getOutputStream()
          .write(RespWriter.opening(100, "9b1f03aa5c7e2d4" + tag, "ACK", "-").array());
      socket.getOutputStream().write(new byte[50]);
    }

    /** Whatever was owed before this has been written before its answer. */
    void nothingBut(String... frames) throws Exception {
      for (String frame : frames) {
        assertThat(next()).isEqualTo(frame);
      }
      send("RPC.HEALTH", "9");
      assertThat(next()).isEqualTo("9 RED");
    }

    void fin() throws IOException {
      socket.shutdownOutput();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private Wire client() throws Exception {
    Wire client = new Wire(new Socket(door.getAddress(), door.getPort()));
    client.nothingBut();
    return client;
  }

  private Wire accepted(ServerSocketChannel at) throws IOException {
    return new Wire(at.socket().accept());
  }

  /** A dial of this machine's to itself is up in the system before it returns. */
  private static void notDialled(ServerSocketChannel server) throws IOException {
    server.configureBlocking(false);
    assertThat(server.accept()).isNull();
  }

  /** A cache whose machine lets no connection come up: its queue is full of this test's own. */
  private InetSocketAddress hanging() throws IOException {
    ServerSocket full = new ServerSocket(0, 1);
    closing.add(full);
    assertThatThrownBy(
            () -> {
              while (true) {
                Socket one = new Socket();
                closing.add(one);
                one.connect(address(full), 200);
              }
            })
        .isInstanceOf(SocketTimeoutException.class);
    return address(full);
  }

  /** What the module says to the next questions. */
  @SafeVarargs
  private void says(Function<View, Answer>... next) throws Exception {
    turn(() -> answers.addAll(List.of(next)));
  }

  /** A client, and its request as the first cache has it. */
  private Wire asked(Wire client, int budget) throws Exception {
    says(view -> attempt("s-1"));
    client.call("1", budget);
    Wire cache = accepted(first);
    assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    return cache;
  }

  @Test
  void deadlineThenAnswer() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, 300);
    Hold hold = new Hold().now();
    cache.answer("1");
    handedOver();
    untilPast(placed.get(0).cutOff);
    hold.release();
    client.nothingBut("1 FAIL");
    assertThat(cache.next()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    allOver(Result.TIMED_OUT);
  }

  @Test
  void answerThenDeadline() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, 1000);
    Hold hold = new Hold().now();
    cache.answer("1");
    handedOver();
    Hold after = new Hold();
    assertThat(clock.now()).as("in time").isLessThan(placed.get(0).cutOff);
    hold.release();
    await(after.begun);
    untilPast(placed.get(0).cutOff);
    after.release();
    client.nothingBut("1 ACK");
    allOver(Result.HONOURED);
  }

  @Test
  void cancelThenAnswer() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, LONG);
    Hold hold = new Hold().now();
    client.send("RPC.CANCEL", "1");
    handedOver();
    cache.answer("1");
    handedOver();
    hold.release();
    client.nothingBut();
    assertThat(cache.next()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    allOver(Result.RECALLED);
  }

  /**
   * Nothing is left under the tag, which serves again, and the cache gets no word for what it has
   * answered.
   */
  @Test
  void answerThenCancel() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, LONG);
    Hold hold = new Hold().now();
    cache.answer("1");
    handedOver();
    client.send("RPC.CANCEL", "1");
    handedOver();
    hold.release();
    client.nothingBut("1 ACK");
    says(view -> attempt("s-1"));
    client.call("1", LONG);
    assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    cache.answer("1");
    client.nothingBut("1 ACK");
    allOver(Result.HONOURED, Result.HONOURED);
  }

  /** What has come of the answer by then goes nowhere, and its buffers are others'. */
  @Test
  void halfAnAnswerThenDeadline() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, 300);
    Hold hold = new Hold().now();
    cache.half("1");
    handedOver();
    Hold after = new Hold();
    hold.release();
    await(after.begun);
    untilPast(placed.get(0).cutOff);
    after.release();
    client.nothingBut("1 FAIL");
    allOver(Result.TIMED_OUT);
  }

  @Test
  void halfAnAnswerThenCancel() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, LONG);
    Hold hold = new Hold().now();
    cache.half("1");
    handedOver();
    client.send("RPC.CANCEL", "1");
    handedOver();
    hold.release();
    client.nothingBut();
    assertThat(cache.next()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    allOver(Result.RECALLED);
  }

  @Test
  void finThenAnswer() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, LONG);
    Hold hold = new Hold().now();
    client.fin();
    handedOver();
    cache.answer("1");
    handedOver();
    hold.release();
    assertThat(client.next()).isEqualTo("1 ACK");
    assertThat(client.next()).isEqualTo("end");
    allOver(Result.HONOURED);
  }

  @Test
  void answerThenFin() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, LONG);
    Hold hold = new Hold().now();
    cache.answer("1");
    handedOver();
    client.fin();
    handedOver();
    hold.release();
    assertThat(client.next()).isEqualTo("1 ACK");
    assertThat(client.next()).isEqualTo("end");
    allOver(Result.HONOURED);
  }

  /**
   * What waits for its connection ends long before that is given up, and the module's next attempt
   * is not begun.
   */
  @Test
  void finWhileAnAttemptWaitsForItsConnection() throws Exception {
    start(hanging(), address(second.socket()));
    Wire client = client();
    says(view -> attempt("s-1"), view -> attempt("s-2"), view -> new Answer.Dismissal(null));
    Duration from = clock.now();
    client.call("1", LONG);
    client.fin();
    assertThat(client.next()).isEqualTo("1 NAK");
    assertThat(client.next()).isEqualTo("end");
    assertThat(clock.now().minus(from)).isLessThan(AT_ONCE);
    allOver(Result.NOT_SENT, Result.NOT_SENT);
    notDialled(second);
  }

  /**
   * Nobody may be there any more: the module's next attempt is not begun, though 50 ms have not
   * passed.
   */
  @Test
  void finThenRefusal() throws Exception {
    start();
    Wire client = client();
    Wire cache = asked(client, LONG);
    says(view -> attempt("s-2"), view -> new Answer.Dismissal(null));
    Hold hold = new Hold().now();
    client.fin();
    handedOver();
    cache.answer("1", "AGAIN");
    handedOver();
    hold.release();
    assertThat(client.next()).isEqualTo("1 NAK");
    assertThat(client.next()).isEqualTo("end");
    allOver(Result.TURNED_AWAY, Result.NOT_SENT);
    notDialled(second);
  }

  @Test
  void resetBeforeTheRequestIsTakenIn() throws Exception {
    start();
    Wire client = client();
    says(view -> attempt("s-1"));
    Hold hold = new Hold().now();
    client.call("1", LONG);
    handedOver();
    client.reset();
    handedOver();
    hold.release();
    allOver();
    assertThat(turn(() -> List.copyOf(placed))).isEmpty();
    notDialled(first);
  }

  /** The module names a further attempt at the deadline: told as not sent, and never begun. */
  @Test
  void deadlineThenNextAttempt() throws Exception {
    start();
    Wire client = client();
    says(view -> attempt("s-1"), view -> attempt("s-2"), view -> new Answer.NotYet());
    client.call("1", 300);
    Wire cache = accepted(first);
    assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    client.nothingBut("1 FAIL");
    assertThat(cache.next()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    allOver(Result.TIMED_OUT, Result.NOT_SENT);
    notDialled(second);
  }

  @Test
  void deadlineOfWhatWasNeverWritten() throws Exception {
    start(hanging(), address(second.socket()));
    Wire client = client();
    says(view -> attempt("s-1"));
    client.call("1", 300);
    client.nothingBut("1 FAIL");
    allOver(Result.NOT_SENT);
  }

  @Test
  void cancelOfWhatWasNeverWritten() throws Exception {
    start(hanging(), address(second.socket()));
    Wire client = client();
    says(view -> attempt("s-1"));
    client.call("1", LONG);
    client.send("RPC.CANCEL", "1");
    client.nothingBut();
    allOver(Result.NOT_SENT);
  }

  /** What became of a request that a line was asked. */
  private static final class Waiting implements Asked {

    private final CompletableFuture<String> answer = new CompletableFuture<>();

    @Override
    public void answered(String word, Fields fields, int length) {}

    @Override
    public void body(ByteBuffer part, Connection from) {}

    @Override
    public void whole() {
      answer.complete("whole");
    }

    @Override
    public void ended(Ending ending, boolean written) {
      answer.complete(ending.toString());
    }

    String became() throws Exception {
      return answer.get(5, TimeUnit.SECONDS);
    }
  }

  /** One more request of this tag, on the owner's thread. */
  private static Runnable ask(CacheLine line, String tag, Waiting waiting) {
    return line.ask("9b1f03aa5c7e2d4" + tag, () -> "-", List.of(), 0, waiting);
  }

  /**
   * All eight connections are up; in one turn the longest idle are lent, then another cache wants
   * one.
   */
  @Test
  void aConnectionJustLentIsNotEvicted() throws Exception {
    List<CacheLine> lines = new ArrayList<>();
    List<Wire> caches = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      CacheLine line = line("s-" + i, address(first.socket()));
      Waiting up = new Waiting();
      turn(() -> ask(line, "1", up));
      Wire cache = accepted(first);
      assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d41");
      cache.answer("1");
      assertThat(up.became()).isEqualTo("whole");
      lines.add(line);
      caches.add(cache);
    }
    CacheLine other = line("s-8", address(second.socket()));
    CacheLine last = line("s-9", address(second.socket()));
    List<Waiting> lent = new ArrayList<>();
    Waiting evicting = new Waiting();
    Waiting tooMany = new Waiting();
    turn(
        () -> {
          for (int i = 0; i < 7; i++) {
            lent.add(new Waiting());
            ask(lines.get(i), "2", lent.get(i));
          }
          ask(other, "2", evicting);
          return ask(last, "2", tooMany);
        });
    assertThat(caches.get(7).next()).as("the one idle").isEqualTo("end");
    assertThat(tooMany.became()).isEqualTo("NO_DESCRIPTOR");
    for (int i = 0; i < 7; i++) {
      assertThat(caches.get(i).next()).isEqualTo("ASK 9b1f03aa5c7e2d42");
      caches.get(i).answer("2");
      assertThat(lent.get(i).became()).isEqualTo("whole");
    }
    Wire cache = accepted(second);
    assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    cache.answer("2");
    assertThat(evicting.became()).isEqualTo("whole");
  }

  @Test
  void askedAndGivenUpBeforeItsConnectionIsUp() throws Exception {
    CacheLine line = line("s-1", address(first.socket()));
    Waiting after = new Waiting();
    turn(
        () -> {
          ask(line, "1", new Waiting()).run();
          return ask(line, "2", after);
        });
    Wire cache = accepted(first);
    assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    cache.answer("2");
    assertThat(after.became()).isEqualTo("whole");
  }

  /** Another is open there, or a connection that has said nothing since would be closed with it. */
  @Test
  void askedAndGivenUpOnAConnectionThatIsUp() throws Exception {
    CacheLine line = line("s-1", address(first.socket()));
    Waiting open = new Waiting();
    turn(() -> ask(line, "1", open));
    Wire cache = accepted(first);
    assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    Waiting givenUp = new Waiting();
    turn(
        () -> {
          ask(line, "2", givenUp).run();
          return null;
        });
    assertThat(cache.next()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    assertThat(cache.next()).isEqualTo("QUIT 9b1f03aa5c7e2d42");
    cache.answer("2");
    cache.answer("1");
    assertThat(open.became()).isEqualTo("whole");
    assertThat(givenUp.answer).isNotDone();
  }
}
