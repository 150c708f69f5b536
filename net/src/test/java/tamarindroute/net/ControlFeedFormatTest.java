package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The bytes of the requests to the control feed, and the text extracted from its responses. */
@Timeout(30)
class ControlFeedFormatTest {

  private final SingleThreadScheduler scheduler = new SingleThreadScheduler();
  private final SocketTransport transport =
      new SocketTransport(scheduler, new BufferPool(64L * 1024 * 1024), 256);
  private final List<String> texts = new CopyOnWriteArrayList<>();

  private final ControlFeedClient.FeedListener listener =
      new ControlFeedClient.FeedListener() {
        @Override
        public long lastEventNumber() {
          return texts.size() * 41L;
        }

        @Override
        public void onEvents(String text) {
          texts.add(text);
        }
      };

  @AfterEach
  void end() {
    transport.shutDown();
    scheduler.end();
  }

  private static String request(InputStream in, int length) throws IOException {
    return new String(in.readNBytes(length), StandardCharsets.US_ASCII);
  }

  private static void respond(Socket socket, String response) throws IOException {
    socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  @Test
  void requestsAndResponsesKeepTheirFormat() throws Exception {
    try (ServerSocket server = new ServerSocket(0)) {
      int port = server.getLocalPort();
      ControlFeedClient feed =
          new ControlFeedClient(
              transport, scheduler, new InetSocketAddress("127.0.0.1", port), listener, 1);
      scheduler.execute(feed::start);
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(5_000);
        String first =
            "GET /v1/events?SUB=0&wait=2000 HTTP/1.1\r\nHost: 127.0.0.1:"
                + port
                + "\r\nAccept: application/json\r\n\r\n";
        assertThat(request(socket.getInputStream(), first.length())).isEqualTo(first);
        respond(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 25\r\n\r\n"
                + "{\"n\":0,\"events\":[],\"x\":2}");
        String second = first.replace("SUB=0", "SUB=41");
        assertThat(request(socket.getInputStream(), second.length())).isEqualTo(second);
        String chunks = "5\r\n{\"n\":\r\nf\r\n1,\"events\":[{}]\r\n1\r\n}\r\n0\r\n\r\n";
        respond(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
        String third = first.replace("SUB=0", "SUB=82");
        assertThat(request(socket.getInputStream(), third.length())).isEqualTo(third);
      }
    }
    assertThat(texts)
        .containsExactly("{\"n\":0,\"events\":[],\"x\":2}", "{\"n\":1,\"events\":[{}]}");
  }
}
