package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that wait for their turn to be read behind some that do not use theirs. */
@Timeout(30)
class ReadTurnTest {

  /** So many reads may wait for the event loop with a pool of this size. */
  private static final int PLACES = 4;

  private static final long POOL_MEMORY_BYTES = 2L * 1024 * 1024;

  /** Has the connection closed behind a response that its client does not take. */
  private static final byte CLOSE = 1;

  private static final byte OTHER = 2;
  private static final byte LAST = 3;
  private static final int RESPONSE_BYTES = 12 * 1024 * 1024;

  /** Less than the 3 s for which a closed connection may go on sending. */
  private static final int LIMIT_MILLIS = 1000;

  private static final int DISCARD_MILLIS = 200;

  private final CountingScheduler scheduler = new CountingScheduler();
  private final SocketTransport transport =
      new SocketTransport(scheduler, new BufferPool(POOL_MEMORY_BYTES), 1024);
  private final List<Socket> sockets = new ArrayList<>();
  private final CountDownLatch lastReceived = new CountDownLatch(1);
  private InetSocketAddress address;

  /** Counts the tasks of MINA's thread, and can hold that thread at one. */
  private static final class CountingScheduler extends SingleThreadScheduler {

    private final Semaphore tasks = new Semaphore(0);
    private final CountDownLatch selectorHeld = new CountDownLatch(1);
    private volatile CountDownLatch selectorHold = new CountDownLatch(0);

    @Override
    public void execute(Runnable task) {
      boolean onSelectorThread = Thread.currentThread().getName().contains("SelectorProcessor");
      if (onSelectorThread && selectorHold.getCount() > 0) {
        selectorHeld.countDown();
        await(selectorHold);
      }
      super.execute(task);
      tasks.release();
    }

    void awaitTask() throws InterruptedException {
      assertThat(tasks.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
    }

    /** Holds the event loop, behind all tasks that it was given so far. */
    CountDownLatch hold() {
      CountDownLatch hold = new CountDownLatch(1);
      thread.execute(() -> await(hold));
      return hold;
    }

    /** Returns when the event loop has run all tasks that it was given so far. */
    void awaitDone() throws Exception {
      thread.submit(() -> {}).get(5, TimeUnit.SECONDS);
    }

    private static void await(CountDownLatch latch) {
      try {
        assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @BeforeEach
  void listen() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    transport.listen(address, this::handler);
  }

  private ConnectionHandler handler(Connection connection) {
    return new ConnectionHandler() {
      @Override
      public void onReceived(ByteBuffer bytes) {
        byte first = bytes.get();
        bytes.position(bytes.limit());
        if (first == CLOSE) {
          connection.write(new byte[RESPONSE_BYTES]);
          connection.close(CloseReason.CLOSED_LOCALLY, true);
        } else if (first == LAST) {
          lastReceived.countDown();
        }
      }

      @Override
      public void onClosed(CloseReason closeReason) {}
    };
  }

  @AfterEach
  void end() throws IOException {
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

  private List<Socket> connect(int count) throws Exception {
    List<Socket> connected = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      connected.add(connect());
      scheduler.awaitTask();
    }
    return connected;
  }

  /** Sends a byte from each, one after another; each is read or queued before the next is sent. */
  private void sendFromEach(List<Socket> clients, byte sent) throws Exception {
    for (Socket client : clients) {
      client.getOutputStream().write(sent);
      scheduler.awaitTask();
    }
  }

  private void assertLastIsReceived() throws Exception {
    assertThat(lastReceived.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  /** Lets the event loop grant turns, which MINA's thread uses only once no more are granted. */
  private void grantBeforeUse(CountDownLatch eventLoopHold) throws Exception {
    scheduler.selectorHold = new CountDownLatch(1);
    connect();
    CountingScheduler.await(scheduler.selectorHeld);
    eventLoopHold.countDown();
    scheduler.awaitDone();
    scheduler.selectorHold.countDown();
  }

  /** Guards against clients that are not read behind some whose turn finds the end of the input. */
  @Test
  void aTurnThatFindsTheEndOfTheInputIsPassedOn() throws Exception {
    List<Socket> readers = connect(PLACES);
    List<Socket> ending = connect(PLACES + 1);
    List<Socket> last = connect(1);
    scheduler.awaitDone();
    CountDownLatch hold = scheduler.hold();
    sendFromEach(readers, OTHER);
    for (Socket client : ending) {
      client.shutdownOutput();
      scheduler.awaitTask();
    }
    sendFromEach(last, LAST);
    grantBeforeUse(hold);
    assertLastIsReceived();
  }

  /** Guards against clients that are not read behind some whose bytes are discarded. */
  @Test
  void aTurnWhoseBytesAreDiscardedIsPassedOn() throws Exception {
    List<Socket> closing = connect(PLACES);
    List<Socket> last = connect(1);
    scheduler.awaitDone();
    CountDownLatch hold = scheduler.hold();
    sendFromEach(closing, CLOSE);
    sendFromEach(closing, OTHER);
    sendFromEach(last, LAST);
    grantBeforeUse(hold);
    assertLastIsReceived();
  }

  /** Guards against clients that are not read behind some whose bytes were discarded before. */
  @Test
  void aConnectionWhoseBytesWereDiscardedGetsNoTurn() throws Exception {
    List<Socket> closing = connect(PLACES);
    List<Socket> last = connect(1);
    scheduler.awaitDone();
    CountDownLatch beforeClose = scheduler.hold();
    sendFromEach(closing, CLOSE);
    CountDownLatch beforeTurns = scheduler.hold();
    sendFromEach(closing, OTHER);
    sendFromEach(last, LAST);
    beforeClose.countDown();
    TimeUnit.MILLISECONDS.sleep(DISCARD_MILLIS);
    beforeTurns.countDown();
    assertLastIsReceived();
  }
}
