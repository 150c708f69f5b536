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
import tamarindroute.protocol.Fields;

/** Connecting through MINA, which keeps threads and one allocator for the whole process. */
class ConnectTest {

  private final OneThread owner = new OneThread();
  private final Pool pool = new Pool(64L * 1024 * 1024);
  private final Sockets sockets = new Sockets(owner, pool, 1024);

  @AfterEach
  void end() {
    sockets.shutDown();
    owner.end();
  }

  /**
   * Counts what comes up; a connection given up while it was coming up must not cost a later one.
   */
  private record Counting(CountDownLatch up) implements Peer {

    @Override
    public void opened() {
      up.countDown();
    }

    @Override
    public void received(ByteBuffer bytes) {
      bytes.position(bytes.limit());
    }

    @Override
    public void ended(Ending ending) {}
  }

  /**
   * The address of a cache that is gone may be another's by the time that the connection comes up.
   */
  @Test
  void whatWaitedForAConnectionToACacheThatIsGoneIsNotSent() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      CacheLine line =
          new CacheLine(
              sockets,
              owner,
              "s",
              new InetSocketAddress("127.0.0.1", server.getLocalPort()),
              new CacheLine.Limits(4, 100, Duration.ofSeconds(2), Duration.ZERO));
      CompletableFuture<Boolean> written = new CompletableFuture<>();
      owner
          .thread
          .submit(
              () -> {
                line.ask(
                    "1",
                    () -> "-",
                    List.of(),
                    0,
                    waiting(true, (ending, whole) -> written.complete(whole)));
                line.letGo();
              })
          .get();
      assertThat(written.get(2, TimeUnit.SECONDS)).isFalse();
      assertThat(server.accept().getInputStream().read()).isEqualTo(-1);
    }
  }

  /**
   * A drain told while the connection comes up binds what waits for it; nothing has run, and nobody
   * is to blame.
   */
  @Test
  void whatIsUnwantedByTheTimeThatItsConnectionIsUpIsNotSent() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      CacheLine line =
          new CacheLine(
              sockets,
              owner,
              "s",
              new InetSocketAddress("127.0.0.1", server.getLocalPort()),
              new CacheLine.Limits(1, 100, Duration.ofSeconds(2), Duration.ZERO));
      CompletableFuture<Ending> drained = new CompletableFuture<>();
      owner
          .thread
          .submit(
              () -> {
                line.ask(
                    "1",
                    () -> "-",
                    List.of(),
                    0,
                    waiting(false, (ending, whole) -> drained.complete(ending)));
                line.ask("2", () -> "-", List.of(), 0, waiting(true, (ending, whole) -> {}));
              })
          .get();
      assertThat(drained.get(2, TimeUnit.SECONDS)).isEqualTo(Ending.OVERTAKEN);
      try (Socket cache = server.accept()) {
        cache.setSoTimeout(300);
        byte[] came = new byte[1000];
        int some = cache.getInputStream().read(came);
        assertThat(new String(came, 0, some, StandardCharsets.US_ASCII))
            .startsWith("*4\r\n$3\r\nASK\r\n$1\r\n2\r\n")
            .doesNotContain("$1\r\n1\r\n");
      }
    }
  }

  private static Asked waiting(boolean wanted, BiConsumer<Ending, Boolean> end) {
    return new Asked() {
      @Override
      public boolean stillWanted() {
        return wanted;
      }

      @Override
      public void answered(String word, Fields fields, int length) {}

      @Override
      public void body(ByteBuffer part, Connection from) {}

      @Override
      public void whole() {}

      @Override
      public void ended(Ending ending, boolean whole) {
        end.accept(ending, whole);
      }
    };
  }

  /**
   * MINA sets what a connection waits for in two steps: two threads at once leave it deaf, or mute,
   * for good.
   */
  @Test
  void aConnectionWhoseReadsRestAndGoOnUnderWritesNeverStalls() throws Exception {
    int turns = 60_000;
    try (ServerSocket server = new ServerSocket(0, 200)) {
      CountDownLatch heard = new CountDownLatch(turns);
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      Connection[] connection = new Connection[1];
      owner
          .thread
          .submit(
              () ->
                  connection[0] =
                      sockets.connect(
                          address,
                          new Peer() {
                            @Override
                            public void opened() {
                              connection[0].write(new byte[4]);
                            }

                            @Override
                            public void received(ByteBuffer bytes) {
                              for (; bytes.hasRemaining(); bytes.get()) {
                                heard.countDown();
                              }
                              connection[0].write(new byte[4]);
                              connection[0].pause();
                              connection[0].write(new byte[4]);
                              connection[0].resume();
                            }

                            @Override
                            public void ended(Ending ending) {}
                          }))
          .get();
      try (Socket socket = server.accept()) {
        byte[] echo = new byte[1024];
        for (int some = socket.getInputStream().read(echo);
            some > 0 && heard.getCount() > 0;
            some = socket.getInputStream().read(echo)) {
          socket.getOutputStream().write(echo, 0, Math.min(some, 8));
          socket.setSoTimeout(2000);
        }
      } catch (SocketTimeoutException e) {
        // Nothing more comes: told by the count.
      }
      assertThat(heard.getCount()).isZero();
    }
  }

  /**
   * MINA lets what is queued go without a word when a connection ends; the pool must get it back.
   */
  @Test
  void buffersThatNeverLeftComeBackToThePool() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      CountDownLatch up = new CountDownLatch(1);
      Connection connection =
          owner.thread.submit(() -> sockets.connect(address, new Counting(up))).get();
      try (Socket deaf = server.accept()) {
        assertThat(up.await(2, TimeUnit.SECONDS)).isTrue();
        while (pool.hasRoom()) {
          owner
              .thread
              .submit(
                  () -> {
                    ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
                    Connection.copy(ByteBuffer.wrap(new byte[240_000]), pool, frame);
                    connection.write(frame);
                  })
              .get();
        }
        deaf.setSoLinger(true, 0);
      }
      for (int i = 0; i < 200 && !pool.hasRoom(); i++) {
        Thread.sleep(10);
      }
      assertThat(pool.hasRoom()).isTrue();
    }
  }

  /**
   * MINA keeps the buffer of a read that ends in a reset; after some hundreds the pool had no room
   * for good.
   */
  @Test
  void theBufferOfAReadThatEndsInAResetComesBackToThePool() throws Exception {
    Pool few = new Pool(1024 * 1024);
    Sockets alone = new Sockets(owner, few, 1024);
    try (ServerSocket server = new ServerSocket(0, 200)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      for (int i = 0; i < 40; i++) {
        CompletableFuture<Ending> end = new CompletableFuture<>();
        owner
            .thread
            .submit(
                () ->
                    alone.connect(
                        address,
                        new Peer() {
                          @Override
                          public void received(ByteBuffer bytes) {
                            bytes.position(bytes.limit());
                          }

                          @Override
                          public void ended(Ending ending) {
                            end.complete(ending);
                          }
                        }))
            .get();
        try (Socket cache = server.accept()) {
          cache.setSoLinger(true, 0);
        }
        assertThat(end.get(2, TimeUnit.SECONDS)).isEqualTo(Ending.RESET);
      }
      assertThat(few.hasRoom()).isTrue();
    } finally {
      alone.shutDown();
    }
  }

  @Test
  void connectionsComeUpAfterOthersWereGivenUpWhileComingUp() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 200)) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
      for (int round = 0; round < 20; round++) {
        CountDownLatch up = new CountDownLatch(3);
        owner
            .thread
            .submit(
                () -> {
                  for (int i = 0; i < 3; i++) {
                    sockets
                        .connect(address, new Counting(new CountDownLatch(1)))
                        .close(Ending.LET_GO, false);
                    sockets.connect(address, new Counting(up));
                  }
                })
            .get();
        assertThat(up.await(2, TimeUnit.SECONDS)).as("round " + round).isTrue();
      }
    }
  }

  /**
   * A dial that hangs keeps its socket after whoever wanted it has given it up; counted, it passes
   * no share.
   */
  @Test
  void dialsThatHangAndWereGivenUpCountUntilTheirSocketsAreClosed() throws Exception {
    Sockets few = new Sockets(owner, pool, 80);
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
          owner
              .thread
              .submit(
                  () -> {
                    int dials = 0;
                    for (; few.mayConnect() && dials < 500; dials++) {
                      few.connect(hangs, new Counting(new CountDownLatch(1)))
                          .close(Ending.NOT_UP_IN_TIME, false);
                    }
                    return dials;
                  })
              .get();
      assertThat(given).as("what the limit leaves to each side").isEqualTo(8);
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", there.getLocalPort());
      CountDownLatch up = new CountDownLatch(1);
      // MINA gives them up after 3 s and looks each second.
      for (int i = 0; i < 700 && !owner.thread.submit(few::mayConnect).get(); i++) {
        Thread.sleep(10);
      }
      owner.thread.submit(() -> few.connect(address, new Counting(up))).get();
      assertThat(up.await(2, TimeUnit.SECONDS)).isTrue();
    } finally {
      for (Socket one : filling) {
        one.close();
      }
      few.shutDown();
    }
  }
}
