package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.protocol.CacheStatus;

/** Requests on the connections to a scripted cache on real sockets. */
@Timeout(30)
class CacheConnectionPoolTest extends CacheConnectionPoolFixture {

  /**
   * A connection may be established a second after the decision, so the time left must be current.
   */
  @Test
  void fieldsAreEvaluatedWhenTheRequestIsWritten() throws Exception {
    String[] fields = {"ttl=1500"};
    onEventLoop(
        () -> {
          connectionPool.send("1", () -> fields[0], List.of(), 0, new RecordingResponseHandler());
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
    RecordingResponseHandler unwanted = new RecordingResponseHandler();
    unwanted.wanted = false;
    onEventLoop(
        () -> {
          send("1", unwanted);
          unwanted.afterwards = send("2", new RecordingResponseHandler());
          send("3", new RecordingResponseHandler());
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
    RecordingResponseHandler first = new RecordingResponseHandler();
    RecordingResponseHandler second = new RecordingResponseHandler();
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
    RecordingResponseHandler first = new RecordingResponseHandler();
    RecordingResponseHandler second = new RecordingResponseHandler();
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
    RecordingResponseHandler sane = new RecordingResponseHandler();
    sane.afterwards = () -> send("1", new RecordingResponseHandler());
    onEventLoop(() -> send("1", sane));
    try (Socket cache = accept()) {
      readUntil(cache, askFrameEnd("1"));
      write(cache, responseFrame("1", "NOENT"));
      readUntil(cache, askFrameEnd("1"));
      RecordingResponseHandler after = new RecordingResponseHandler();
      after.afterwards = () -> send("2", new RecordingResponseHandler());
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
    RecordingResponseHandler large = new RecordingResponseHandler();
    RecordingResponseHandler small = new RecordingResponseHandler();
    CompletableFuture<Void> up = new CompletableFuture<>();
    RecordingResponseHandler probe = new RecordingResponseHandler();
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
    RecordingResponseHandler open = new RecordingResponseHandler();
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
    RecordingResponseHandler cancelled = new RecordingResponseHandler();
    RecordingResponseHandler behind = new RecordingResponseHandler();
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
      for (int i = 0; i < 1000 && !behind.failure.isDone(); i++) {
        try {
          write(cache, "x");
        } catch (IOException e) {
          // The connection was closed, as it must be.
        }
        Thread.sleep(5);
      }
      assertThat(behind.failure).isDone();
      assertThat(await(behind.failure)).isEqualTo("STALLED true");
    }
  }
}
