package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Timeout;

/** The count of sent bytes when written buffers are reused. */
@Timeout(30)
class SentBytesTest {

  /** Eight buffers, with capacity while fewer than six of them are in use. */
  private static final long MEMORY = 4L * 8 * BufferPool.BUFFER_BYTES;

  private static final int BUFFERS_HELD = 5;

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();
  private final BufferPool bufferPool = new BufferPool(MEMORY);
  private final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 256);

  /** Keeps the buffers in use to the end of the test. */
  @SuppressWarnings("ModifiedButNotUsed")
  private final Queue<IoBuffer> heldBuffers = new ConcurrentLinkedQueue<>();

  @AfterEach
  void end() {
    transport.shutDown();
    scheduler.end();
  }

  /**
   * A buffer may be reused, with another limit, from when MINA's thread frees it, which is before
   * MINA reports the write. A count by that limit would make an executed request look unsent.
   */
  @RepeatedTest(10)
  void aBufferReusedAtOnceDoesNotChangeTheSentByteCount() throws Exception {
    try (ServerSocket server = new ServerSocket(0)) {
      CompletableFuture<Connection> opened = connect(server);
      try (Socket peer = server.accept()) {
        Connection connection = opened.get(5, TimeUnit.SECONDS);
        CompletableFuture<Void> reacquired = reacquireFreedBuffers();
        scheduler.execute(() -> writeWithLastBuffers(connection));
        reacquired.get(5, TimeUnit.SECONDS);
        assertThat(peer.getInputStream().readNBytes(100)).hasSize(100);
        // MINA reports writes in order: the first one's report precedes this write.
        scheduler.execute(() -> connection.write(new byte[1]));
        assertThat(peer.getInputStream().read()).isZero();
        long end = System.nanoTime() + Duration.ofSeconds(2).toNanos();
        while (connection.unsentBytes() > 0 && System.nanoTime() < end) {
          Thread.onSpinWait();
        }
        assertThat(connection.unsentBytes()).isZero();
        assertThat(connection.isSent(connection.bytesWritten())).isTrue();
      }
    }
  }

  private CompletableFuture<Connection> connect(ServerSocket server) {
    CompletableFuture<Connection> opened = new CompletableFuture<>();
    CompletableFuture<Connection> made = new CompletableFuture<>();
    ConnectionHandler handler =
        new ConnectionHandler() {
          @Override
          public void onOpened() {
            opened.complete(made.join());
          }

          @Override
          public void onReceived(ByteBuffer bytes) {
            bytes.position(bytes.limit());
          }

          @Override
          public void onClosed(CloseReason closeReason) {}
        };
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
    scheduler.execute(() -> made.complete(transport.connect(address, handler)));
    return opened;
  }

  /** Takes buffers as soon as there is capacity again; the next user sets limits of its own. */
  private CompletableFuture<Void> reacquireFreedBuffers() {
    CompletableFuture<Void> reacquired = new CompletableFuture<>();
    bufferPool.onCapacityAvailable(
        () -> {
          for (int i = 0; i < BUFFERS_HELD; i++) {
            heldBuffers.add(bufferPool.acquire().limit(0));
          }
          reacquired.complete(null);
        });
    return reacquired;
  }

  private void writeWithLastBuffers(Connection connection) {
    for (int i = 0; i < BUFFERS_HELD; i++) {
      heldBuffers.add(bufferPool.acquire());
    }
    ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
    // As if more followed, so that the bytes get a full buffer, which alone is reused.
    bufferPool.copy(ByteBuffer.wrap(new byte[100]), frame, BufferPool.BUFFER_BYTES);
    connection.write(frame);
  }
}
