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
 * Server cookies (RFC 7873) in the layout of RFC 9018, with HMAC-SHA256 truncated to 8 bytes. They
 * prove a client's address without state; instances that share a secret accept each other's.
 */
public final class ServerCookies {

  /** Version, three reserved bytes, time in seconds, and hash. */
  private static final int COOKIE_LENGTH = 16;

  private static final byte VERSION = 1;

  /** Oldest cookie that is accepted (RFC 9018, 4.3). */
  private static final Duration MAX_AGE = Duration.ofHours(1);

  /** How far a cookie's time may lie in the future (RFC 9018, 4.3). */
  private static final Duration MAX_TIME_AHEAD = Duration.ofMinutes(5);

  private final byte[] secret;
  private final byte[] previous;

  /** Creates cookies from these secrets. */
  public ServerCookies(DnsSettings.CookieKeys keys) {
    this.secret = keys.secret();
    this.previous = keys.previous();
  }

  /** Returns the server cookie for a client cookie and address. */
  public byte[] make(byte[] client, InetAddress address, Instant now) {
    return make(secret, client, address, (int) now.getEpochSecond());
  }

  /**
   * Returns whether a server cookie was made for this client cookie and address, and has not
   * expired.
   */
  public boolean isValid(byte[] client, byte[] server, InetAddress address, Instant now) {
    if (server.length != COOKIE_LENGTH || server[0] != VERSION) {
      return false;
    }
    int made = ByteBuffer.wrap(server).getInt(4);
    // Times wrap around in 32 bits; their difference is right all the same (RFC 1982).
    int age = (int) now.getEpochSecond() - made;
    if (age > MAX_AGE.toSeconds() || age < -MAX_TIME_AHEAD.toSeconds()) {
      return false;
    }
    return MessageDigest.isEqual(server, make(secret, client, address, made))
        || (previous != null
            && MessageDigest.isEqual(server, make(previous, client, address, made)));
  }

  private static byte[] make(byte[] key, byte[] client, InetAddress address, int time) {
    try {
      byte[] head = ByteBuffer.allocate(8).put(VERSION).put(new byte[3]).putInt(time).array();
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(key, "HmacSHA256"));
      mac.update(client);
      mac.update(head);
      byte[] hash = mac.doFinal(address.getAddress());
      return ByteBuffer.allocate(COOKIE_LENGTH)
          .put(head)
          .put(Arrays.copyOf(hash, COOKIE_LENGTH - head.length))
          .array();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HmacSHA256 is not available", e);
    }
  }
}
