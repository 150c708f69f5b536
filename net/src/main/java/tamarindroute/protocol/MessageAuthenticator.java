package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Owns the proof that a message is a peer's and new: a key's id, the sender's run and a number that
 * grows within it, and an HMAC-SHA256 over all and the message. Two keys hold during a change. It
 * must never take a message twice, nor one of an earlier run of the same sender once it has heard a
 * later one.
 */
public final class MessageAuthenticator {

  /** Key id, run, number, the whole digest. */
  private static final int MAC_LENGTH = 32;

  private static final int HEADER_LENGTH = 1 + 8 + 8;

  /** Numbers so far behind the latest may still come, out of order; each only once. */
  private static final int REPLAY_WINDOW_BITS = 64;

  private final Map<Integer, byte[]> keysById;
  private final int currentKeyId;

  /** The keys by their ids, 0 to 255; what is sent is sealed with the current one. */
  public MessageAuthenticator(Map<Integer, byte[]> keysById, int currentKeyId) {
    if (!keysById.containsKey(currentKeyId)
        || keysById.keySet().stream().anyMatch(id -> id < 0 || id > 255)) {
      throw new IllegalArgumentException("no such key, or an id that is none");
    }
    this.keysById = Map.copyOf(keysById);
    this.currentKeyId = currentKeyId;
  }

  /** What has been heard of one sender; the start of its run and its numbers. Immutable. */
  public record ReplayWindow(long incarnation, long highestSequenceNumber, long receivedBits) {
    public static final ReplayWindow EMPTY = new ReplayWindow(Long.MIN_VALUE, -1, 0);
  }

  /** A message that is proven, and what has been heard with it. */
  public record OpenedMessage(byte[] message, ReplayWindow window) {}

  /** Seals a message; run is larger at each start of the sender, number grows from 0 within it. */
  public byte[] seal(byte[] message, long incarnation, long sequenceNumber) {
    byte[] header =
        ByteBuffer.allocate(HEADER_LENGTH)
            .put((byte) currentKeyId)
            .putLong(incarnation)
            .putLong(sequenceNumber)
            .array();
    return ByteBuffer.allocate(HEADER_LENGTH + message.length + MAC_LENGTH)
        .put(header)
        .put(message)
        .put(mac(keysById.get(currentKeyId), header, message))
        .array();
  }

  /** Opens what a sender sealed; throws where it is not proven or not new. */
  public OpenedMessage open(byte[] sealed, ReplayWindow window) throws MalformedMessageException {
    if (sealed.length < HEADER_LENGTH + MAC_LENGTH) {
      throw new MalformedMessageException("too short for a seal");
    }
    byte[] key = keysById.get(sealed[0] & 0xFF);
    byte[] header = Arrays.copyOf(sealed, HEADER_LENGTH);
    byte[] message = Arrays.copyOfRange(sealed, HEADER_LENGTH, sealed.length - MAC_LENGTH);
    if (key == null
        || !MessageDigest.isEqual(
            mac(key, header, message),
            Arrays.copyOfRange(sealed, sealed.length - MAC_LENGTH, sealed.length))) {
      throw new MalformedMessageException(
          key == null ? "an unknown key" : "the seal does not hold");
    }
    long incarnation = ByteBuffer.wrap(header).getLong(1);
    long sequenceNumber = ByteBuffer.wrap(header).getLong(9);
    return new OpenedMessage(message, accept(window, incarnation, sequenceNumber));
  }

  /** What has been heard with one more message; throws where it is not new. */
  public static ReplayWindow accept(ReplayWindow window, long incarnation, long sequenceNumber)
      throws MalformedMessageException {
    if (sequenceNumber < 0 || incarnation < window.incarnation) {
      throw new MalformedMessageException("of an earlier run");
    }
    if (incarnation > window.incarnation) {
      return new ReplayWindow(incarnation, sequenceNumber, 1);
    }
    long advance = sequenceNumber - window.highestSequenceNumber;
    if (advance > 0) {
      return new ReplayWindow(
          incarnation,
          sequenceNumber,
          advance >= REPLAY_WINDOW_BITS ? 1 : window.receivedBits << advance | 1);
    }
    if (-advance >= REPLAY_WINDOW_BITS || (window.receivedBits >> -advance & 1) != 0) {
      throw new MalformedMessageException("heard before, or too late");
    }
    return new ReplayWindow(
        incarnation, window.highestSequenceNumber, window.receivedBits | 1L << -advance);
  }

  private static byte[] mac(byte[] key, byte[] header, byte[] message) {
    try {
      Mac hmac = Mac.getInstance("HmacSHA256");
      hmac.init(new SecretKeySpec(key, "HmacSHA256"));
      hmac.update(header);
      return hmac.doFinal(message);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java machine has HmacSHA256", e);
    }
  }
}
