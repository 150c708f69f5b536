package tamarindroute.vrrp;

import java.nio.ByteBuffer;
import java.time.Duration;
import tamarindroute.protocol.MalformedMessageException;

/**
 * What candidates and voters say to each other, both ways; always sealed. The mark is the
 * candidate's own and comes back as it went: the time of its asking, which no other reads.
 */
public record GrantMessage(MessageType type, int virtualId, Duration span, long requestToken) {

  public enum MessageType {
    REQUEST,
    GRANTED,
    DENIED,
    RELEASE
  }

  /** No advertisement begins so. */
  private static final byte FIRST_BYTE = 0x47;

  private static final int MESSAGE_LENGTH = 1 + 1 + 1 + 4 + 8;

  /**
   * Three times the longest interval of an advertisement; a longer span would keep a shared address
   * from all.
   */
  private static final int MAX_SPAN_MILLIS = 130_000;

  /** Whether these bytes are of this kind, not an advertisement. */
  public static boolean isGrantMessage(byte[] message) {
    return message.length > 0 && message[0] == FIRST_BYTE;
  }

  public byte[] encode() {
    return ByteBuffer.allocate(MESSAGE_LENGTH)
        .put(FIRST_BYTE)
        .put((byte) type.ordinal())
        .put((byte) virtualId)
        .putInt((int) span.toMillis())
        .putLong(requestToken)
        .array();
  }

  public static GrantMessage decode(byte[] bytes) throws MalformedMessageException {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (bytes.length != MESSAGE_LENGTH || in.get() != FIRST_BYTE) {
      throw new MalformedMessageException("no ballot");
    }
    int kind = in.get();
    int virtualId = in.get() & 0xFF;
    int span = in.getInt();
    if (kind < 0
        || kind >= MessageType.values().length
        || virtualId == 0
        || span <= 0
        || span > MAX_SPAN_MILLIS) {
      throw new MalformedMessageException("a ballot with figures out of range");
    }
    return new GrantMessage(
        MessageType.values()[kind], virtualId, Duration.ofMillis(span), in.getLong());
  }
}
