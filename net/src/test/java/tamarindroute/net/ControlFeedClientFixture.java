package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import tamarindroute.protocol.MalformedMessageException;

/** A client and a scripted feed on real sockets, with a clock that the test advances. */
abstract class ControlFeedClientFixture {

  static final Duration STEP = Duration.ofMillis(50);

  /** The addresses of all connects, and how many of the next ones hang. */
  final List<InetSocketAddress> connects = new CopyOnWriteArrayList<>();

  volatile int hangingConnects;

  /** Bytes that the client has consumed, and connections whose end it has seen. */
  int consumedBytes;

  int closedConnections;

  final ManualScheduler scheduler = new ManualScheduler();
  final SocketTransport transport =
      new SocketTransport(scheduler, new BufferPool(64L * 1024 * 1024), 80);
  final List<String> receivedTexts = new CopyOnWriteArrayList<>();
  final List<AutoCloseable> resources = new ArrayList<>();
  final ControlFeedClient.FeedListener listener =
      new ControlFeedClient.FeedListener() {
        @Override
        public long lastEventNumber() {
          return receivedTexts.size();
        }

        @Override
        public void onEvents(String text) throws MalformedMessageException {
          if (!text.startsWith("{")) {
            throw new MalformedMessageException("no object");
          }
          receivedTexts.add(text);
        }
      };

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable one : resources) {
      one.close();
    }
    transport.shutDown();
    scheduler.thread.shutdownNow();
  }

  ServerSocket server() throws IOException {
    ServerSocket server = new ServerSocket(0, 50);
    server.setSoTimeout(5_000);
    resources.add(server);
    return server;
  }

  static InetSocketAddress addressOf(ServerSocket server) {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  // Changed by one thread at a time.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  ControlFeedClient newClient(ServerSocket server) {
    return new ControlFeedClient(
        (address, handler) -> {
          connects.add(address);
          if (hangingConnects > 0) {
            hangingConnects--;
            Connection connection = new Connection(transport, false);
            connection.handler = handler;
            return connection;
          }
          return transport.connectReserved(address, new CountingHandler(handler));
        },
        scheduler,
        addressOf(server),
        listener,
        1);
  }

  /** Counts what it passes on to the client's handler. */
  final class CountingHandler implements ConnectionHandler {

    private final ConnectionHandler delegate;

    CountingHandler(ConnectionHandler feed) {
      this.delegate = feed;
    }

    @Override
    public void onOpened() {
      delegate.onOpened();
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      int before = bytes.remaining();
      delegate.onReceived(bytes);
      consumedBytes += before - bytes.remaining();
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      delegate.onClosed(closeReason);
      closedConnections++;
    }
  }

  ControlFeedClient startedClient(ServerSocket server) throws Exception {
    ControlFeedClient feed = newClient(server);
    scheduler.call(
        () -> {
          feed.start();
          return null;
        });
    return feed;
  }

  /** One connection that the scripted feed has accepted. */
  final class FeedSession implements AutoCloseable {

    final Socket socket;
    private final BufferedReader in;

    FeedSession(ServerSocket server) throws IOException {
      socket = server.accept();
      socket.setSoTimeout(5_000);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      resources.add(this);
    }

    String readRequest() throws IOException {
      String first = in.readLine();
      for (String line = first; line != null && !line.isEmpty(); line = in.readLine()) {
        // The headers are not checked.
      }
      return first;
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
    }

    void respond(String body) throws IOException {
      send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** The client has closed or reset the connection. */
    void assertClosed() {
      try {
        assertThat(in.read()).isEqualTo(-1);
      } catch (IOException e) {
        assertThat(e).hasMessageContaining("reset");
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Advances the time until that many connects were made; returns how long that took. */
  Duration advanceUntilConnects(int count) throws Exception {
    Duration from = scheduler.now;
    while (connects.size() < count) {
      scheduler.advance(STEP);
      assertThat(scheduler.now.minus(from))
          .as("connects " + connects.size())
          .isLessThan(Duration.ofSeconds(30));
    }
    return scheduler.now.minus(from);
  }

  /** Waits, for a bounded time, until events from MINA's thread were handed over. */
  void awaitTrue(Callable<Boolean> condition) throws Exception {
    for (int i = 0; i < 500 && !scheduler.call(condition); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(scheduler.call(condition)).isTrue();
  }
}
