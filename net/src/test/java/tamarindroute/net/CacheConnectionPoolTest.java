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
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.CacheStatus;

/** Requests on the connections to a scripted cache on real sockets. */
@Timeout(30)
class CacheConnectionPoolTest {

  /** Clock and timers that run ten times as fast as real time. */
  private static final class AcceleratedScheduler implements Scheduler {

    private static final int SPEED_UP = 10;
    private volatile Thread eventLoopThread;
    private final ScheduledExecutorService thread =
        Executors.newSingleThreadScheduledExecutor(
            task -> eventLoopThread = new Thread(task, "event-loop"));

    /** MINA's thread waits for this after each event that it hands over. */
    private volatile CompletableFuture<?> heldBackUntil = CompletableFuture.completedFuture(null);

    @Override
    public Duration now() {
      return Duration.ofNanos(System.nanoTime() * SPEED_UP);
    }

    @Override
    public void execute(Runnable task) {
      thread.execute(task);
      if (Thread.currentThread() != eventLoopThread) {
        heldBackUntil.completeOnTimeout(null, 5, TimeUnit.SECONDS).join();
      }
    }

    @Override
    public Runnable schedule(Duration span, Runnable task) {
      var timer = thread.schedule(task, span.toNanos() / SPEED_UP, TimeUnit.NANOSECONDS);
      return () -> timer.cancel(false);
    }
  }

  /** Records the outcome of a request, and runs the next step of the test in the same call. */
  private static class RecordingHandler implements ResponseHandler {

    final CompletableFuture<CacheStatus> status = new CompletableFuture<>();
    final CompletableFuture<String> failure = new CompletableFuture<>();
    Runnable afterwards = () -> {};
    boolean wanted = true;

    @Override
    public boolean isStillWanted() {
      return wanted;
    }

    @Override
    public void onResponse(CacheResponse response, int bodyLength) {
      status.complete(response.status());
    }

    @Override
    public void onBody(ByteBuffer part, Connection from) {}

    @Override
    public void onComplete() {
      afterwards.run();
    }

    @Override
    public void onFailure(CloseReason closeReason, boolean written) {
      failure.complete(closeReason + " " + written);
      afterwards.run();
    }
  }

  private final AcceleratedScheduler scheduler = new AcceleratedScheduler();
  private final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
  private final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 1024);
  private ServerSocket server;
  private CacheConnectionPool connectionPool;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket();
    // A cache that does not read must soon block the sender.
    server.setReceiveBufferSize(16 * 1024);
    server.bind(new InetSocketAddress("127.0.0.1", 0), 200);
    server.setSoTimeout(5000);
    connectionPool =
        new CacheConnectionPool(
            transport,
            scheduler,
            "s",
            new InetSocketAddress("127.0.0.1", server.getLocalPort()),
            new CacheConnectionPool.Limits(4, 100, Duration.ofSeconds(20), Duration.ZERO));
  }

  @AfterEach
  void end() throws IOException {
    transport.shutDown();
    scheduler.thread.shutdownNow();
    server.close();
  }

  private <T> T onEventLoop(Callable<T> task) throws Exception {
    return scheduler.thread.submit(task).get(5, TimeUnit.SECONDS);
  }

  private Runnable send(String id, RecordingHandler attempt) {
    return connectionPool.send(id, () -> "-", List.of(), 0, attempt);
  }

  private static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(5, TimeUnit.SECONDS);
  }

  private Socket accept() throws IOException {
    Socket cache = server.accept();
    cache.setSoTimeout(5000);
    return cache;
  }

  /** Reads until this text was received, and returns all that was received. */
  private static String readUntil(Socket cache, String text) throws IOException {
    StringBuilder received = new StringBuilder();
    InputStream in = cache.getInputStream();
    while (received.indexOf(text) < 0) {
      int next = in.read();
      assertThat(next).as("more after " + received).isNotNegative();
      received.append((char) next);
    }
    return received.toString();
  }

  private static String askFrameEnd(String id) {
    return "ASK\r\n$" + id.length() + "\r\n" + id + "\r\n";
  }

  private static void write(Socket cache, String text) throws IOException {
    OutputStream out = cache.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static String responseFrame(String id, String status) {
    return "*4\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$"
        + status.length()
        + "\r\n"
        + status
        + "\r\n$1\r\n-\r\n$0\r\n\r\n";
  }

  /**
   * A connection may be established a second after the decision, so the time left must be current.
   */
  @Test
  void fieldsAreEvaluatedWhenTheRequestIsWritten() throws Exception {
    String[] fields = {"ttl=1500"};
    onEventLoop(
        () -> {
          connectionPool.send("1", () -> fields[0], List.of(), 0, new RecordingHandler());
          fields[0] = "ttl=900";
          return null;
        });
    try (Socket cache = accept()) {
      assertThat(readUntil(cache, "$0\r\n\r\n")).contains("ttl=900");
    }
  }

  /** The failure of one waiting request may cancel another one that waits behind it. */
  @Test
  void aRequestCancelledWhileOthersAreWrittenIsNotWritten() throws Exception {
    RecordingHandler unwanted = new RecordingHandler();
    unwanted.wanted = false;
    onEventLoop(
        () -> {
          send("1", unwanted);
          unwanted.afterwards = send("2", new RecordingHandler());
          send("3", new RecordingHandler());
          return null;
        });
    assertThat(await(unwanted.failure)).isEqualTo("NO_LONGER_WANTED false");
    try (Socket cache = accept()) {
      assertThat(readUntil(cache, askFrameEnd("3")))
          .doesNotContain(askFrameEnd("1"))
          .doesNotContain(askFrameEnd("2"));
    }
  }

  /**
   * MINA's thread may be sending a request while this process closes the connection, and reports it
   * only afterwards. It is held up here, so that it has reported nothing yet.
   */
  @Test
  void aRequestWrittenToALocallyClosedConnectionMayHaveRun() throws Exception {
    RecordingHandler first = new RecordingHandler();
    RecordingHandler second = new RecordingHandler();
    first.afterwards = () -> send("2", second);
    onEventLoop(() -> send("1", first));
    try (Socket cache = accept()) {
      readUntil(cache, askFrameEnd("1"));
      scheduler.heldBackUntil = second.failure;
      write(cache, responseFrame("1", "NOENT") + "HTTP/1.1 200 OK\r\n\r\n");
      assertThat(await(second.failure)).isEqualTo("PROTOCOL_ERROR true");
    }
    assertThat(CloseReason.PROTOCOL_ERROR.result(true).provesNotExecuted).isFalse();
  }

  /** The message is the same as for a connection that could not be established. */
  @Test
  void anErrorOnAnOpenConnectionIsAlwaysAReset() throws Exception {
    Connection connection = new Connection(transport, false);
    CompletableFuture<CloseReason> future = new CompletableFuture<>();
    connection.handler =
        new ConnectionHandler() {
          @Override
          public void onReceived(ByteBuffer bytes) {}

          @Override
          public void onClosed(CloseReason closeReason) {
            future.complete(closeReason);
          }
        };
    DummySession session = new DummySession();
    session.setAttribute("connection", connection);
    transport.exceptionCaught(session, new IOException("Network is unreachable"));
    transport.sessionClosed(session);
    assertThat(await(future)).isEqualTo(CloseReason.RESET);
  }

  /** A request that was not written when this process closed the connection was never sent. */
  @Test
  void aLocalCloseIsNoFailureOfTheCache() {
    assertThat(CloseReason.CLOSED_LOCALLY.result(false)).isEqualTo(Result.NOT_SENT);
    assertThat(CloseReason.CLOSED_LOCALLY.result(true)).isEqualTo(Result.CANCELLED);
  }

  /** A duplicate of a miss would otherwise prove that the next attempt was not executed. */
  @Test
  void aResponseReadBeforeTheRequestWasWrittenIsNotItsResponse() throws Exception {
    RecordingHandler first = new RecordingHandler();
    RecordingHandler second = new RecordingHandler();
    first.afterwards = () -> send("1", second);
    onEventLoop(() -> send("1", first));
    try (Socket cache = accept()) {
      readUntil(cache, askFrameEnd("1"));
      write(cache, responseFrame("1", "NOENT") + responseFrame("1", "NOENT"));
      readUntil(cache, askFrameEnd("1"));
      write(cache, responseFrame("1", "ACK"));
      assertThat(await(second.status)).isEqualTo(CacheStatus.SERVED);
    }
  }

  /**
   * A duplicate may come after the next attempt was written, so for a cache that sent one lately
   * the attempt takes another connection.
   */
  @Test
  void theNextAttemptTakesAnotherConnectionOnlyAtACacheThatRespondedTwice() throws Exception {
    RecordingHandler sane = new RecordingHandler();
    sane.afterwards = () -> send("1", new RecordingHandler());
    onEventLoop(() -> send("1", sane));
    try (Socket cache = accept()) {
      readUntil(cache, askFrameEnd("1"));
      write(cache, responseFrame("1", "NOENT"));
      readUntil(cache, askFrameEnd("1"));
      RecordingHandler after = new RecordingHandler();
      after.afterwards = () -> send("2", new RecordingHandler());
      onEventLoop(() -> send("2", after));
      readUntil(cache, askFrameEnd("2"));
      write(
          cache,
          responseFrame("1", "ACK") + responseFrame("1", "ACK") + responseFrame("2", "NOENT"));
      try (Socket other = accept()) {
        readUntil(other, askFrameEnd("2"));
      }
    }
  }

  /** A cache that hangs must not execute, once it continues, what was cancelled meanwhile. */
  @Test
  void aCancelledUnsentRequestIsNeverSent() throws Exception {
    RecordingHandler large = new RecordingHandler();
    RecordingHandler small = new RecordingHandler();
    CompletableFuture<Void> up = new CompletableFuture<>();
    RecordingHandler probe = new RecordingHandler();
    probe.afterwards = () -> up.complete(null);
    onEventLoop(() -> send("0", probe));
    try (Socket cache = accept()) {
      readUntil(cache, askFrameEnd("0"));
      write(cache, responseFrame("0", "NOENT"));
      await(up);
      onEventLoop(
          () -> {
            List<IoBuffer> body = List.of(IoBuffer.wrap(new byte[24 * 1024 * 1024]));
            Runnable cancelFirst =
                connectionPool.send("1", () -> "-", body, 24 * 1024 * 1024, large);
            Runnable cancelSecond = send("2", small);
            cancelFirst.run();
            cancelSecond.run();
            return null;
          });
      for (int i = 0; i < 100 && !bufferPool.hasCapacity(); i++) {
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
        // The connection was reset, as it must be.
      }
      assertThat(tail).doesNotContain(askFrameEnd("2"));
    }
  }

  /** Well-formed frames without end. */
  @Test
  void aConnectionWithOnlyUnsolicitedResponsesIsClosed() throws Exception {
    RecordingHandler open = new RecordingHandler();
    onEventLoop(() -> send("1", open));
    try (Socket cache = accept()) {
      readUntil(cache, askFrameEnd("1"));
      write(cache, responseFrame("9", "NOENT").repeat(700));
      assertThat(await(open.failure)).isEqualTo("PROTOCOL_ERROR true");
    }
  }

  /**
   * A response that trickles in holds up all responses behind it, though its request was cancelled.
   */
  @Test
  void anUnwantedResponseIsCutOffAfterItsTimeLimit() throws Exception {
    RecordingHandler cancelled = new RecordingHandler();
    RecordingHandler behind = new RecordingHandler();
    Runnable[] cancel = new Runnable[1];
    onEventLoop(
        () -> {
          cancel[0] = send("1", cancelled);
          return send("2", behind);
        });
    try (Socket cache = accept()) {
      readUntil(cache, askFrameEnd("2"));
      write(cache, "*4\r\n$1\r\n1\r\n$3\r\nACK\r\n$1\r\n-\r\n$200000\r\n");
      await(cancelled.status);
      onEventLoop(
          () -> {
            cancel[0].run();
            return null;
          });
      List<IOException> cut = new ArrayList<>();
      for (int i = 0; i < 1000 && !behind.failure.isDone(); i++) {
        try {
          write(cache, "x");
        } catch (IOException e) {
          cut.add(e);
        }
        Thread.sleep(5);
      }
      assertThat(behind.failure).isDone();
      assertThat(await(behind.failure)).isEqualTo("STALLED true");
    }
  }
}
