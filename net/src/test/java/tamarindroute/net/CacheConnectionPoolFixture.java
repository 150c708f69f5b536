package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A pool of connections to a scripted cache on real sockets, with an accelerated clock. */
abstract class CacheConnectionPoolFixture {

  final AcceleratedScheduler scheduler = new AcceleratedScheduler();
  final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
  final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 1024);
  ServerSocket server;
  CacheConnectionPool connectionPool;

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

  <T> T onEventLoop(Callable<T> task) throws Exception {
    return scheduler.thread.submit(task).get(5, TimeUnit.SECONDS);
  }

  Runnable send(String id, RecordingResponseHandler attempt) {
    return connectionPool.send(id, () -> "-", List.of(), 0, attempt);
  }

  static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(5, TimeUnit.SECONDS);
  }

  Socket accept() throws IOException {
    Socket cache = server.accept();
    cache.setSoTimeout(5000);
    return cache;
  }

  /** Reads until this text was received, and returns all that was received. */
  static String readUntil(Socket cache, String text) throws IOException {
    StringBuilder received = new StringBuilder();
    InputStream in = cache.getInputStream();
    while (received.indexOf(text) < 0) {
      int next = in.read();
      assertThat(next).as("more after " + received).isNotNegative();
      received.append((char) next);
    }
    return received.toString();
  }

  static String askFrameEnd(String id) {
    return "ASK\r\n$" + id.length() + "\r\n" + id + "\r\n";
  }

  static void write(Socket cache, String text) throws IOException {
    OutputStream out = cache.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  static String responseFrame(String id, String status) {
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
}
