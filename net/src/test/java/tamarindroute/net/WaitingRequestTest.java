package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tamarindroute.protocol.CacheResponse;

/** Requests that wait for their connection to be established. */
class WaitingRequestTest {

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();
  private final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
  private final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 1024);

  @AfterEach
  void end() {
    transport.shutDown();
    scheduler.end();
  }

  /** The address may belong to another cache when the connection is established. */
  @Test
  void aRequestWaitingForAConnectionToARemovedCacheIsNotSent() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      CacheConnectionPool connectionPool =
          new CacheConnectionPool(
              transport,
              scheduler,
              "s",
              new InetSocketAddress("127.0.0.1", server.getLocalPort()),
              new CacheConnectionPool.Limits(4, 100, Duration.ofSeconds(2), Duration.ZERO));
      CompletableFuture<Boolean> written = new CompletableFuture<>();
      scheduler
          .thread
          .submit(
              () -> {
                connectionPool.send(
                    "1",
                    () -> "-",
                    List.of(),
                    0,
                    waiting(true, (closeReason, whole) -> written.complete(whole)));
                connectionPool.shutDown();
              })
          .get();
      assertThat(written.get(2, TimeUnit.SECONDS)).isFalse();
      assertThat(server.accept().getInputStream().read()).isEqualTo(-1);
    }
  }

  /**
   * A drain announced while the connection is established applies to the requests that wait for it.
   */
  @Test
  void aRequestNoLongerWantedWhenItsConnectionOpensIsNotSent() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      CacheConnectionPool connectionPool =
          new CacheConnectionPool(
              transport,
              scheduler,
              "s",
              new InetSocketAddress("127.0.0.1", server.getLocalPort()),
              new CacheConnectionPool.Limits(1, 100, Duration.ofSeconds(2), Duration.ZERO));
      CompletableFuture<CloseReason> unwantedReason = new CompletableFuture<>();
      scheduler
          .thread
          .submit(
              () -> {
                connectionPool.send(
                    "1",
                    () -> "-",
                    List.of(),
                    0,
                    waiting(false, (closeReason, whole) -> unwantedReason.complete(closeReason)));
                connectionPool.send(
                    "2", () -> "-", List.of(), 0, waiting(true, (closeReason, whole) -> {}));
              })
          .get();
      assertThat(unwantedReason.get(2, TimeUnit.SECONDS)).isEqualTo(CloseReason.NO_LONGER_WANTED);
      try (Socket cache = server.accept()) {
        cache.setSoTimeout(300);
        byte[] received = new byte[1000];
        int length = cache.getInputStream().read(received);
        assertThat(new String(received, 0, length, StandardCharsets.US_ASCII))
            .startsWith("*4\r\n$3\r\nASK\r\n$1\r\n2\r\n")
            .doesNotContain("$1\r\n1\r\n");
      }
    }
  }

  private static ResponseHandler waiting(boolean wanted, BiConsumer<CloseReason, Boolean> end) {
    return new ResponseHandler() {
      @Override
      public boolean isStillWanted() {
        return wanted;
      }

      @Override
      public void onResponse(CacheResponse response, int bodyLength) {}

      @Override
      public void onBody(ByteBuffer part, Connection from) {}

      @Override
      public void onComplete() {}

      @Override
      public void onFailure(CloseReason closeReason, boolean whole) {
        end.accept(closeReason, whole);
      }
    };
  }
}
