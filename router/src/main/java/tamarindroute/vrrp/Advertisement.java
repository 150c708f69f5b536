package tamarindroute.vrrp;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tamarindroute.protocol.MalformedMessageException;

/**
 * An advertisement of VRRP version 3 and its codec (RFC 9568, 5.1 and 5.2).
 *
 * <p>The checksum covers a pseudo header with the sender's and the receiver's address. The RFC also
 * requires a TTL or hop limit of 255, which can't be checked here because UDP does not expose it.
 * Protection from senders beyond the link is left to the seal of {@link
 * tamarindroute.protocol.MessageAuthenticator}.
 *
 * @param virtualId virtual router ID, 1 to 255
 * @param priority sender's priority, 0 to 255; see {@link #RESIGN_PRIORITY} and {@link
 *     #OWNER_PRIORITY}
 * @param interval time between two advertisements of the sender, 10 ms to 40.95 s in steps of 10 ms
 * @param addresses shared addresses of the virtual router, 1 to 255, all IPv4 or all IPv6
 */
public record Advertisement(
    int virtualId, int priority, Duration interval, List<InetAddress> addresses) {

  /** Priority of the gateway that owns the shared address. */
  public static final int OWNER_PRIORITY = 255;

  /** Priority in the last advertisement of an active router that stops. */
  public static final int RESIGN_PRIORITY = 0;

  private static final int VERSION = 3;
  private static final int TYPE = 1;
  private static final int VERSION_AND_TYPE = VERSION << 4 | TYPE;
  private static final int HEADER_LENGTH = 8;
  private static final int CHECKSUM_OFFSET = 6;
  private static final int IP_PROTOCOL = 112;
  private static final int MAX_VIRTUAL_ID = 255;
  private static final int MAX_PRIORITY = 255;
  private static final int MILLIS_PER_CENTISECOND = 10;

  /** The field has 12 bits. */
  private static final int MAX_INTERVAL_CENTISECONDS = 0xFFF;

  private static final int MAX_ADDRESSES = 255;

  /**
   * Copies the addresses.
   *
   * @throws IllegalArgumentException if a field is out of range or the addresses are of two
   *     families
   */
  public Advertisement {
    addresses = List.copyOf(addresses);
    requireRange("virtual router ID", virtualId, 1, MAX_VIRTUAL_ID);
    requireRange("priority", priority, 0, MAX_PRIORITY);
    requireInterval(interval);
    requireRange("address count", addresses.size(), 1, MAX_ADDRESSES);
    requireOneFamily(addresses);
  }

  private static void requireRange(String field, int value, int min, int max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          "VRRP advertisement " + field + " is " + value + ", allowed: " + min + " to " + max);
    }
  }

  private static void requireInterval(Duration interval) {
    long centiseconds = interval.toMillis() / MILLIS_PER_CENTISECOND;
    if (centiseconds < 1
        || centiseconds > MAX_INTERVAL_CENTISECONDS
        || interval.toMillis() % MILLIS_PER_CENTISECOND != 0) {
      throw new IllegalArgumentException(
          "VRRP advertisement interval is "
              + interval.toMillis()
              + " ms, allowed: 10 ms to 40950 ms in steps of 10 ms");
    }
  }

  private static void requireOneFamily(List<InetAddress> addresses) {
    if (addresses.stream().anyMatch(address -> address.getClass() != addresses.get(0).getClass())) {
      throw new IllegalArgumentException(
          "VRRP advertisement addresses are " + addresses + ", allowed: all IPv4 or all IPv6");
    }
  }

  /**
   * Returns the bytes of the advertisement.
   *
   * @param from sender's address, of the same family as {@code to}
   * @param to receiver's address
   */
  public byte[] encode(InetAddress from, InetAddress to) {
    int addressLength = addresses.get(0).getAddress().length;
    ByteBuffer bytes = ByteBuffer.allocate(HEADER_LENGTH + addressLength * addresses.size());
    bytes
        .put((byte) VERSION_AND_TYPE)
        .put((byte) virtualId)
        .put((byte) priority)
        .put((byte) addresses.size())
        .putShort((short) (interval.toMillis() / MILLIS_PER_CENTISECOND))
        .putShort((short) 0);
    addresses.forEach(address -> bytes.put(address.getAddress()));
    bytes.putShort(CHECKSUM_OFFSET, (short) checksum(bytes.array(), from, to));
    return bytes.array();
  }

  /**
   * Decodes an advertisement.
   *
   * @param bytes whole payload of the datagram
   * @param from sender's address; the shared addresses must be of its family
   * @param to receiver's address
   * @throws MalformedMessageException if the bytes are not exactly one valid advertisement
   */
  public static Advertisement decode(byte[] bytes, InetAddress from, InetAddress to)
      throws MalformedMessageException {
    checkHeader(bytes);
    checkLength(bytes, from, to);
    checkChecksum(bytes, from, to);
    int virtualId = bytes[1] & 0xFF;
    int priority = bytes[2] & 0xFF;
    int centiseconds = ((bytes[4] & 0x0F) << 8) | (bytes[5] & 0xFF);
    if (virtualId == 0) {
      throw new MalformedMessageException(
          "VRRP advertisement virtual router ID is 0, allowed: 1 to 255");
    }
    if (centiseconds == 0) {
      throw new MalformedMessageException(
          "VRRP advertisement interval is 0 centiseconds, allowed: 1 to 4095");
    }
    return new Advertisement(
        virtualId,
        priority,
        Duration.ofMillis(centiseconds * (long) MILLIS_PER_CENTISECOND),
        decodeAddresses(bytes, from.getAddress().length));
  }

  private static void checkHeader(byte[] bytes) throws MalformedMessageException {
    if (bytes.length < HEADER_LENGTH) {
      throw new MalformedMessageException(
          "VRRP advertisement is "
              + bytes.length
              + " bytes long, allowed: "
              + HEADER_LENGTH
              + " or more");
    }
    int version = (bytes[0] & 0xF0) >> 4;
    if (version != VERSION) {
      throw new MalformedMessageException(
          "VRRP advertisement version is " + version + ", expected " + VERSION);
    }
    int type = bytes[0] & 0x0F;
    if (type != TYPE) {
      throw new MalformedMessageException("VRRP packet type is " + type + ", expected " + TYPE);
    }
  }

  private static void checkLength(byte[] bytes, InetAddress from, InetAddress to)
      throws MalformedMessageException {
    int addressLength = from.getAddress().length;
    int count = bytes[3] & 0xFF;
    if (to.getAddress().length != addressLength) {
      throw new MalformedMessageException(
          "VRRP advertisement receiver is "
              + to.getHostAddress()
              + ", expected an address of the family of the sender "
              + from.getHostAddress());
    }
    if (count == 0) {
      throw new MalformedMessageException(
          "VRRP advertisement address count is 0, allowed: 1 to 255");
    }
    int expectedLength = HEADER_LENGTH + addressLength * count;
    if (bytes.length != expectedLength) {
      throw new MalformedMessageException(
          "VRRP advertisement with "
              + count
              + " addresses is "
              + bytes.length
              + " bytes long, expected "
              + expectedLength);
    }
  }

  private static void checkChecksum(byte[] bytes, InetAddress from, InetAddress to)
      throws MalformedMessageException {
    if (checksum(bytes, from, to) != 0) {
      ByteBuffer zeroed = ByteBuffer.wrap(bytes.clone()).putShort(CHECKSUM_OFFSET, (short) 0);
      throw new MalformedMessageException(
          String.format(
              Locale.ROOT,
              "VRRP advertisement checksum is 0x%04x, expected 0x%04x",
              ByteBuffer.wrap(bytes).getShort(CHECKSUM_OFFSET),
              checksum(zeroed.array(), from, to)));
    }
  }

  private static List<InetAddress> decodeAddresses(byte[] bytes, int addressLength)
      throws MalformedMessageException {
    int count = bytes[3] & 0xFF;
    List<InetAddress> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      byte[] address = new byte[addressLength];
      System.arraycopy(bytes, HEADER_LENGTH + i * addressLength, address, 0, addressLength);
      try {
        addresses.add(InetAddress.getByAddress(address));
      } catch (UnknownHostException e) {
        throw new MalformedMessageException(
            "VRRP advertisement address " + i + " is invalid: " + e.getMessage());
      }
    }
    for (InetAddress address : addresses) {
      // Java returns an IPv4-mapped IPv6 address as an IPv4 address.
      if (address.getAddress().length != addressLength) {
        throw new MalformedMessageException(
            "VRRP advertisement address is the IPv4-mapped IPv6 address of "
                + address.getHostAddress()
                + ", expected a plain IPv6 address");
      }
    }
    return addresses;
  }

  /**
   * Returns the Internet checksum over the pseudo header and the message. It is 0 for a message
   * that contains its own valid checksum.
   */
  private static int checksum(byte[] message, InetAddress from, InetAddress to) {
    long sum = (long) IP_PROTOCOL + message.length;
    for (byte[] part : new byte[][] {from.getAddress(), to.getAddress(), message}) {
      for (int i = 0; i < part.length; i++) {
        sum += (i & 1) == 0 ? (part[i] & 0xFF) << 8 : part[i] & 0xFF;
      }
    }
    while (sum >> 16 != 0) {
      sum = (sum & 0xFFFF) + (sum >> 16);
    }
    return (int) (~sum & 0xFFFF);
  }
}
