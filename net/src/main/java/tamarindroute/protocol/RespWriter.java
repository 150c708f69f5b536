package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Owns the writing of RESP arrays of bulk strings: whole frames, and the opening and closing round
 * a body that is sent apart. It must never touch a socket or a body.
 */
public final class RespWriter {

  private static final byte[] CRLF = {'\r', '\n'};

  private RespWriter() {}

  /** A frame of words alone. */
  public static byte[] frame(String... arguments) {
    return encode(arguments, -1);
  }

  /** A frame of words and a body, up to the body's first byte. */
  public static ByteBuffer frameHeader(int bodyLength, String... arguments) {
    return ByteBuffer.wrap(encode(arguments, bodyLength));
  }

  /** What follows a body. */
  public static ByteBuffer frameTrailer() {
    return ByteBuffer.wrap(CRLF);
  }

  private static byte[] encode(String[] arguments, int bodyLength) {
    StringBuilder text = new StringBuilder(64);
    text.append('*').append(arguments.length + (bodyLength < 0 ? 0 : 1)).append("\r\n");
    for (String argument : arguments) {
      text.append('$')
          .append(argument.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(argument)
          .append("\r\n");
    }
    if (bodyLength >= 0) {
      text.append('$').append(bodyLength).append("\r\n");
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }
}
