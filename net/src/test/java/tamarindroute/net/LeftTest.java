package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Timeout;

/** What has left is counted right, whoever has the written buffer next. */
@Timeout(30)
class LeftTest {

  /** Eight buffers are the pool's share, and fewer than six of them out are room. */
  private static final long MEMORY = 4L * 8 * Pool.SIZE;

  private static final int HELD = 5;

  private final OneThread owner = new OneThread();
  private final Pool pool = new Pool(MEMORY);
  private final Sockets sockets = new Sockets(owner, pool, 256);

  @AfterEach
  void end() {
    sockets.shutDown();
    owner.end();
  }

  /**
   * A buffer that was written is another's from the instant in which it is freed, on MINA's thread,
   * before MINA tells of the write. Counted by its limit then, a request that had run passed for
   * one that never left.
   */
  @RepeatedTest(10)
  void aBufferTakenAgainAtOnceDoesNotChangeWhatHasLeft() throws Exception {
    try (ServerSocket server = new ServerSocket(0)) {
      CompletableFuture<Connection> up = new CompletableFuture<>();
      CompletableFuture<Connection> made = new CompletableFuture<>();
      owner.handOver(
          () ->
              made.complete(
                  sockets.connect(
                      new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                      new Peer() {
                        @Override
                        public void opened() {
                          up.complete(made.join());
                        }

                        @Override
                        public void received(ByteBuffer bytes) {
                          bytes.position(bytes.limit());
                        }

                        @Override
                        public void ended(Ending ending) {}
                      })));
      try (Socket peer = server.accept()) {
        Connection connection = up.get(5, TimeUnit.SECONDS);
        CompletableFuture<Void> taken = new CompletableFuture<>();
        ConcurrentLinkedQueue<IoBuffer> others = new ConcurrentLinkedQueue<>();
        pool.whenRoom(
            () -> {
              // Whoever takes buffers next has limits of his own for them.
              for (int i = 0; i < HELD; i++) {
                others.add(pool.take().limit(0));
              }
              taken.complete(null);
            });
        List<IoBuffer> held = new ArrayList<>();
        owner.handOver(
            () -> {
              for (int i = 0; i < HELD; i++) {
                held.add(pool.take());
              }
              ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
              Connection.copy(ByteBuffer.wrap(new byte[100]), pool, frame);
              connection.write(frame);
            });
        taken.get(5, TimeUnit.SECONDS);
        assertThat(peer.getInputStream().readNBytes(100)).hasSize(100);
        // MINA tells of a write after it: the second one's is behind the first one's.
        owner.handOver(() -> connection.write(new byte[1]));
        assertThat(peer.getInputStream().read()).isZero();
        long end = System.nanoTime() + Duration.ofSeconds(2).toNanos();
        while (connection.waiting() > 0 && System.nanoTime() < end) {
          Thread.onSpinWait();
        }
        assertThat(connection.waiting()).isZero();
        assertThat(connection.hasLeft(connection.written())).isTrue();
      }
    }
  }
}
