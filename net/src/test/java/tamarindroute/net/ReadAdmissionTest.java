package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reads from many clients at once. */
@Timeout(30)
class ReadAdmissionTest {

  private static final int CLIENTS = 200;

  /** Three full reads, which the sockets hold while nobody reads them. */
  private static final int BYTES_EACH = 3 * BufferPool.BUFFER_BYTES;

  private static final byte FLOOD = 1;
  private static final byte SINGLE = 2;

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();

  /** 256 buffers, with capacity while fewer than 192 of them are in use. */
  private final BufferPool bufferPool = new BufferPool(16L * 1024 * 1024);

  private final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 1024);
  private final List<Socket> sockets = new ArrayList<>();
  private final AtomicLong receivedBytes = new AtomicLong();
  private final CountDownLatch singleReceived = new CountDownLatch(1);
  private volatile boolean ended;
  private InetSocketAddress address;

  @BeforeEach
  void listen() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    transport.listen(
        address,
        connection ->
            new ConnectionHandler() {
              @Override
              public void onReceived(ByteBuffer bytes) {
                receivedBytes.addAndGet(bytes.remaining());
                if (bytes.get() == SINGLE) {
                  singleReceived.countDown();
                }
                bytes.position(bytes.limit());
              }

              @Override
              public void onClosed(CloseReason closeReason) {}
            });
  }

  @AfterEach
  void end() throws IOException {
    ended = true;
    transport.shutDown();
    for (Socket socket : sockets) {
      socket.close();
    }
    scheduler.end();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.connect(address, 2000);
    sockets.add(socket);
    return socket;
  }

  /** Guards against a heap that is filled by reads which the event loop is too slow for. */
  @Test
  void manyClientsAtOnceTakeFewBuffersWhileTheEventLoopIsBusy() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    scheduler.execute(() -> awaitQuietly(released));
    for (int i = 0; i < CLIENTS; i++) {
      connect().getOutputStream().write(new byte[BYTES_EACH]);
    }
    for (int i = 0; i < 100; i++) {
      assertThat(bufferPool.hasCapacity()).isTrue();
      TimeUnit.MILLISECONDS.sleep(5);
    }
    released.countDown();
    for (int i = 0; i < 1000 && receivedBytes.get() < (long) CLIENTS * BYTES_EACH; i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(receivedBytes.get()).isEqualTo((long) CLIENTS * BYTES_EACH);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against clients that are never read since others always have bytes to read. */
  @Test
  void clientsThatSendWithoutEndStarveNoOther() throws Exception {
    byte[] flood = new byte[BYTES_EACH];
    Arrays.fill(flood, FLOOD);
    for (int i = 0; i < 30; i++) {
      Socket socket = connect();
      Thread sender = new Thread(() -> sendWithoutEnd(socket, flood));
      sender.setDaemon(true);
      sender.start();
    }
    while (receivedBytes.get() < 4L * 30 * BYTES_EACH) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    for (int i = 0; i < 10; i++) {
      connect().getOutputStream().write(SINGLE);
    }
    assertThat(singleReceived.await(2, TimeUnit.SECONDS)).isTrue();
  }

  private void sendWithoutEnd(Socket socket, byte[] bytes) {
    try {
      while (!ended) {
        socket.getOutputStream().write(bytes);
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }
}
