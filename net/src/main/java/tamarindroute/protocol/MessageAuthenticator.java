package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Seals messages between peers with HMAC-SHA256 and refuses forged and replayed ones.
 *
 * <p>A sealed message is the key's id (1 byte), the sender's incarnation and its sequence number (8
 * bytes each), the message, and the code over all before it (32 bytes). Several keys may be valid
 * while they are changed.
 */
public final class MessageAuthenticator {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int MAC_LENGTH = 32;
  private static final int INCARNATION_OFFSET = 1;
  private static final int SEQUENCE_NUMBER_OFFSET = INCARNATION_OFFSET + Long.BYTES;
  private static final int HEADER_LENGTH = SEQUENCE_NUMBER_OFFSET + Long.BYTES;
  private static final int MAX_KEY_ID = 255;

  private final Map<Integer, byte[]> keysById;
  private final int currentKeyId;

  /**
   * Creates an authenticator.
   *
   * @param keysById valid keys by their ids, 0 to 255
   * @param currentKeyId id of the key that seals
   * @throws IllegalArgumentException if the current key is not among the keys, or an id is out of
   *     range
   */
  public MessageAuthenticator(Map<Integer, byte[]> keysById, int currentKeyId) {
    if (!keysById.containsKey(currentKeyId)) {
      throw new IllegalArgumentException("no key has the current id " + currentKeyId);
    }
    for (int id : keysById.keySet()) {
      if (id < 0 || id > MAX_KEY_ID) {
        throw new IllegalArgumentException("key id is " + id + ", allowed: 0 to " + MAX_KEY_ID);
      }
    }
    this.keysById = Map.copyOf(keysById);
    this.currentKeyId = currentKeyId;
  }

  /**
   * The messages accepted from one sender. Sequence numbers may come out of order within the
   * window, each once.
   *
   * @param incarnation latest incarnation of the sender
   * @param highestSequenceNumber highest number of that incarnation
   * @param receivedBits bit n is set if the number n below the highest was accepted
   */
  public record ReplayWindow(long incarnation, long highestSequenceNumber, long receivedBits) {

    /** Window of a sender from which nothing was accepted. */
    public static final ReplayWindow EMPTY = new ReplayWindow(Long.MIN_VALUE, -1, 0);

    /** Numbers that the window spans. */
    private static final int SIZE = Long.SIZE;

    private boolean contains(long distance) {
      return (receivedBits >> distance & 1) != 0;
    }
  }

  /**
   * A message whose seal is valid.
   *
   * @param window the sender's window with this message
   */
  // Instances are never compared.
  @SuppressWarnings("ArrayRecordComponent")
  public record OpenedMessage(byte[] message, ReplayWindow window) {}

  /**
   * Seals a message.
   *
   * @param incarnation larger at each start of the sender
   * @param sequenceNumber grows from 0 within an incarnation
   */
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

  /**
   * Opens a sealed message.
   *
   * @param window what was accepted from the sender so far
   * @throws MalformedMessageException if the seal is not valid, or the message was accepted before
   *     or is too old
   */
  public OpenedMessage open(byte[] sealed, ReplayWindow window) throws MalformedMessageException {
    if (sealed.length < HEADER_LENGTH + MAC_LENGTH) {
      throw new MalformedMessageException("a sealed message of " + sealed.length + " bytes");
    }
    byte[] header = Arrays.copyOf(sealed, HEADER_LENGTH);
    byte[] message = Arrays.copyOfRange(sealed, HEADER_LENGTH, sealed.length - MAC_LENGTH);
    byte[] mac = Arrays.copyOfRange(sealed, sealed.length - MAC_LENGTH, sealed.length);
    int keyId = Byte.toUnsignedInt(sealed[0]);
    byte[] key = keysById.get(keyId);
    if (key == null) {
      throw new MalformedMessageException("sealed with the unknown key " + keyId);
    }
    if (!MessageDigest.isEqual(mac(key, header, message), mac)) {
      throw new MalformedMessageException("the seal is not valid");
    }
    ByteBuffer headerBuffer = ByteBuffer.wrap(header);
    long incarnation = headerBuffer.getLong(INCARNATION_OFFSET);
    long sequenceNumber = headerBuffer.getLong(SEQUENCE_NUMBER_OFFSET);
    return new OpenedMessage(message, accept(window, incarnation, sequenceNumber));
  }

  /**
   * The window with one more message.
   *
   * @throws MalformedMessageException if the message was accepted before or is too old
   */
  public static ReplayWindow accept(ReplayWindow window, long incarnation, long sequenceNumber)
      throws MalformedMessageException {
    if (sequenceNumber < 0 || incarnation < window.incarnation) {
      throw new MalformedMessageException("a message of an earlier incarnation");
    }
    if (incarnation > window.incarnation) {
      return new ReplayWindow(incarnation, sequenceNumber, 1);
    }
    long advance = sequenceNumber - window.highestSequenceNumber;
    if (advance > 0) {
      long received = advance >= ReplayWindow.SIZE ? 0 : window.receivedBits << advance;
      return new ReplayWindow(incarnation, sequenceNumber, received | 1);
    }
    if (-advance >= ReplayWindow.SIZE || window.contains(-advance)) {
      throw new MalformedMessageException("a message that came before, or too late");
    }
    long received = window.receivedBits | 1L << -advance;
    return new ReplayWindow(incarnation, window.highestSequenceNumber, received);
  }

  private static byte[] mac(byte[] key, byte[] header, byte[] message) {
    try {
      Mac hmac = Mac.getInstance(ALGORITHM);
      hmac.init(new SecretKeySpec(key, ALGORITHM));
      hmac.update(header);
      return hmac.doFinal(message);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
