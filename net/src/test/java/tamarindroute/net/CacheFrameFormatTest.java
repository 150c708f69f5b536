package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.protocol.Fields;

/** The bytes of the frames to a cache, and what is taken from its own. */
@Timeout(30)
class CacheFrameFormatTest {

  private final OneThread owner = new OneThread();
  private final Sockets sockets = new Sockets(owner, new Pool(64L * 1024 * 1024), 256);
  private final BlockingQueue<String> taken = new LinkedBlockingQueue<>();

  @AfterEach
  void end() {
    sockets.shutDown();
    owner.end();
  }

  private Asked recording() {
    return new Asked() {
      @Override
      public void answered(String word, Fields fields, int length) {
        taken.add(word + " " + fields.write("-") + " " + length);
      }

      @Override
      public void body(ByteBuffer part, Connection from) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        taken.add(new String(bytes, StandardCharsets.US_ASCII));
      }

      @Override
      public void whole() {
        taken.add("whole");
      }

      @Override
      public void ended(Ending ending, boolean written) {
        taken.add(ending + " " + written);
      }
    };
  }

  private static void expect(Socket cache, String frame) throws IOException {
    assertThat(
            new String(
                cache.getInputStream().readNBytes(frame.length()), StandardCharsets.US_ASCII))
        .isEqualTo(frame);
  }

  private void expectTaken(String... all) throws InterruptedException {
    for (String one : all) {
      assertThat(taken.poll(5, TimeUnit.SECONDS)).isEqualTo(one);
    }
  }

  private static void respond(Socket cache, String frame) throws IOException {
    cache.getOutputStream().write(frame.getBytes(StandardCharsets.US_ASCII));
    cache.getOutputStream().flush();
  }

  @Test
  void framesKeepTheirBytes() throws Exception {
    try (ServerSocket server = new ServerSocket(0)) {
      CacheLine line =
          new CacheLine(
              sockets,
              owner,
              "s-1",
              new InetSocketAddress("127.0.0.1", server.getLocalPort()),
              new CacheLine.Limits(1, 100, Duration.ofSeconds(5), Duration.ZERO));
      IoBuffer body = IoBuffer.wrap("{\"key\":1}".getBytes(StandardCharsets.US_ASCII));
      owner.handOver(() -> line.ask("77.1", () -> "ttl=900,tok=t", List.of(body), 9, recording()));
      try (Socket cache = server.accept()) {
        cache.setSoTimeout(5_000);
        expect(
            cache,
            "*4\r\n$3\r\nASK\r\n$4\r\n77.1\r\n$13\r\nttl=900,tok=t\r\n$9\r\n{\"key\":1}\r\n");
        respond(cache, "*4\r\n$4\r\n77.1\r\n$3\r\nACK\r\n$7\r\nfirst=3\r\n$5\r\nhello\r\n");
        expectTaken("ACK first=3 5", "hello", "whole");
        owner.handOver(() -> line.probe("p9", recording()));
        expect(cache, "*2\r\n$4\r\nINFO\r\n$2\r\np9\r\n");
        respond(
            cache, "*4\r\n$2\r\np9\r\n$5\r\nREADY\r\n$20\r\nrep=util:0.5;x:3,y=2\r\n$0\r\n\r\n");
        expectTaken("READY rep=util:0.5;x:3,y=2 0", "whole");
        owner.handOver(() -> line.ask("8", () -> "-", List.of(), 0, recording()).run());
        expect(
            cache,
            "*4\r\n$3\r\nASK\r\n$1\r\n8\r\n$1\r\n-\r\n$0\r\n\r\n*2\r\n$4\r\nQUIT\r\n$1\r\n8\r\n");
      }
    }
  }
}
