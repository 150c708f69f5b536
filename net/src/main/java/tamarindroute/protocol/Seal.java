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
public final class Seal {

  /** Key id, run, number, the whole digest. */
  private static final int DIGEST = 32;

  private static final int HEAD = 1 + 8 + 8;

  /** Numbers so far behind the latest may still come, out of order; each only once. */
  private static final int WINDOW = 64;

  private final Map<Integer, byte[]> keys;
  private final int current;

  /** The keys by their ids, 0 to 255; what is sent is sealed with the current one. */
  public Seal(Map<Integer, byte[]> keys, int current) {
    if (!keys.containsKey(current) || keys.keySet().stream().anyMatch(id -> id < 0 || id > 255)) {
      throw new IllegalArgumentException("no such key, or an id that is none");
    }
    this.keys = Map.copyOf(keys);
    this.current = current;
  }

  /** What has been heard of one sender; the start of its run and its numbers. Immutable. */
  public record Heard(long run, long latest, long seen) {
    public static final Heard NOTHING = new Heard(Long.MIN_VALUE, -1, 0);
  }

  /** A message that is proven, and what has been heard with it. */
  public record Opened(byte[] message, Heard heard) {}

  /** Seals a message; run is larger at each start of the sender, number grows from 0 within it. */
  public byte[] seal(byte[] message, long run, long number) {
    byte[] head =
        ByteBuffer.allocate(HEAD).put((byte) current).putLong(run).putLong(number).array();
    return ByteBuffer.allocate(HEAD + message.length + DIGEST)
        .put(head)
        .put(message)
        .put(digest(keys.get(current), head, message))
        .array();
  }

  /** Opens what a sender sealed; throws where it is not proven or not new. */
  public Opened open(byte[] bytes, Heard heard) throws MalformedException {
    if (bytes.length < HEAD + DIGEST) {
      throw new MalformedException("too short for a seal");
    }
    byte[] key = keys.get(bytes[0] & 0xFF);
    byte[] head = Arrays.copyOf(bytes, HEAD);
    byte[] message = Arrays.copyOfRange(bytes, HEAD, bytes.length - DIGEST);
    if (key == null
        || !MessageDigest.isEqual(
            digest(key, head, message),
            Arrays.copyOfRange(bytes, bytes.length - DIGEST, bytes.length))) {
      throw new MalformedException(key == null ? "an unknown key" : "the seal does not hold");
    }
    long run = ByteBuffer.wrap(head).getLong(1);
    long number = ByteBuffer.wrap(head).getLong(9);
    return new Opened(message, next(heard, run, number));
  }

  /** What has been heard with one more message; throws where it is not new. */
  public static Heard next(Heard heard, long run, long number) throws MalformedException {
    if (number < 0 || run < heard.run) {
      throw new MalformedException("of an earlier run");
    }
    if (run > heard.run) {
      return new Heard(run, number, 1);
    }
    long ahead = number - heard.latest;
    if (ahead > 0) {
      return new Heard(run, number, ahead >= WINDOW ? 1 : heard.seen << ahead | 1);
    }
    if (-ahead >= WINDOW || (heard.seen >> -ahead & 1) != 0) {
      throw new MalformedException("heard before, or too late");
    }
    return new Heard(run, heard.latest, heard.seen | 1L << -ahead);
  }

  private static byte[] digest(byte[] key, byte[] head, byte[] message) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(key, "HmacSHA256"));
      mac.update(head);
      return mac.doFinal(message);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java machine has HmacSHA256", e);
    }
  }
}
