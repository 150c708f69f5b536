package tamarindroute.vrrp;

import java.nio.ByteBuffer;
import java.time.Duration;
import tamarindroute.protocol.MalformedMessageException;

/**
 * A message between a candidate and a voter and its codec. Such messages are always sent sealed.
 *
 * @param type kind of the message
 * @param virtualId virtual router ID, 1 to 255
 * @param grantDuration how long a grant lasts, over 0 and up to 130 s in whole milliseconds
 * @param requestToken chosen by the candidate and returned unchanged by the voter, which does not
 *     interpret it; candidates put the time of the request here
 */
public record GrantMessage(
    MessageType type, int virtualId, Duration grantDuration, long requestToken) {

  /** The kinds of messages. */
  public enum MessageType {
    /** From a candidate: requests the grant. */
    REQUEST(0),
    /** From a voter: the candidate has the grant. */
    GRANTED(1),
    /** From a voter: another candidate has the grant. */
    DENIED(2),
    /** From a candidate: gives its grant back early. */
    RELEASE(3);

    private static final int MAX_WIRE_CODE = 3;

    private final int wireCode;

    MessageType(int wireCode) {
      this.wireCode = wireCode;
    }

    /** Returns the type with a code; null if there is none. */
    private static MessageType withWireCode(int wireCode) {
      for (MessageType type : values()) {
        if (type.wireCode == wireCode) {
          return type;
        }
      }
      return null;
    }
  }

  /** Differs from the first byte of every advertisement. */
  private static final byte FIRST_BYTE = 0x47;

  /** First byte, type, virtual router ID, duration in milliseconds, request token. */
  private static final int MESSAGE_LENGTH = 1 + 1 + 1 + 4 + 8;

  /**
   * Three times the longest advertisement interval, rounded up. A longer grant would keep the
   * shared address from all gateways for too long after its holder failed.
   */
  private static final int MAX_GRANT_MILLIS = 130_000;

  /** Whether an opened message is a grant message and not an advertisement. */
  public static boolean isGrantMessage(byte[] message) {
    return message.length > 0 && message[0] == FIRST_BYTE;
  }

  /** Returns the bytes of the message, not sealed. */
  public byte[] encode() {
    return ByteBuffer.allocate(MESSAGE_LENGTH)
        .put(FIRST_BYTE)
        .put((byte) type.wireCode)
        .put((byte) virtualId)
        .putInt((int) grantDuration.toMillis())
        .putLong(requestToken)
        .array();
  }

  /**
   * Decodes an opened message.
   *
   * @throws MalformedMessageException if the bytes are not exactly one valid message
   */
  public static GrantMessage decode(byte[] bytes) throws MalformedMessageException {
    if (bytes.length != MESSAGE_LENGTH) {
      throw new MalformedMessageException(
          "VRRP grant message is " + bytes.length + " bytes long, expected " + MESSAGE_LENGTH);
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    byte firstByte = buffer.get();
    if (firstByte != FIRST_BYTE) {
      throw new MalformedMessageException(
          "VRRP grant message first byte is "
              + Byte.toUnsignedInt(firstByte)
              + ", expected "
              + FIRST_BYTE);
    }
    int wireCode = Byte.toUnsignedInt(buffer.get());
    MessageType type = MessageType.withWireCode(wireCode);
    int virtualId = Byte.toUnsignedInt(buffer.get());
    int grantMillis = buffer.getInt();
    if (type == null) {
      throw new MalformedMessageException(
          "VRRP grant message type is "
              + wireCode
              + ", allowed: 0 to "
              + MessageType.MAX_WIRE_CODE);
    }
    if (virtualId == 0) {
      throw new MalformedMessageException(
          "VRRP grant message virtual router ID is 0, allowed: 1 to 255");
    }
    if (grantMillis <= 0 || grantMillis > MAX_GRANT_MILLIS) {
      throw new MalformedMessageException(
          "VRRP grant message duration is "
              + grantMillis
              + " ms, allowed: 1 to "
              + MAX_GRANT_MILLIS);
    }
    return new GrantMessage(type, virtualId, Duration.ofMillis(grantMillis), buffer.getLong());
  }
}
