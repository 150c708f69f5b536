package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * How a client's connection is closed: what was written arrives, and nothing that the client does
 * holds it long.
 */
@Timeout(30)
class LingerTest {

  /** More than both machines' buffers hold. */
  private static final int LARGE = 12 * 1024 * 1024;

  private final OneThread owner = new OneThread();
  private final Sockets sockets = new Sockets(owner, new Pool(64L * 1024 * 1024), 1024);
  private InetSocketAddress address;
  private volatile BiConsumer<Connection, ByteBuffer> work;

  @BeforeEach
  void listen() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    sockets.listen(
        address,
        connection ->
            new Peer() {
              @Override
              public void received(ByteBuffer bytes) {
                work.accept(connection, bytes);
                bytes.position(bytes.limit());
              }

              @Override
              public void ended(Ending ending) {}
            });
  }

  @AfterEach
  void end() {
    sockets.shutDown();
    owner.end();
  }

  private Socket client() throws IOException {
    Socket client = new Socket(address.getAddress(), address.getPort());
    client.setSoTimeout(5_000);
    return client;
  }

  private CompletableFuture<Void> noClients() {
    CompletableFuture<Void> none = new CompletableFuture<>();
    owner.handOver(() -> sockets.whenNoClients(() -> none.complete(null)));
    return none;
  }

  /**
   * The large answer can't have left when the rest comes; a close over those unread bytes would
   * reset it.
   */
  @Test
  void whatWasWrittenArrivesWholeThoughTheClientSendsOn() throws Exception {
    work =
        (connection, bytes) -> {
          connection.write(new byte[LARGE]);
          connection.close(Ending.LET_GO, true);
        };
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      InputStream in = client.getInputStream();
      assertThat(in.read()).isZero();
      client.getOutputStream().write(new byte[1024 * 1024]);
      assertThat(in.readNBytes(LARGE - 1)).hasSize(LARGE - 1);
      // A request that crossed the close, still on this side's word that it may send.
      client.getOutputStream().write(new byte[100_000]);
      assertThat(in.read()).isEqualTo(-1);
      client.shutdownOutput();
      noClients().get(5, TimeUnit.SECONDS);
    }
  }

  @Test
  void aClientThatNeverClosesIsCutSoon() throws Exception {
    work = (connection, bytes) -> connection.close(Ending.LET_GO, true);
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      assertThat(client.getInputStream().read()).isEqualTo(-1);
      noClients().get(2, TimeUnit.SECONDS);
    }
  }

  @Test
  void aClientThatFloodsIsCutSoon() throws Exception {
    work = (connection, bytes) -> connection.close(Ending.LET_GO, true);
    try (Socket client = client()) {
      assertThatThrownBy(
              () -> {
                for (int i = 0; i < 6000; i++) {
                  client.getOutputStream().write(new byte[100_000]);
                }
              })
          .isInstanceOf(SocketException.class);
      noClients().get(2, TimeUnit.SECONDS);
    }
  }

  /**
   * One that reads nothing keeps what was written from leaving: the connection goes all the same.
   */
  @Test
  void aClientThatReadsNothingIsCutInTheTimeOfALongestAnswer() throws Exception {
    work =
        (connection, bytes) -> {
          connection.write(new byte[LARGE]);
          connection.close(Ending.LET_GO, true);
        };
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      client.getInputStream().read();
      noClients().get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * Evicted connections hold descriptors: past a few, the first of them goes at once, not after its
   * 200 ms.
   */
  @Test
  void fewLingerAtOnce() throws Exception {
    List<Connection> closed = new ArrayList<>();
    work = (connection, bytes) -> closed.add(connection);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      clients.add(client());
      clients.get(i).getOutputStream().write(1);
    }
    while (owner.thread.submit(closed::size).get() < 40) {
      Thread.onSpinWait();
    }
    long lingering =
        owner
            .thread
            .submit(
                () -> {
                  closed.forEach(connection -> connection.close(Ending.LET_GO, true));
                  return closed.stream()
                      .filter(connection -> !connection.session().isClosing())
                      .count();
                })
            .get();
    assertThat(lingering).isEqualTo(8);
    for (Socket client : clients) {
      client.close();
    }
  }

  /** A close resets what the system still holds back of small writes: nothing may be held back. */
  @Test
  void acceptedConnectionsHoldNothingBack() throws Exception {
    CompletableFuture<Boolean> noDelay = new CompletableFuture<>();
    work =
        (connection, bytes) ->
            noDelay.complete(
                ((SocketSessionConfig) connection.session().getConfig()).isTcpNoDelay());
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      assertThat(noDelay.get(5, TimeUnit.SECONDS)).isTrue();
    }
  }
}
