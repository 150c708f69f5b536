package tamarindroute.dns;

import java.nio.ByteBuffer;
import java.util.Arrays;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Splits a TCP stream into DNS messages, each preceded by its length in two bytes (RFC 1035,
 * 4.2.2). Buffers grow as bytes arrive, not when a length is announced.
 */
public final class TcpMessageFramer {

  /** Least number of bytes by which a buffer grows. */
  private static final int GROWTH_BYTES = 512;

  private final int maxLength;
  private int length = -1;
  private int firstLengthByte = -1;
  private byte[] bytes = new byte[0];
  private int filled;

  /** Creates a framer that rejects messages of more than this many bytes. */
  public TcpMessageFramer(int longest) {
    this.maxLength = longest;
  }

  /**
   * Returns the next complete message; null if more bytes are needed.
   *
   * @throws MalformedMessageException if a length is 0 or over the maximum
   */
  public byte[] nextMessage(ByteBuffer in) throws MalformedMessageException {
    while (length < 0 && in.hasRemaining()) {
      int b = in.get() & 0xFF;
      if (firstLengthByte < 0) {
        firstLengthByte = b;
      } else {
        length = (firstLengthByte << 8) | b;
        firstLengthByte = -1;
        if (length > maxLength || length == 0) {
          throw new MalformedMessageException(
              "message length " + length + " is not between 1 and " + maxLength);
        }
      }
    }
    if (length < 0) {
      return null;
    }
    int some = Math.min(in.remaining(), length - filled);
    if (filled + some > bytes.length) {
      bytes =
          Arrays.copyOf(
              bytes, Math.min(length, Math.max(filled + some, bytes.length + GROWTH_BYTES)));
    }
    in.get(bytes, filled, some);
    filled += some;
    if (filled < length) {
      return null;
    }
    byte[] whole = Arrays.copyOf(bytes, length);
    length = -1;
    filled = 0;
    bytes = new byte[0];
    return whole;
  }

  /** Returns whether no message has been received in part. */
  public boolean isBetweenMessages() {
    return length < 0 && firstLengthByte < 0;
  }

  /** Returns a message preceded by its length. */
  public static byte[] frame(byte[] message) {
    return ByteBuffer.allocate(2 + message.length)
        .putShort((short) message.length)
        .put(message)
        .array();
  }
}
