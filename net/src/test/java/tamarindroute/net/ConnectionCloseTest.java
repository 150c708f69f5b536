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
 * The close of a client's connection: what was written arrives, and no client can keep the
 * connection open for long.
 */
@Timeout(30)
class ConnectionCloseTest {

  /** More than the socket buffers of both sides hold. */
  private static final int LARGE_RESPONSE_BYTES = 12 * 1024 * 1024;

  /** Enough to fill the socket buffers of both sides. */
  private static final int FILLING_MILLIS = 200;

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();
  private final SocketTransport transport =
      new SocketTransport(scheduler, new BufferPool(64L * 1024 * 1024), 1024);
  private InetSocketAddress address;
  private volatile BiConsumer<Connection, ByteBuffer> onBytes;

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
                onBytes.accept(connection, bytes);
                bytes.position(bytes.limit());
              }

              @Override
              public void onClosed(CloseReason closeReason) {}
            });
  }

  @AfterEach
  void end() {
    transport.shutDown();
    scheduler.end();
  }

  private Socket client() throws IOException {
    Socket client = new Socket(address.getAddress(), address.getPort());
    client.setSoTimeout(5_000);
    return client;
  }

  private CompletableFuture<Void> drained() {
    CompletableFuture<Void> none = new CompletableFuture<>();
    scheduler.execute(() -> transport.drainClients(() -> none.complete(null)));
    return none;
  }

  /**
   * The response cannot have been sent completely when more bytes come; a close with unread bytes
   * would reset the connection.
   */
  @Test
  void writtenBytesArriveThoughTheClientKeepsSending() throws Exception {
    onBytes =
        (connection, bytes) -> {
          connection.write(new byte[LARGE_RESPONSE_BYTES]);
          connection.close(CloseReason.CLOSED_LOCALLY, true);
        };
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      InputStream in = client.getInputStream();
      assertThat(in.read()).isZero();
      client.getOutputStream().write(new byte[1024 * 1024]);
      assertThat(in.readNBytes(LARGE_RESPONSE_BYTES - 1)).hasSize(LARGE_RESPONSE_BYTES - 1);
      // A request that crosses the close.
      client.getOutputStream().write(new byte[100_000]);
      assertThat(in.read()).isEqualTo(-1);
      client.shutdownOutput();
      drained().get(5, TimeUnit.SECONDS);
    }
  }

  /** Guards against a response that stops half-way when reads are suspended or resumed. */
  @Test
  void aResponseIsSentOnThoughReadsAreSuspendedMeanwhile() throws Exception {
    CompletableFuture<Connection> responding = new CompletableFuture<>();
    onBytes =
        (connection, bytes) -> {
          connection.write(new byte[LARGE_RESPONSE_BYTES]);
          responding.complete(connection);
        };
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      InputStream in = client.getInputStream();
      assertThat(in.read()).isZero();
      Connection connection = responding.get(5, TimeUnit.SECONDS);
      // Both are applied while the client takes nothing and no more can be written.
      TimeUnit.MILLISECONDS.sleep(FILLING_MILLIS);
      scheduler.execute(connection::pause);
      scheduler.execute(connection::resume);
      TimeUnit.MILLISECONDS.sleep(FILLING_MILLIS);
      assertThat(in.readNBytes(LARGE_RESPONSE_BYTES - 1)).hasSize(LARGE_RESPONSE_BYTES - 1);
    }
  }

  @Test
  void aClientThatNeverClosesIsCutOffSoon() throws Exception {
    onBytes = (connection, bytes) -> connection.close(CloseReason.CLOSED_LOCALLY, true);
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      assertThat(client.getInputStream().read()).isEqualTo(-1);
      drained().get(2, TimeUnit.SECONDS);
    }
  }

  @Test
  void aFloodingClientIsCutOffSoon() throws Exception {
    onBytes = (connection, bytes) -> connection.close(CloseReason.CLOSED_LOCALLY, true);
    try (Socket client = client()) {
      assertThatThrownBy(
              () -> {
                for (int i = 0; i < 6000; i++) {
                  client.getOutputStream().write(new byte[100_000]);
                }
              })
          .isInstanceOf(SocketException.class);
      drained().get(2, TimeUnit.SECONDS);
    }
  }

  /** The written bytes cannot be sent to such a client, but its connection must end. */
  @Test
  void aClientThatReadsNothingIsCutOffAfterTheFlushTimeout() throws Exception {
    onBytes =
        (connection, bytes) -> {
          connection.write(new byte[LARGE_RESPONSE_BYTES]);
          connection.close(CloseReason.CLOSED_LOCALLY, true);
        };
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      client.getInputStream().read();
      drained().get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * Each lingering connection holds a descriptor; beyond the limit the oldest is cut off at once.
   */
  @Test
  void onlyAFewConnectionsLingerAtOnce() throws Exception {
    List<Connection> closed = new ArrayList<>();
    onBytes = (connection, bytes) -> closed.add(connection);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      clients.add(client());
      clients.get(i).getOutputStream().write(1);
    }
    while (scheduler.thread.submit(closed::size).get() < 40) {
      Thread.onSpinWait();
    }
    long lingering =
        scheduler
            .thread
            .submit(
                () -> {
                  closed.forEach(connection -> connection.close(CloseReason.CLOSED_LOCALLY, true));
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

  /** Guards against responses cut off on the oldest of many connections that close at once. */
  @Test
  void responsesArriveThoughMoreConnectionsCloseThanMayLinger() throws Exception {
    byte[] response = new byte[LARGE_RESPONSE_BYTES];
    onBytes =
        (connection, bytes) -> {
          connection.write(response);
          connection.close(CloseReason.CLOSED_LOCALLY, true);
        };
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      clients.add(client());
      clients.get(i).getOutputStream().write(1);
    }
    for (Socket client : clients) {
      assertThat(client.getInputStream().readNBytes(LARGE_RESPONSE_BYTES))
          .hasSize(LARGE_RESPONSE_BYTES);
      client.close();
    }
  }

  /** A close would lose small writes that the operating system still holds back. */
  @Test
  void acceptedConnectionsDisableNagle() throws Exception {
    CompletableFuture<Boolean> noDelay = new CompletableFuture<>();
    onBytes =
        (connection, bytes) ->
            noDelay.complete(
                ((SocketSessionConfig) connection.session().getConfig()).isTcpNoDelay());
    try (Socket client = client()) {
      client.getOutputStream().write(1);
      assertThat(noDelay.get(5, TimeUnit.SECONDS)).isTrue();
    }
  }
}
