package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.RespReader;
import tamarindroute.protocol.RespWriter;

/**
 * A test's side of one connection with the gateway, read frame by frame; a read waits 5 s at most.
 */
final class WireConnection {

  /** Read in place of a frame where the other side has closed. */
  static final String END = "end";

  private static final String REQUEST_ID_PREFIX = "9b1f03aa5c7e2d4";
  private static final String OBJECT_ID = "7f3a9c21e0b4d655";
  private static final String COPY_TAG = "4be0c1927d55a6f3";
  private static final String IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

  private final Socket socket;
  private final RespReader reader = new RespReader(3, 4096, 256 * 1024);
  private final ByteBuffer bytes = ByteBuffer.allocate(64 * 1024).limit(0);

  WireConnection(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(5_000);
    socket.setTcpNoDelay(true);
  }

  /** Id of the request that is sent under a tag of one digit. */
  static String requestId(String tag) {
    return REQUEST_ID_PREFIX + tag;
  }

  /** The next frame's first two bulk strings; {@link #END} where the other side has closed. */
  String readFrame() throws Exception {
    while (true) {
      // A frame without a body ends with nothing more to be read.
      RespReader.Step step = reader.next(bytes);
      if (step == RespReader.Step.END) {
        return reader.arguments().get(0) + " " + reader.arguments().get(1);
      }
      if (step == RespReader.Step.NEED_MORE_BYTES) {
        int count = socket.getInputStream().read(bytes.array());
        if (count < 0) {
          return END;
        }
        bytes.clear().limit(count);
      }
    }
  }

  void send(String... arguments) throws IOException {
    send(RespWriter.frame(arguments));
  }

  void sendWithBody(String body, String... arguments) throws IOException {
    send(frameWithBody(body, arguments));
  }

  private static byte[] frameWithBody(String body, String... arguments) {
    String header =
        new String(
            RespWriter.frameHeader(body.length(), arguments).array(), StandardCharsets.UTF_8);
    return (header + body + "\r\n").getBytes(StandardCharsets.UTF_8);
  }

  /** Sends a call of an idempotent class, as a client. */
  void call(String tag, int budgetMillis) throws IOException {
    call(tag, "clip", budgetMillis);
  }

  /** Sends a call with an idempotency key, as a client. */
  void call(String tag, String requestClass, int budgetMillis) throws IOException {
    send(callFrame(tag, requestClass, budgetMillis, "body"));
  }

  /** The frame of a call of an idempotent class, of this length in bytes. */
  static byte[] callFrame(String tag, int budgetMillis, int length) {
    String body = "x".repeat(length);
    int excess = callFrame(tag, "clip", budgetMillis, body).length - length;
    byte[] frame = callFrame(tag, "clip", budgetMillis, body.substring(excess));
    assertThat(frame).hasSize(length);
    return frame;
  }

  private static byte[] callFrame(String tag, String requestClass, int budgetMillis, String body) {
    FieldList fields =
        new FieldList()
            .with("rid", requestId(tag))
            .with("obj", OBJECT_ID)
            .with("budget", budgetMillis)
            .with("token", IDEMPOTENCY_KEY);
    return frameWithBody(body, "RPC.CALL", tag, requestClass, fields.format("-"));
  }

  /** Sends bytes as they are. */
  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Sends the beginning of a call whose body is longer than these bytes. */
  void sendBodyStart(int bytes) throws IOException {
    byte[] header =
        RespWriter.frameHeader(2 * bytes, "RPC.CALL", "1", "clip", "rid=" + requestId("1")).array();
    send(Arrays.copyOf(header, bytes));
  }

  /** Serves the request of this tag, as its cache. */
  void respond(String tag) throws IOException {
    respond(tag, "ACK");
  }

  void respond(String tag, String status) throws IOException {
    sendWithBody(
        "what was asked for",
        requestId(tag),
        status,
        new FieldList().with("digest", COPY_TAG).format("-"));
  }

  /** Sends the beginning of a served response and a part of its body. */
  void respondPartially(String tag) throws IOException {
    socket.getOutputStream().write(RespWriter.frameHeader(100, requestId(tag), "ACK", "-").array());
    socket.getOutputStream().write(new byte[50]);
  }

  /**
   * Asserts that these frames come and nothing else: a health check is answered behind all that was
   * written before.
   */
  void assertFramesAre(String... frames) throws Exception {
    for (String frame : frames) {
      assertThat(readFrame()).isEqualTo(frame);
    }
    send("RPC.HEALTH", "9");
    assertThat(readFrame()).isEqualTo("9 RED");
  }

  /** Ends this side's output. */
  void fin() throws IOException {
    socket.shutdownOutput();
  }

  /** Closes the connection with a reset. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
