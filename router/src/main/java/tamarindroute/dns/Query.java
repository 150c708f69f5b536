package tamarindroute.dns;

import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * A query in decoded form.
 *
 * @param edns the OPT record; null for none
 * @param subnet the client subnet option (RFC 7871); null for none
 * @param cookie the cookie option (RFC 7873); null for none
 */
record Query(
    Message message,
    Record question,
    OPTRecord edns,
    ClientSubnetOption subnet,
    CookieOption cookie) {

  /** Longest query in bytes: one name of up to 255 bytes and some options. */
  private static final int MAX_LENGTH = 1024;

  private static final int HEADER_LENGTH = 12;

  /** An OPT and a TSIG record. */
  private static final int MAX_ADDITIONAL_RECORDS = 2;

  // Offsets in the header (RFC 1035, 4.1.1).
  private static final int FLAGS_OFFSET = 2;
  private static final int QUESTION_COUNT_OFFSET = 4;
  private static final int ANSWER_COUNT_OFFSET = 6;
  private static final int AUTHORITY_COUNT_OFFSET = 8;
  private static final int ADDITIONAL_COUNT_OFFSET = 10;

  private static final int RESPONSE_FLAG = 0x80;
  private static final int OPCODE_SHIFT = 3;
  private static final int OPCODE_MASK = 0xF;

  /** Thrown for bytes that are not a query that can be answered. */
  static final class InvalidQueryException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Value of {@link #rcode} when nothing may be sent back. */
    static final int NO_REPLY = -1;

    /** Response code to send back, or {@link #NO_REPLY}. */
    final int rcode;

    InvalidQueryException(int rcode, String message) {
      // Without a stack trace: floods of invalid queries must stay cheap.
      super(message, null, false, false);
      this.rcode = rcode;
    }
  }

  /** Decodes a query. */
  static Query read(byte[] bytes) throws InvalidQueryException {
    checkHeader(bytes);
    Message message = decode(bytes);
    Record question = message.getQuestion();
    if (question == null || message.getHeader().getFlag(Flags.TC)) {
      throw new InvalidQueryException(Rcode.FORMERR, "no question");
    }
    OPTRecord edns = findEdns(message);
    return new Query(message, question, edns, findSubnet(edns), findCookie(edns));
  }

  private static void checkHeader(byte[] bytes) throws InvalidQueryException {
    if (bytes.length < HEADER_LENGTH) {
      throw new InvalidQueryException(
          InvalidQueryException.NO_REPLY, bytes.length + " bytes, shorter than a header");
    }
    if ((bytes[FLAGS_OFFSET] & RESPONSE_FLAG) != 0) {
      // Replying to responses could make two servers talk to each other for ever.
      throw new InvalidQueryException(
          InvalidQueryException.NO_REPLY, "a response rather than a query");
    }
    int opcode = (bytes[FLAGS_OFFSET] >> OPCODE_SHIFT) & OPCODE_MASK;
    if (opcode != Opcode.QUERY) {
      throw new InvalidQueryException(Rcode.NOTIMP, "opcode " + opcode);
    }
    if (bytes.length > MAX_LENGTH
        || countAt(bytes, QUESTION_COUNT_OFFSET) != 1
        || countAt(bytes, ANSWER_COUNT_OFFSET) != 0
        || countAt(bytes, AUTHORITY_COUNT_OFFSET) != 0
        || countAt(bytes, ADDITIONAL_COUNT_OFFSET) > MAX_ADDITIONAL_RECORDS) {
      throw new InvalidQueryException(Rcode.FORMERR, "length or record counts out of range");
    }
  }

  private static int countAt(byte[] bytes, int offset) {
    return ((bytes[offset] & 0xFF) << 8) | (bytes[offset + 1] & 0xFF);
  }

  private static Message decode(byte[] bytes) throws InvalidQueryException {
    try {
      return new Message(bytes);
    } catch (IOException | RuntimeException e) {
      throw new InvalidQueryException(Rcode.FORMERR, String.valueOf(e.getMessage()));
    }
  }

  private static OPTRecord findEdns(Message message) throws InvalidQueryException {
    OPTRecord edns = null;
    for (Record record : message.getSection(Section.ADDITIONAL)) {
      if (record.getType() == Type.OPT) {
        if (edns != null || !record.getName().equals(Name.root)) {
          throw new InvalidQueryException(
              Rcode.FORMERR, "several OPT records, or one not at the root");
        }
        edns = (OPTRecord) record;
      }
    }
    return edns;
  }

  private static ClientSubnetOption findSubnet(OPTRecord edns) throws InvalidQueryException {
    List<EDNSOption> options =
        edns == null ? List.of() : edns.getOptions(EDNSOption.Code.CLIENT_SUBNET);
    if (options.isEmpty()) {
      return null;
    }
    // dnsjava rejects unknown families and address bits beyond the prefix; a query's scope must be
    // 0.
    if (options.size() > 1
        || !(options.get(0) instanceof ClientSubnetOption subnet)
        || subnet.getScopePrefixLength() != 0) {
      throw new InvalidQueryException(Rcode.FORMERR, "invalid client subnet option");
    }
    return subnet;
  }

  private static CookieOption findCookie(OPTRecord edns) {
    List<EDNSOption> options = edns == null ? List.of() : edns.getOptions(EDNSOption.Code.COOKIE);
    return !options.isEmpty() && options.get(0) instanceof CookieOption cookie ? cookie : null;
  }

  /** Returns the client's address: of the client subnet option, else of the sender. */
  InetAddress clientAddress(InetAddress sender) {
    return hasClientSubnet() ? subnet.getAddress() : sender;
  }

  /** Returns how many leading bits of the client's address are known. */
  int knownClientBits(InetAddress sender) {
    return hasClientSubnet()
        ? subnet.getSourcePrefixLength()
        : sender.getAddress().length * Byte.SIZE;
  }

  private boolean hasClientSubnet() {
    return subnet != null && subnet.getSourcePrefixLength() != 0;
  }
}
