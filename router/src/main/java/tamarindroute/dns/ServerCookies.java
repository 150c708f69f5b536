package tamarindroute.dns;

import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Owns server cookies (RFC 7873, laid out as RFC 9018 has them, with HMAC-SHA256 cut to 8 bytes):
 * proof that a client's address is its own, without keeping anything of it. Instances of one secret
 * know each other's.
 */
public final class ServerCookies {

  /** Version, three bytes of nothing, the time, and the proof. */
  private static final int COOKIE_LENGTH = 16;

  private static final byte VERSION = 1;

  /**
   * RFC 9018: an hour old is too old, five minutes ahead too new, and after half an hour a new one
   * is due.
   */
  private static final Duration MAX_AGE = Duration.ofHours(1);

  private static final Duration MAX_TIME_AHEAD = Duration.ofMinutes(5);

  private final byte[] secret;
  private final byte[] previous;

  public ServerCookies(DnsSettings.CookieKeys keys) {
    this.secret = keys.secret().clone();
    this.previous = keys.previous() == null ? null : keys.previous().clone();
  }

  /** The cookie that this client shall send from now on. */
  public byte[] make(byte[] client, InetAddress address, Instant now) {
    return make(secret, client, address, (int) now.getEpochSecond());
  }

  /** Whether this is a cookie of ours, made for this client at this address, and not too old. */
  public boolean isValid(byte[] client, byte[] server, InetAddress address, Instant now) {
    if (server.length != COOKIE_LENGTH || server[0] != VERSION) {
      return false;
    }
    int made = ByteBuffer.wrap(server).getInt(4);
    // Seconds wrap round; their difference as a number of 32 bits does not.
    int age = (int) now.getEpochSecond() - made;
    if (age > MAX_AGE.toSeconds() || age < -MAX_TIME_AHEAD.toSeconds()) {
      return false;
    }
    return MessageDigest.isEqual(server, make(secret, client, address, made))
        || previous != null && MessageDigest.isEqual(server, make(previous, client, address, made));
  }

  private static byte[] make(byte[] key, byte[] client, InetAddress address, int time) {
    try {
      byte[] head = ByteBuffer.allocate(8).put(VERSION).put(new byte[3]).putInt(time).array();
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(key, "HmacSHA256"));
      mac.update(client);
      mac.update(head);
      byte[] proof = mac.doFinal(address.getAddress());
      return ByteBuffer.allocate(COOKIE_LENGTH)
          .put(head)
          .put(Arrays.copyOf(proof, COOKIE_LENGTH - head.length))
          .array();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java machine has HmacSHA256", e);
    }
  }
}
