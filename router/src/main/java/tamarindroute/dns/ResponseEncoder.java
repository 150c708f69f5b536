package tamarindroute.dns;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.ExtendedFlags;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Encodes responses with their EDNS options within the size that the client accepts. */
final class ResponseEncoder {

  /** Datagram size in bytes without EDNS, and the least with it (RFC 6891). */
  private static final int MIN_DATAGRAM_BYTES = 512;

  private static final int HEADER_LENGTH = 12;
  private static final int FLAGS_OFFSET = 2;
  private static final int TRUNCATION_FLAG = 0x02;

  // Of a twelve-bit response code the header carries four bits, the OPT record the others.
  private static final int HEADER_RCODE_MASK = 0xF;
  private static final int HEADER_RCODE_BITS = 4;

  /** Response flag, and of the query's flags the opcode and whether recursion is desired. */
  private static final int RESPONSE_FLAG = 0x80;

  private static final int COPIED_FLAGS_MASK = 0x79;

  private final DnsSettings.Limits limits;
  private final ServerCookies cookies;
  private final QueryCounters counters;

  ResponseEncoder(DnsSettings.Limits limits, ServerCookies cookies, QueryCounters counters) {
    this.limits = limits;
    this.cookies = cookies;
    this.counters = counters;
  }

  /** Encodes a complete response and counts its result. */
  byte[] encode(ResponseDraft draft, boolean datagram, Instant wallTime) {
    Message message = draft.message();
    message.getHeader().setRcode(draft.rcode() & HEADER_RCODE_MASK);
    counters.increment(resultOf(draft));
    addEdns(draft, wallTime);
    byte[] bytes = message.toWire(datagram ? maxDatagramBytes(draft.query()) : Message.MAXLENGTH);
    if ((bytes[FLAGS_OFFSET] & TRUNCATION_FLAG) != 0) {
      counters.increment(QueryCounters.Event.TRUNCATED);
    }
    return bytes;
  }

  /** Encodes a truncated response without records, which makes the client repeat it over TCP. */
  byte[] encodeTruncated(ResponseDraft draft, Instant wallTime) {
    draft.message().getHeader().setFlag(Flags.TC);
    addEdns(draft, wallTime);
    return draft.message().toWire(MIN_DATAGRAM_BYTES);
  }

  /** Encodes a response that consists of a header, for a query that could not be decoded. */
  static byte[] encodeHeader(byte[] query, int rcode) {
    byte[] bytes = new byte[HEADER_LENGTH];
    bytes[0] = query[0];
    bytes[1] = query[1];
    bytes[FLAGS_OFFSET] = (byte) (RESPONSE_FLAG | (query[FLAGS_OFFSET] & COPIED_FLAGS_MASK));
    bytes[FLAGS_OFFSET + 1] = (byte) rcode;
    return bytes;
  }

  private static QueryCounters.Event resultOf(ResponseDraft draft) {
    return switch (draft.rcode()) {
      case Rcode.NOERROR ->
          isNoData(draft.message()) ? QueryCounters.Event.NO_DATA : QueryCounters.Event.ANSWERED;
      case Rcode.NXDOMAIN -> QueryCounters.Event.NXDOMAIN;
      case Rcode.REFUSED -> QueryCounters.Event.REFUSED;
      default -> QueryCounters.Event.FAILED;
    };
  }

  private static boolean isNoData(Message message) {
    return message.getSection(Section.ANSWER).isEmpty()
        && message.getSection(Section.AUTHORITY).stream()
            .anyMatch(record -> record.getType() == Type.SOA);
  }

  private int maxDatagramBytes(Query query) {
    if (query.edns() == null) {
      return MIN_DATAGRAM_BYTES;
    }
    int accepted = Math.min(query.edns().getPayloadSize(), limits.maxDatagramBytes());
    return Math.max(MIN_DATAGRAM_BYTES, accepted);
  }

  private void addEdns(ResponseDraft draft, Instant wallTime) {
    OPTRecord queryEdns = draft.query().edns();
    if (queryEdns != null) {
      OPTRecord edns =
          new OPTRecord(
              limits.maxDatagramBytes(),
              draft.rcode() >> HEADER_RCODE_BITS,
              0,
              queryEdns.getFlags() & ExtendedFlags.DO,
              options(draft, wallTime));
      draft.message().addRecord(edns, Section.ADDITIONAL);
    }
  }

  private List<EDNSOption> options(ResponseDraft draft, Instant wallTime) {
    List<EDNSOption> options = new ArrayList<>();
    ClientSubnetOption subnet = draft.query().subnet();
    if (subnet != null) {
      int sourceBits = subnet.getSourcePrefixLength();
      int scope = sourceBits == 0 ? 0 : draft.subnetScope();
      options.add(new ClientSubnetOption(sourceBits, scope, subnet.getAddress()));
    }
    CookieOption cookie = draft.query().cookie();
    if (cookie != null) {
      byte[] clientCookie = cookie.getClientCookie();
      byte[] serverCookie = cookies.make(clientCookie, draft.sender(), wallTime);
      options.add(new CookieOption(clientCookie, serverCookie));
    }
    if (draft.extendedError() != null) {
      options.add(draft.extendedError());
    }
    return options;
  }
}
