package tamarindroute.dns;

import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * Owns the reading of a query: whole, bounded, and refused with the code that says why before
 * anything believes it.
 *
 * @param message as dnsjava read it
 * @param edns its OPT record; null for none
 * @param subnet the client network that its resolver tells; null for none
 * @param cookie what it brings of a cookie; null for none
 */
record Query(
    Message message,
    Record question,
    OPTRecord edns,
    ClientSubnetOption subnet,
    CookieOption cookie) {

  /** A query holds one name, some options and no more; what is longer is no query. */
  private static final int MAX_LENGTH = 1024;

  private static final int HEADER_LENGTH = 12;

  /** An OPT and a TSIG; nobody needs more. */
  private static final int MAX_ADDITIONAL_RECORDS = 2;

  /** Why a query can't be taken: the code to answer with; no answer at all where it is negative. */
  static final class InvalidQueryException extends Exception {

    private static final long serialVersionUID = 1L;
    static final int NO_REPLY = -1;

    final int rcode;

    InvalidQueryException(int code, String why) {
      super(why, null, false, false);
      this.rcode = code;
    }
  }

  static Query read(byte[] bytes) throws InvalidQueryException {
    if (bytes.length < HEADER_LENGTH) {
      throw new InvalidQueryException(InvalidQueryException.NO_REPLY, "shorter than a header");
    }
    if ((bytes[2] & 0x80) != 0) {
      // Answering answers is how two servers talk to each other for ever.
      throw new InvalidQueryException(InvalidQueryException.NO_REPLY, "an answer to no query");
    }
    if (((bytes[2] >> 3) & 0xF) != Opcode.QUERY) {
      throw new InvalidQueryException(Rcode.NOTIMP, "opcode " + ((bytes[2] >> 3) & 0xF));
    }
    if (bytes.length > MAX_LENGTH
        || countAt(bytes, 4) != 1
        || countAt(bytes, 6) != 0
        || countAt(bytes, 8) != 0
        || countAt(bytes, 10) > MAX_ADDITIONAL_RECORDS) {
      throw new InvalidQueryException(Rcode.FORMERR, "counts or length of no query");
    }
    Message message;
    try {
      message = new Message(bytes);
    } catch (IOException | RuntimeException e) {
      throw new InvalidQueryException(Rcode.FORMERR, String.valueOf(e.getMessage()));
    }
    Record question = message.getQuestion();
    if (question == null || message.getHeader().getFlag(Flags.TC)) {
      throw new InvalidQueryException(Rcode.FORMERR, "no question");
    }
    OPTRecord edns = null;
    for (Record record : message.getSection(Section.ADDITIONAL)) {
      if (record.getType() == Type.OPT) {
        if (edns != null || !record.getName().equals(org.xbill.DNS.Name.root)) {
          throw new InvalidQueryException(Rcode.FORMERR, "two OPT records, or one under a name");
        }
        edns = (OPTRecord) record;
      }
    }
    return new Query(message, question, edns, subnet(edns), cookie(edns));
  }

  private static int countAt(byte[] bytes, int at) {
    return (bytes[at] & 0xFF) << 8 | bytes[at + 1] & 0xFF;
  }

  private static ClientSubnetOption subnet(OPTRecord edns) throws InvalidQueryException {
    List<EDNSOption> told =
        edns == null ? List.of() : edns.getOptions(EDNSOption.Code.CLIENT_SUBNET);
    if (told.isEmpty()) {
      return null;
    }
    // Another family, or bits past the prefix, dnsjava refuses; a scope in a query is refused here.
    if (told.size() > 1
        || !(told.get(0) instanceof ClientSubnetOption subnet)
        || subnet.getScopePrefixLength() != 0) {
      throw new InvalidQueryException(Rcode.FORMERR, "a client subnet that is none");
    }
    return subnet;
  }

  private static CookieOption cookie(OPTRecord edns) {
    List<EDNSOption> told = edns == null ? List.of() : edns.getOptions(EDNSOption.Code.COOKIE);
    return !told.isEmpty() && told.get(0) instanceof CookieOption cookie ? cookie : null;
  }

  /** Whom the answer is for: the client that the resolver tells of, else whoever asked. */
  InetAddress clientAddress(InetAddress asker) {
    return subnet == null || subnet.getSourcePrefixLength() == 0 ? asker : subnet.getAddress();
  }

  /** How many bits of that are known. */
  int knownClientBits(InetAddress asker) {
    return subnet == null || subnet.getSourcePrefixLength() == 0
        ? asker.getAddress().length * 8
        : subnet.getSourcePrefixLength();
  }
}
