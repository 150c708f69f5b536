package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encoder of RESP arrays of bulk strings: whole frames, and what stands round a body that is sent
 * apart.
 */
public final class RespWriter {

  /** Length of what follows a body. */
  public static final int FRAME_TRAILER_BYTES = 2;

  private static final String LINE_END = "\r\n";
  private static final byte[] LINE_END_BYTES = {'\r', '\n'};
  private static final int NO_BODY = -1;

  private RespWriter() {}

  /** A frame of these bulk strings alone. */
  public static byte[] frame(String... arguments) {
    return encode(arguments, NO_BODY);
  }

  /** A frame of these bulk strings and a body, up to the body's first byte. */
  public static ByteBuffer frameHeader(int bodyLength, String... arguments) {
    return ByteBuffer.wrap(encode(arguments, bodyLength));
  }

  /** What follows a body. */
  public static ByteBuffer frameTrailer() {
    return ByteBuffer.wrap(LINE_END_BYTES);
  }

  /** Start of every frame of so many bulk strings that begins with this one. */
  static String framePrefix(int elementCount, String firstArgument) {
    StringBuilder text = new StringBuilder().append('*').append(elementCount).append(LINE_END);
    appendArgument(text, firstArgument);
    return text.toString();
  }

  private static byte[] encode(String[] arguments, int bodyLength) {
    int elementCount = arguments.length + (bodyLength == NO_BODY ? 0 : 1);
    StringBuilder text = new StringBuilder(64).append('*').append(elementCount).append(LINE_END);
    for (String argument : arguments) {
      appendArgument(text, argument);
    }
    if (bodyLength != NO_BODY) {
      text.append('$').append(bodyLength).append(LINE_END);
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void appendArgument(StringBuilder text, String argument) {
    int byteLength = argument.getBytes(StandardCharsets.UTF_8).length;
    text.append('$').append(byteLength).append(LINE_END).append(argument).append(LINE_END);
  }
}
