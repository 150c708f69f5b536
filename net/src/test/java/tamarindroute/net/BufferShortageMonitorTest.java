package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that hold the buffers while others wait for them. */
@Timeout(30)
class BufferShortageMonitorTest {

  /** More than the socket buffers of both sides hold and the reading client reads. */
  private static final int UNREAD_BYTES = 48 * 1024 * 1024;

  private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

  /** Each 4 ms: six megabytes a second at most. */
  private static final int READ_BYTES = 24 * 1024;

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();
  private final BufferPool bufferPool = new BufferPool(16L * 1024 * 1024);
  private final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 1024);
  private final List<Connection> closed = new CopyOnWriteArrayList<>();
  private final List<CompletableFuture<Connection>> opened =
      List.of(new CompletableFuture<>(), new CompletableFuture<>());
  private InetSocketAddress address;

  @BeforeEach
  void listen() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    transport.listen(address, this::newHandler);
  }

  private ConnectionHandler newHandler(Connection connection) {
    return new ConnectionHandler() {
      @Override
      public void onOpened() {
        opened.get(opened.get(0).isDone() ? 1 : 0).complete(connection);
      }

      @Override
      public void onReceived(ByteBuffer bytes) {
        bytes.position(bytes.limit());
      }

      @Override
      public void onClosed(CloseReason closeReason) {
        closed.add(connection);
      }
    };
  }

  @AfterEach
  void end() {
    transport.shutDown();
    scheduler.end();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(address, 2000);
    return socket;
  }

  private void fill(Connection connection) {
    ArrayDeque<IoBuffer> bytes = new ArrayDeque<>();
    bufferPool.copy(ByteBuffer.wrap(new byte[UNREAD_BYTES]), bytes);
    connection.write(bytes);
  }

  /** Guards against the loss of requests of a client that reads, only more slowly than is sent. */
  @Test
  void aClientThatReadsIsKeptAndOneThatDoesNotIsClosed() throws Exception {
    try (Socket reading = connect()) {
      Connection kept = opened.get(0).get(5, TimeUnit.SECONDS);
      try (Socket stalled = connect()) {
        Connection lost = opened.get(1).get(5, TimeUnit.SECONDS);
        scheduler.execute(
            () -> {
              fill(kept);
              fill(lost);
              bufferPool.reportShortage();
            });
        readSlowlyUntil(reading, lost);
        assertThat(closed).containsExactly(lost);
        assertThat(kept.unsentBytes()).isPositive();
        assertThat(stalled.isClosed()).isFalse();
      }
    }
  }

  /** Reads steadily until the other connection is closed, and for two seconds more. */
  private void readSlowlyUntil(Socket socket, Connection lost) throws Exception {
    InputStream in = socket.getInputStream();
    for (int i = 0; i < 1500 && !closed.contains(lost); i++) {
      readSome(in);
    }
    for (int i = 0; i < 500; i++) {
      readSome(in);
    }
  }

  private static void readSome(InputStream in) throws IOException, InterruptedException {
    in.readNBytes(READ_BYTES);
    TimeUnit.MILLISECONDS.sleep(4);
  }
}
