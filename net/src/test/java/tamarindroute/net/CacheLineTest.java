package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.protocol.Fields;

/** Attempts on the connections to a cache that answers as a script says. */
@Timeout(30)
class CacheLineTest {

  /** Its clock and timers run ten times as fast as the day's. */
  private static final class Owner implements Timers {

    private static final int QUICK = 10;
    private volatile Thread own;
    private final ScheduledExecutorService thread =
        Executors.newSingleThreadScheduledExecutor(task -> own = new Thread(task, "owner"));

    /** What MINA's thread waits for behind whatever it hands over. */
    private volatile CompletableFuture<?> hold = CompletableFuture.completedFuture(null);

    @Override
    public Duration now() {
      return Duration.ofNanos(System.nanoTime() * QUICK);
    }

    @Override
    public void handOver(Runnable task) {
      thread.execute(task);
      if (Thread.currentThread() != own) {
        hold.completeOnTimeout(null, 5, TimeUnit.SECONDS).join();
      }
    }

    @Override
    public Runnable after(Duration span, Runnable task) {
      var timer = thread.schedule(task, span.toNanos() / QUICK, TimeUnit.NANOSECONDS);
      return () -> timer.cancel(false);
    }
  }

  /**
   * One attempt; what it is told is kept, and what follows then is done at once, in the same turn.
   */
  private static class Attempt implements Asked {

    final CompletableFuture<String> word = new CompletableFuture<>();
    final CompletableFuture<String> ended = new CompletableFuture<>();
    Runnable next = () -> {};
    boolean wanted = true;

    @Override
    public boolean stillWanted() {
      return wanted;
    }

    @Override
    public void answered(String told, Fields fields, int length) {
      word.complete(told);
    }

    @Override
    public void body(ByteBuffer part, Connection from) {}

    @Override
    public void whole() {
      next.run();
    }

    @Override
    public void ended(Ending ending, boolean written) {
      ended.complete(ending + " " + written);
      next.run();
    }
  }

  private final Owner owner = new Owner();
  private final Pool pool = new Pool(64L * 1024 * 1024);
  private final Sockets sockets = new Sockets(owner, pool, 1024);
  private ServerSocket server;
  private CacheLine line;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket();
    // Little may rest in the machine for a cache that does not read.
    server.setReceiveBufferSize(16 * 1024);
    server.bind(new InetSocketAddress("127.0.0.1", 0), 200);
    server.setSoTimeout(5000);
    line =
        new CacheLine(
            sockets,
            owner,
            "s",
            new InetSocketAddress("127.0.0.1", server.getLocalPort()),
            new CacheLine.Limits(4, 100, Duration.ofSeconds(20), Duration.ZERO));
  }

  @AfterEach
  void end() throws IOException {
    sockets.shutDown();
    owner.thread.shutdownNow();
    server.close();
  }

  private <T> T turn(Callable<T> task) throws Exception {
    return owner.thread.submit(task).get(5, TimeUnit.SECONDS);
  }

  private Runnable ask(String id, Attempt attempt) {
    return line.ask(id, () -> "-", List.of(), 0, attempt);
  }

  private static <T> T soon(CompletableFuture<T> told) throws Exception {
    return told.get(5, TimeUnit.SECONDS);
  }

  private Socket accept() throws IOException {
    Socket cache = server.accept();
    cache.setSoTimeout(5000);
    return cache;
  }

  /** Reads until this text has come, and gives all that came. */
  private static String readTo(Socket cache, String text) throws IOException {
    StringBuilder came = new StringBuilder();
    InputStream in = cache.getInputStream();
    while (came.indexOf(text) < 0) {
      int next = in.read();
      assertThat(next).as("more after " + came).isNotNegative();
      came.append((char) next);
    }
    return came.toString();
  }

  private static String asked(String id) {
    return "ASK\r\n$" + id.length() + "\r\n" + id + "\r\n";
  }

  private static void write(Socket cache, String text) throws IOException {
    OutputStream out = cache.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static String answer(String id, String word) {
    return "*4\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$"
        + word.length()
        + "\r\n"
        + word
        + "\r\n$1\r\n-\r\n$0\r\n\r\n";
  }

  /**
   * A connection may come up a second after the request was decided: its time left and all else is
   * as of then.
   */
  @Test
  void fieldsAreMadeAsTheRequestIsWritten() throws Exception {
    String[] fields = {"ttl=1500"};
    turn(
        () -> {
          line.ask("1", () -> fields[0], List.of(), 0, new Attempt());
          fields[0] = "ttl=900";
          return null;
        });
    try (Socket cache = accept()) {
      assertThat(readTo(cache, "$0\r\n\r\n")).contains("ttl=900");
    }
  }

  /**
   * The end of one that waited for a connection may end another that waits there: that one must not
   * go out.
   */
  @Test
  void whatIsGivenUpWhileOthersAreWrittenIsNotWritten() throws Exception {
    Attempt unwanted = new Attempt();
    unwanted.wanted = false;
    turn(
        () -> {
          ask("1", unwanted);
          unwanted.next = ask("2", new Attempt());
          ask("3", new Attempt());
          return null;
        });
    assertThat(soon(unwanted.ended)).isEqualTo("OVERTAKEN false");
    try (Socket cache = accept()) {
      assertThat(readTo(cache, asked("3"))).doesNotContain(asked("1")).doesNotContain(asked("2"));
    }
  }

  /**
   * MINA's thread may be in the midst of writing a request, and tells so only afterwards, when this
   * gateway ends its connection: it must not be called one that never ran. Held up here, it has
   * told nothing yet.
   */
  @Test
  void whatWasWrittenToAConnectionThatThisGatewayEndsMayHaveRun() throws Exception {
    Attempt first = new Attempt();
    Attempt second = new Attempt();
    first.next = () -> ask("2", second);
    turn(() -> ask("1", first));
    try (Socket cache = accept()) {
      readTo(cache, asked("1"));
      owner.hold = second.ended;
      write(cache, answer("1", "NOENT") + "HTTP/1.1 200 OK\r\n\r\n");
      assertThat(soon(second.ended)).isEqualTo("UNREADABLE true");
    }
    assertThat(Ending.UNREADABLE.result(true).provesNotRun).isFalse();
  }

  /**
   * A network that goes away under a connection that was up says the same as for one that never
   * came up.
   */
  @Test
  void noWordsOfAnErrorMakeAConnectionThatWasUpOneThatNeverWas() throws Exception {
    Connection connection = new Connection(sockets, false);
    CompletableFuture<Ending> told = new CompletableFuture<>();
    connection.peer =
        new Peer() {
          @Override
          public void received(ByteBuffer bytes) {}

          @Override
          public void ended(Ending ending) {
            told.complete(ending);
          }
        };
    DummySession session = new DummySession();
    session.setAttribute("connection", connection);
    sockets.exceptionCaught(session, new IOException("Network is unreachable"));
    sockets.sessionClosed(session);
    assertThat(soon(told)).isEqualTo(Ending.RESET);
  }

  /** What this gateway let go before it was written never went, and is no fault of the cache's. */
  @Test
  void whatWaitedForAConnectionThatIsLetGoSpeaksAgainstNoCache() {
    assertThat(Ending.LET_GO.result(false)).isEqualTo(Result.NOT_SENT);
    assertThat(Ending.LET_GO.result(true)).isEqualTo(Result.RECALLED);
  }

  /** Taken for the next leg's, a second copy of a miss would prove that this one never ran. */
  @Test
  void anAnswerThatWasReadBeforeARequestWasWrittenIsNotItsAnswer() throws Exception {
    Attempt first = new Attempt();
    Attempt second = new Attempt();
    first.next = () -> ask("1", second);
    turn(() -> ask("1", first));
    try (Socket cache = accept()) {
      readTo(cache, asked("1"));
      write(cache, answer("1", "NOENT") + answer("1", "NOENT"));
      readTo(cache, asked("1"));
      write(cache, answer("1", "ACK"));
      assertThat(soon(second.word)).isEqualTo("ACK");
    }
  }

  /**
   * A second copy may come later than the next leg is written: where a cache did so lately, that
   * goes elsewhere.
   */
  @Test
  void theNextLegTakesAnotherConnectionOnlyAtACacheThatAnsweredTwice() throws Exception {
    Attempt sane = new Attempt();
    sane.next = () -> ask("1", new Attempt());
    turn(() -> ask("1", sane));
    try (Socket cache = accept()) {
      readTo(cache, asked("1"));
      write(cache, answer("1", "NOENT"));
      readTo(cache, asked("1"));
      Attempt after = new Attempt();
      after.next = () -> ask("2", new Attempt());
      turn(() -> ask("2", after));
      readTo(cache, asked("2"));
      write(cache, answer("1", "ACK") + answer("1", "ACK") + answer("2", "NOENT"));
      try (Socket other = accept()) {
        readTo(other, asked("2"));
      }
    }
  }

  /** What was given up while a cache that hangs left it unread must not run when that goes on. */
  @Test
  void whatWasGivenUpAndHadNotLeftDoesNotLeaveLater() throws Exception {
    Attempt large = new Attempt();
    Attempt small = new Attempt();
    CompletableFuture<Void> up = new CompletableFuture<>();
    Attempt probe = new Attempt();
    probe.next = () -> up.complete(null);
    turn(() -> ask("0", probe));
    try (Socket cache = accept()) {
      readTo(cache, asked("0"));
      write(cache, answer("0", "NOENT"));
      soon(up);
      turn(
          () -> {
            List<IoBuffer> body = List.of(IoBuffer.wrap(new byte[24 * 1024 * 1024]));
            Runnable one = line.ask("1", () -> "-", body, 24 * 1024 * 1024, large);
            Runnable two = ask("2", small);
            one.run();
            two.run();
            return null;
          });
      for (int i = 0; i < 100 && !pool.hasRoom(); i++) {
        Thread.sleep(10);
      }
      String tail = "";
      try {
        byte[] some = new byte[65536];
        for (int n = cache.getInputStream().read(some);
            n >= 0;
            n = cache.getInputStream().read(some)) {
          tail += new String(some, 0, n, StandardCharsets.ISO_8859_1);
          tail = tail.substring(Math.max(0, tail.length() - 200));
        }
      } catch (SocketException e) {
        // The connection was cut off, as it has to be.
      }
      assertThat(tail).doesNotContain(asked("2"));
    }
  }

  /** Sound frames that nobody asked for, without an end. */
  @Test
  void aConnectionThatBringsNothingButWhatNobodyAskedForIsEnded() throws Exception {
    Attempt open = new Attempt();
    turn(() -> ask("1", open));
    try (Socket cache = accept()) {
      readTo(cache, asked("1"));
      write(cache, answer("9", "NOENT").repeat(700));
      assertThat(soon(open.ended)).isEqualTo("UNREADABLE true");
    }
  }

  /**
   * An answer that comes on byte by byte holds up all behind it, long after whoever asked has given
   * it up.
   */
  @Test
  void anAnswerThatNobodyWaitsForDoesNotGoOnForEver() throws Exception {
    Attempt given = new Attempt();
    Attempt behind = new Attempt();
    Runnable[] quit = new Runnable[1];
    turn(
        () -> {
          quit[0] = ask("1", given);
          return ask("2", behind);
        });
    try (Socket cache = accept()) {
      readTo(cache, asked("2"));
      write(cache, "*4\r\n$1\r\n1\r\n$3\r\nACK\r\n$1\r\n-\r\n$200000\r\n");
      soon(given.word);
      turn(
          () -> {
            quit[0].run();
            return null;
          });
      List<IOException> cut = new ArrayList<>();
      for (int i = 0; i < 1000 && !behind.ended.isDone(); i++) {
        try {
          write(cache, "x");
        } catch (IOException e) {
          cut.add(e);
        }
        Thread.sleep(5);
      }
      assertThat(behind.ended).isDone();
      assertThat(soon(behind.ended)).isEqualTo("STALLED true");
    }
  }
}
