package tamarindroute.dns;

import java.nio.ByteBuffer;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Owns the cutting of a TCP stream into messages, each behind its length of two bytes (RFC 1035,
 * 4.2.2). It must never take more than it was told is the longest, nor hold room for bytes before
 * they come.
 */
public final class TcpMessageFramer {

  /** Room grows by this as bytes come: a message that is announced and not sent costs no more. */
  private static final int GROWTH_BYTES = 512;

  private final int maxLength;
  private int length = -1;
  private int firstLengthByte = -1;
  private byte[] bytes = new byte[0];
  private int filled;

  public TcpMessageFramer(int longest) {
    this.maxLength = longest;
  }

  /** The next whole message; null where more bytes are wanted. */
  public byte[] nextMessage(ByteBuffer in) throws MalformedMessageException {
    while (length < 0 && in.hasRemaining()) {
      int b = in.get() & 0xFF;
      if (firstLengthByte < 0) {
        firstLengthByte = b;
      } else {
        length = firstLengthByte << 8 | b;
        firstLengthByte = -1;
        if (length > maxLength || length == 0) {
          throw new MalformedMessageException("a message of " + length + " bytes");
        }
      }
    }
    if (length < 0) {
      return null;
    }
    int some = Math.min(in.remaining(), length - filled);
    if (filled + some > bytes.length) {
      bytes =
          java.util.Arrays.copyOf(
              bytes, Math.min(length, Math.max(filled + some, bytes.length + GROWTH_BYTES)));
    }
    in.get(bytes, filled, some);
    filled += some;
    if (filled < length) {
      return null;
    }
    byte[] whole = java.util.Arrays.copyOf(bytes, length);
    length = -1;
    filled = 0;
    bytes = new byte[0];
    return whole;
  }

  /** Whether no message is under way. */
  public boolean isBetweenMessages() {
    return length < 0 && firstLengthByte < 0;
  }

  /** A message behind its length. */
  public static byte[] frame(byte[] message) {
    return ByteBuffer.allocate(2 + message.length)
        .putShort((short) message.length)
        .put(message)
        .array();
  }
}
