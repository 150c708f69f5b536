package tamarindroute.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The incremental readers and the field list: whole, chunked, pipelined and malformed input. */
class ProtocolParsersTest {

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The frames that a reader of two arguments and a body reads from the bytes, fed in chunks. */
  private static List<String> frames(byte[] all, int chunkSize) throws MalformedMessageException {
    RespReader reader = new RespReader(2, 20, 30);
    List<String> read = new ArrayList<>();
    StringBuilder body = new StringBuilder();
    for (int offset = 0; offset < all.length; offset += chunkSize) {
      ByteBuffer in = ByteBuffer.wrap(all, offset, Math.min(chunkSize, all.length - offset));
      for (RespReader.Step step = reader.next(in);
          step != RespReader.Step.NEED_MORE_BYTES;
          step = reader.next(in)) {
        switch (step) {
          case BODY -> body.append(StandardCharsets.ISO_8859_1.decode(reader.body()));
          case END -> {
            read.add(reader.arguments() + "/" + reader.bodyLength() + "/" + body);
            body.setLength(0);
          }
          default -> assertThat(step).isEqualTo(RespReader.Step.HEADER);
        }
      }
      assertThat(in.hasRemaining()).isFalse();
    }
    assertThat(reader.betweenFrames()).isTrue();
    return read;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 16, 1000})
  void framesAreReadAlikeInChunksOfAnySize(int chunkSize) throws MalformedMessageException {
    String opening =
        StandardCharsets.ISO_8859_1.decode(RespWriter.frameHeader(5, "7", "ACK")).toString();
    String all =
        new String(RespWriter.frame("RPC.CANCEL", "7"), StandardCharsets.ISO_8859_1)
            + opening
            + "a\r\n*0\r\n"
            + "*1\r\n$1\r\nx\r\n"
            + "*3\r\n$0\r\n\r\n$1\r\n1\r\n$0\r\n\r\n";
    assertThat(frames(bytes(all), chunkSize))
        .containsExactly("[RPC.CANCEL, 7]/0/", "[7, ACK]/5/a\r\n*0", "[x]/0/", "[, 1]/0/");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "x",
        "*\r\n",
        "*0\r\n",
        "*4\r\n",
        "*-1\r\n",
        "*1\n",
        "*1\rx",
        "*1\r\n*",
        "*1\r\n$21\r\n",
        "*1\r\n$2\r\nabc",
        "*3\r\n$1\r\na\r\n$1\r\nb\r\n$31\r\n",
        "*00000000001\r\n",
        "*1\r\n$ 1\r\n",
        "*1\r\n$-1\r\n"
      })
  void malformedFramesAreRejected(String text) {
    assertThatThrownBy(() -> frames(bytes(text), 1)).isInstanceOf(MalformedMessageException.class);
    assertThatThrownBy(() -> frames(bytes(text), 100))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void fieldListsRoundTrip() throws MalformedMessageException {
    FieldList fields = FieldList.parse("lane=clip,rep=inflight:7;util:0.61,first=2.5,empty=");
    assertThat(fields.text("rep")).isEqualTo("inflight:7;util:0.61");
    assertThat(fields.number("first", 0, 9)).isEqualTo(2.5);
    assertThat(fields.number("absent", 9, 9)).isEqualTo(9);
    assertThat(fields.text("empty")).isEmpty();
    assertThat(fields.format("-")).isEqualTo("lane=clip,rep=inflight:7;util:0.61,first=2.5,empty=");
    assertThat(FieldList.parse("-").format("-")).isEqualTo("-");
    assertThat(new FieldList().with("a", 1).with("b", null).format("")).isEqualTo("a=1");
    for (String bad : List.of("a", "=1", "a=1,,b=2", ",")) {
      assertThatThrownBy(() -> FieldList.parse(bad))
          .as(bad)
          .isInstanceOf(MalformedMessageException.class);
    }
    for (String bad :
        List.of(
            "a=x", "a=", "a=-1", "a=NaN", "a=1e999", "a=11", "a=0x1p1", "a=3d", "a= 3",
            "a=1,a=1")) {
      assertThatThrownBy(() -> FieldList.parse(bad).number("a", 0, 10))
          .as(bad)
          .isInstanceOf(MalformedMessageException.class);
    }
  }

  private static List<String> responses(String text, int chunkSize)
      throws MalformedMessageException {
    HttpResponseReader reader = new HttpResponseReader(20);
    List<String> read = new ArrayList<>();
    byte[] all = bytes(text);
    for (int offset = 0; offset < all.length; offset += chunkSize) {
      ByteBuffer in = ByteBuffer.wrap(all, offset, Math.min(chunkSize, all.length - offset));
      while (in.hasRemaining()) {
        if (reader.read(in)) {
          read.add(
              reader.status()
                  + " "
                  + reader.body()
                  + (reader.closesConnection() ? " closing" : ""));
        }
      }
    }
    return read;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 1000})
  void httpResponsesAreReadAlikeInChunksOfAnySize(int chunkSize) throws MalformedMessageException {
    String all =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
            + "HTTP/1.1 503 Busy\r\nconnection: close\r\nContent-Length:0\r\n\r\n"
            + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\n\r\n\r\n0\r\nT: 1\r\n\r\n"
            + "HTTP/1.0 200 OK\nContent-Length: 1\n\nz";
    assertThat(responses(all, chunkSize))
        .containsExactly("200 hello", "503  closing", "200 abc\r\n", "200 z closing");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "SSH-2.0\r\n",
        "HTTP/1.1 abc\r\n",
        "HTTP/1.1 200 OK\r\nnothing\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"
      })
  void malformedHttpResponsesAreRejected(String text) {
    assertThatThrownBy(() -> responses(text, 1)).isInstanceOf(MalformedMessageException.class);
    assertThatThrownBy(() -> responses("HTTP/1.1 200 OK\r\nX: " + "y".repeat(5000), 1000))
        .isInstanceOf(MalformedMessageException.class);
    assertThatThrownBy(() -> responses("HTTP/1.1 200 OK\r\n" + "A: b\r\n".repeat(200), 1000))
        .isInstanceOf(MalformedMessageException.class);
  }
}
