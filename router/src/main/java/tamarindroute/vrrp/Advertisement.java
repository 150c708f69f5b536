package tamarindroute.vrrp;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.protocol.MalformedMessageException;

/**
 * One advertisement of version 3, both ways (RFC 9568, 5.1 and 5.2). The checksum covers the pseudo
 * header of the addresses that carry it. UDP does not show a datagram's TTL or hop limit, so the
 * rule that it be 255 can't be checked here; what shelters from senders beyond the link is the
 * seal.
 */
public record Advertisement(
    int virtualId, int priority, Duration interval, List<InetAddress> addresses) {

  /** The priority of whoever owns the address, and the one that says that its holder stops. */
  public static final int OWNER_PRIORITY = 255;

  public static final int RESIGN_PRIORITY = 0;

  private static final int VERSION_AND_TYPE = 0x31;
  private static final int HEADER_LENGTH = 8;
  private static final int IP_PROTOCOL = 112;

  /** Twelve bits of centiseconds. */
  private static final int MAX_INTERVAL_CENTISECONDS = 0xFFF;

  private static final int MAX_ADDRESSES = 255;

  public Advertisement {
    List<InetAddress> all = List.copyOf(addresses);
    addresses = all;
    long centis = interval.toMillis() / 10;
    if (virtualId < 1
        || virtualId > 255
        || priority < 0
        || priority > 255
        || centis < 1
        || centis > MAX_INTERVAL_CENTISECONDS
        || interval.toMillis() % 10 != 0
        || addresses.isEmpty()
        || addresses.size() > MAX_ADDRESSES
        || all.stream().anyMatch(a -> a.getClass() != all.get(0).getClass())) {
      throw new IllegalArgumentException("no advertisement of version 3");
    }
  }

  /** As it goes from one address to another of the same family. */
  public byte[] encode(InetAddress from, InetAddress to) {
    int size = addresses.get(0).getAddress().length;
    ByteBuffer bytes = ByteBuffer.allocate(HEADER_LENGTH + size * addresses.size());
    bytes
        .put((byte) VERSION_AND_TYPE)
        .put((byte) virtualId)
        .put((byte) priority)
        .put((byte) addresses.size())
        .putShort((short) (interval.toMillis() / 10))
        .putShort((short) 0);
    addresses.forEach(address -> bytes.put(address.getAddress()));
    bytes.putShort(6, (short) checksum(bytes.array(), from, to));
    return bytes.array();
  }

  /** Reads one whole, as it came from one address to another; anything else of it is refused. */
  public static Advertisement decode(byte[] bytes, InetAddress from, InetAddress to)
      throws MalformedMessageException {
    if (bytes.length < HEADER_LENGTH || (bytes[0] & 0xFF) != VERSION_AND_TYPE) {
      throw new MalformedMessageException("no advertisement of version 3");
    }
    int size = from.getAddress().length;
    int count = bytes[3] & 0xFF;
    if (to.getAddress().length != size
        || count == 0
        || bytes.length != HEADER_LENGTH + size * count) {
      throw new MalformedMessageException(bytes.length + " bytes with " + count + " addresses");
    }
    if (checksum(bytes, from, to) != 0) {
      throw new MalformedMessageException("the checksum does not hold");
    }
    int centis = ((bytes[4] & 0x0F) << 8) | (bytes[5] & 0xFF);
    if ((bytes[1] & 0xFF) == 0 || centis == 0) {
      throw new MalformedMessageException("no virtual router or no interval");
    }
    List<InetAddress> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      byte[] address = new byte[size];
      System.arraycopy(bytes, HEADER_LENGTH + i * size, address, 0, size);
      try {
        addresses.add(InetAddress.getByAddress(address));
      } catch (UnknownHostException e) {
        throw new MalformedMessageException("no address: " + e.getMessage());
      }
    }
    if (addresses.stream().anyMatch(a -> a.getAddress().length != size)) {
      // Java turns an IPv4 address mapped into IPv6 into its own kind.
      throw new MalformedMessageException("an address of another family");
    }
    return new Advertisement(
        bytes[1] & 0xFF, bytes[2] & 0xFF, Duration.ofMillis(centis * 10L), addresses);
  }

  /**
   * The Internet checksum over the pseudo header and the message; 0 over one that holds its own.
   */
  private static int checksum(byte[] message, InetAddress from, InetAddress to) {
    long sum = IP_PROTOCOL + message.length;
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
