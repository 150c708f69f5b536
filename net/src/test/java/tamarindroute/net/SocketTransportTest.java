package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tamarindroute.protocol.CacheResponse;

/** Connections through MINA, which has threads and one buffer allocator for the whole process. */
class SocketTransportTest {

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();
  private final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
  private final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 1024);

  @AfterEach
  void end() {
    transport.shutDown();
    scheduler.end();
  }

  /** Counts established connections. */
  private record CountingHandler(CountDownLatch up) implements ConnectionHandler {

    @Override
    public void onOpened() {
      up.countDown();
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      bytes.position(bytes.limit());
    }

    @Override
    public void onClosed(CloseReason closeReason) {}
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

  /**
   * MINA changes its interest in reads and writes in two steps; two threads at once would make the
   * connection hang.
   */
  @Test
  void suspendingAndResumingReadsDuringWritesNeverStalls() throws Exception {
    int turns = 60_000;
    try (ServerSocket server = new ServerSocket(0, 200)) {
      CountDownLatch remainingBytes = new CountDownLatch(turns);
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      Connection[] connection = new Connection[1];
      scheduler
          .thread
          .submit(
              () ->
                  connection[0] =
                      transport.connect(
                          address,
                          new ConnectionHandler() {
                            @Override
                            public void onOpened() {
                              connection[0].write(new byte[4]);
                            }

                            @Override
                            public void onReceived(ByteBuffer bytes) {
                              for (; bytes.hasRemaining(); bytes.get()) {
                                remainingBytes.countDown();
                              }
                              connection[0].write(new byte[4]);
                              connection[0].pause();
                              connection[0].write(new byte[4]);
                              connection[0].resume();
                            }

                            @Override
                            public void onClosed(CloseReason closeReason) {}
                          }))
          .get();
      try (Socket socket = server.accept()) {
        byte[] echo = new byte[1024];
        for (int length = socket.getInputStream().read(echo);
            length > 0 && remainingBytes.getCount() > 0;
            length = socket.getInputStream().read(echo)) {
          socket.getOutputStream().write(echo, 0, Math.min(length, 8));
          socket.setSoTimeout(2000);
        }
      } catch (SocketTimeoutException e) {
        // Nothing more comes; the count shows that.
      }
      assertThat(remainingBytes.getCount()).isZero();
    }
  }

  /** MINA drops queued buffers without an event when a connection ends. */
  @Test
  void buffersNeverSentAreReturnedToThePool() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      CountDownLatch up = new CountDownLatch(1);
      Connection connection =
          scheduler.thread.submit(() -> transport.connect(address, new CountingHandler(up))).get();
      try (Socket deaf = server.accept()) {
        assertThat(up.await(2, TimeUnit.SECONDS)).isTrue();
        while (bufferPool.hasCapacity()) {
          scheduler
              .thread
              .submit(
                  () -> {
                    ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
                    bufferPool.copy(ByteBuffer.wrap(new byte[240_000]), frame);
                    connection.write(frame);
                  })
              .get();
        }
        deaf.setSoLinger(true, 0);
      }
      for (int i = 0; i < 200 && !bufferPool.hasCapacity(); i++) {
        Thread.sleep(10);
      }
      assertThat(bufferPool.hasCapacity()).isTrue();
    }
  }

  /** MINA does not free the buffer of such a read; a few hundred of them would exhaust the pool. */
  @Test
  void theBufferOfAReadEndingInAResetIsReturnedToThePool() throws Exception {
    BufferPool few = new BufferPool(1024 * 1024);
    SocketTransport alone = new SocketTransport(scheduler, few, 1024);
    try (ServerSocket server = new ServerSocket(0, 200)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      for (int i = 0; i < 40; i++) {
        CompletableFuture<CloseReason> end = new CompletableFuture<>();
        scheduler
            .thread
            .submit(
                () ->
                    alone.connect(
                        address,
                        new ConnectionHandler() {
                          @Override
                          public void onReceived(ByteBuffer bytes) {
                            bytes.position(bytes.limit());
                          }

                          @Override
                          public void onClosed(CloseReason closeReason) {
                            end.complete(closeReason);
                          }
                        }))
            .get();
        try (Socket cache = server.accept()) {
          cache.setSoLinger(true, 0);
        }
        assertThat(end.get(2, TimeUnit.SECONDS)).isEqualTo(CloseReason.RESET);
      }
      assertThat(few.hasCapacity()).isTrue();
    } finally {
      alone.shutDown();
    }
  }

  @Test
  void connectionsOpenAfterOthersWereAbandonedWhileConnecting() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      for (int round = 0; round < 20; round++) {
        CountDownLatch up = new CountDownLatch(3);
        scheduler
            .thread
            .submit(
                () -> {
                  for (int i = 0; i < 3; i++) {
                    transport
                        .connect(address, new CountingHandler(new CountDownLatch(1)))
                        .close(CloseReason.CLOSED_LOCALLY, false);
                    transport.connect(address, new CountingHandler(up));
                  }
                })
            .get();
        assertThat(up.await(2, TimeUnit.SECONDS)).as("round " + round).isTrue();
      }
    }
  }

  /**
   * A connect that hangs keeps its socket after it was abandoned, and must count towards the limit.
   */
  @Test
  void abandonedConnectsCountUntilTheirSocketsAreClosed() throws Exception {
    SocketTransport few = new SocketTransport(scheduler, bufferPool, 80);
    List<Socket> filling = new ArrayList<>();
    try (ServerSocket full = new ServerSocket(0, 1);
        ServerSocket there = new ServerSocket(0, 200)) {
      InetSocketAddress hangs = new InetSocketAddress("127.0.0.1", full.getLocalPort());
      assertThatThrownBy(
              () -> {
                while (true) {
                  Socket one = new Socket();
                  filling.add(one);
                  one.connect(hangs, 200);
                }
              })
          .isInstanceOf(SocketTimeoutException.class);
      int given =
          scheduler
              .thread
              .submit(
                  () -> {
                    int dials = 0;
                    for (; few.canConnect() && dials < 500; dials++) {
                      few.connect(hangs, new CountingHandler(new CountDownLatch(1)))
                          .close(CloseReason.TIMED_OUT, false);
                    }
                    return dials;
                  })
              .get();
      assertThat(given).as("descriptors of each side").isEqualTo(8);
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", there.getLocalPort());
      CountDownLatch up = new CountDownLatch(1);
      // MINA gives them up after 3 s, which it checks each second.
      for (int i = 0; i < 700 && !scheduler.thread.submit(few::canConnect).get(); i++) {
        Thread.sleep(10);
      }
      scheduler.thread.submit(() -> few.connect(address, new CountingHandler(up))).get();
      assertThat(up.await(2, TimeUnit.SECONDS)).isTrue();
    } finally {
      for (Socket one : filling) {
        one.close();
      }
      few.shutDown();
    }
  }
}
