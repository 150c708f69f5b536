package tamarindroute.members.wire;

import java.util.regex.Pattern;
import tamarindroute.members.wire.form.WireMember;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.protocol.MalformedMessageException;

/** Encodes members and checks the bounds of decoded fields. */
final class WireFields {

  /** Length of the longest numeric host, an IPv6 address that ends in IPv4 notation. */
  private static final int MAX_HOST_LENGTH = 45;

  private static final int MAX_PORT = 65_535;
  private static final int MAX_VERSION = 1_000_000;
  private static final Pattern NUMERIC_HOST =
      Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

  private WireFields() {}

  static boolean isNumericHost(String host) {
    return host.length() <= MAX_HOST_LENGTH && NUMERIC_HOST.matcher(host).matches();
  }

  static WireMember encodeMember(Member member) {
    return WireMember.newBuilder()
        .setHost(member.address().host())
        .setPort(member.address().port())
        .setIncarnation(member.incarnation())
        .build();
  }

  static Member decodeMember(String field, boolean present, WireMember member)
      throws MalformedMessageException {
    if (!present) {
      throw new MalformedMessageException(field + " is missing");
    }
    return new Member(
        decodeAddress(field, member.getHost(), member.getPort()),
        requireNonNegative(field + " incarnation", member.getIncarnation()));
  }

  static Address decodeAddress(String field, String host, int port)
      throws MalformedMessageException {
    if (!isNumericHost(host)) {
      throw new MalformedMessageException(field + " host is not a numeric address");
    }
    if (port < 1 || port > MAX_PORT) {
      throw new MalformedMessageException(
          field + " port " + Integer.toUnsignedString(port) + " is not in 1 to " + MAX_PORT);
    }
    return new Address(host, port);
  }

  static int requireVersion(String field, int value) throws MalformedMessageException {
    if (value < 1 || value > MAX_VERSION) {
      throw new MalformedMessageException(
          field + " " + Integer.toUnsignedString(value) + " is not in 1 to " + MAX_VERSION);
    }
    return value;
  }

  /** Checks an unsigned field that is stored in a signed number. */
  static long requireNonNegative(String field, long value) throws MalformedMessageException {
    if (value < 0) {
      throw new MalformedMessageException(field + " is too large");
    }
    return value;
  }
}
