package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.MalformedMessageException;

/** The bytes of the frames to a cache, and the decoding of its frames. */
@Timeout(30)
class CacheFrameFormatTest {

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();
  private final SocketTransport transport =
      new SocketTransport(scheduler, new BufferPool(64L * 1024 * 1024), 256);
  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

  @AfterEach
  void end() {
    transport.shutDown();
    scheduler.end();
  }

  private static String describe(CacheResponse response) {
    try {
      return response.status()
          + (response.isHealthy() ? " healthy " : " unhealthy ")
          + response.sourceWait().map(Duration::toString).orElse("none")
          + " "
          + response.loadReport().map(load -> "" + load.cpuUtilization()).orElse("none");
    } catch (MalformedMessageException e) {
      return e.getMessage();
    }
  }

  private ResponseHandler recording() {
    return new ResponseHandler() {
      @Override
      public void onResponse(CacheResponse response, int bodyLength) {
        received.add(describe(response) + " " + bodyLength);
      }

      @Override
      public void onBody(ByteBuffer part, Connection from) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        received.add(new String(bytes, StandardCharsets.US_ASCII));
      }

      @Override
      public void onComplete() {
        received.add("whole");
      }

      @Override
      public void onFailure(CloseReason closeReason, boolean written) {
        received.add(closeReason + " " + written);
      }
    };
  }

  private static void expect(Socket cache, String frame) throws IOException {
    assertThat(
            new String(
                cache.getInputStream().readNBytes(frame.length()), StandardCharsets.US_ASCII))
        .isEqualTo(frame);
  }

  private void expectReceived(String... all) throws InterruptedException {
    for (String one : all) {
      assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(one);
    }
  }

  private static void respond(Socket cache, String frame) throws IOException {
    cache.getOutputStream().write(frame.getBytes(StandardCharsets.US_ASCII));
    cache.getOutputStream().flush();
  }

  @Test
  void framesKeepTheirFormat() throws Exception {
    try (ServerSocket server = new ServerSocket(0)) {
      CacheConnectionPool connectionPool =
          new CacheConnectionPool(
              transport,
              scheduler,
              "s-1",
              new InetSocketAddress("127.0.0.1", server.getLocalPort()),
              new CacheConnectionPool.Limits(1, 100, Duration.ofSeconds(5), Duration.ZERO));
      IoBuffer body = IoBuffer.wrap("{\"key\":1}".getBytes(StandardCharsets.US_ASCII));
      scheduler.execute(
          () -> connectionPool.send("77.1", () -> "ttl=900,tok=t", List.of(body), 9, recording()));
      try (Socket cache = server.accept()) {
        cache.setSoTimeout(5_000);
        expect(
            cache,
            "*4\r\n$3\r\nASK\r\n$4\r\n77.1\r\n$13\r\nttl=900,tok=t\r\n$9\r\n{\"key\":1}\r\n");
        respond(cache, "*4\r\n$4\r\n77.1\r\n$3\r\nACK\r\n$7\r\nfirst=3\r\n$5\r\nhello\r\n");
        expectReceived("SERVED unhealthy PT0.003S none 5", "hello", "whole");
        scheduler.execute(() -> connectionPool.sendHealthCheck("p9", recording()));
        expect(cache, "*2\r\n$4\r\nINFO\r\n$2\r\np9\r\n");
        respond(
            cache, "*4\r\n$2\r\np9\r\n$5\r\nREADY\r\n$20\r\nrep=util:0.5;x:3,y=2\r\n$0\r\n\r\n");
        expectReceived("UNKNOWN healthy none 0.5 0", "whole");
        // The request that stays pending keeps the connection open, so that the cancellation is
        // sent.
        CompletableFuture<Runnable> cancel = new CompletableFuture<>();
        scheduler.execute(
            () -> {
              connectionPool.send("9", () -> "-", List.of(), 0, recording());
              cancel.complete(connectionPool.send("8", () -> "-", List.of(), 0, recording()));
            });
        expect(cache, "*4\r\n$3\r\nASK\r\n$1\r\n9\r\n$1\r\n-\r\n$0\r\n\r\n");
        expect(cache, "*4\r\n$3\r\nASK\r\n$1\r\n8\r\n$1\r\n-\r\n$0\r\n\r\n");
        scheduler.execute(cancel.get(5, TimeUnit.SECONDS));
        expect(cache, "*2\r\n$4\r\nQUIT\r\n$1\r\n8\r\n");
      }
    }
  }
}
