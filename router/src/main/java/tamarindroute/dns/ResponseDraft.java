package tamarindroute.dns;

import java.net.InetAddress;
import java.time.Duration;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Header;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/** The response to one query while it is being built. */
final class ResponseDraft {

  // Info codes of extended errors (RFC 8914).
  static final int EDE_OTHER = 0;
  static final int EDE_STALE_ANSWER = 3;
  static final int EDE_NOT_READY = 14;
  static final int EDE_NOT_AUTHORITATIVE = 20;
  static final int EDE_NO_REACHABLE_AUTHORITY = 22;

  private final Message message;
  private final Query query;
  private final InetAddress sender;
  private final Duration now;
  private int rcode = Rcode.NOERROR;
  private int subnetScope;
  private ExtendedErrorCodeOption extendedError;

  ResponseDraft(Query query, InetAddress sender, Duration now) {
    this.query = query;
    this.sender = sender;
    this.now = now;
    message = new Message(query.message().getHeader().getID());
    Header header = message.getHeader();
    header.setFlag(Flags.QR);
    if (query.message().getHeader().getFlag(Flags.RD)) {
      header.setFlag(Flags.RD);
    }
    message.addRecord(query.question(), Section.QUESTION);
  }

  Message message() {
    return message;
  }

  Query query() {
    return query;
  }

  /** Returns the address that the query came from. */
  InetAddress sender() {
    return sender;
  }

  /** Returns the monotonic time at which the response is built. */
  Duration now() {
    return now;
  }

  /** Returns the response code, which with EDNS may have twelve bits. */
  int rcode() {
    return rcode;
  }

  void setRcode(int code) {
    rcode = code;
  }

  /** Returns how many bits of the client's address the answer depends on. */
  int subnetScope() {
    return subnetScope;
  }

  void setSubnetScope(int bits) {
    subnetScope = bits;
  }

  /** Returns the extended error; null for none. */
  ExtendedErrorCodeOption extendedError() {
    return extendedError;
  }

  void setExtendedError(int infoCode, String text) {
    extendedError = new ExtendedErrorCodeOption(infoCode, text);
  }

  void fail(int code, int extendedErrorCode, String text) {
    setRcode(code);
    setExtendedError(extendedErrorCode, text);
  }

  void addAnswer(Record record) {
    message.addRecord(record, Section.ANSWER);
  }

  /**
   * Adds the zone's SOA record to a negative answer, whose TTL it limits (RFC 2308).
   *
   * @param maxTtl further limit of the TTL; null for none
   */
  void addNegative(ZoneData zone, Duration maxTtl) {
    SOARecord soa = zone.soa();
    long ttl = Math.min(soa.getTTL(), soa.getMinimum());
    if (maxTtl != null) {
      ttl = Math.min(ttl, maxTtl.toSeconds());
    }
    message.addRecord(
        new SOARecord(
            soa.getName(),
            soa.getDClass(),
            ttl,
            soa.getHost(),
            soa.getAdmin(),
            soa.getSerial(),
            soa.getRefresh(),
            soa.getRetry(),
            soa.getExpire(),
            soa.getMinimum()),
        Section.AUTHORITY);
  }

  void removeAllRecords() {
    message.removeAllRecords(Section.ANSWER);
    message.removeAllRecords(Section.AUTHORITY);
    message.removeAllRecords(Section.ADDITIONAL);
  }
}
