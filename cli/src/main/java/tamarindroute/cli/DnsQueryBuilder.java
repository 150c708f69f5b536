package tamarindroute.cli;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import tamarindroute.dns.Subnet;
import tamarindroute.resolver.Forwarder;

/** Builds a DNS query with a random id. EDNS options are left out unless EDNS is asked for. */
final class DnsQueryBuilder {

  private static final int QUERY_IDS = 1 << 16;
  private static final int CLIENT_COOKIE_BYTES = 8;

  private final SecureRandom random = new SecureRandom();
  private final String name;
  private final int type;
  private final List<EDNSOption> options = new ArrayList<>();
  private int maxDatagramBytes;
  private boolean edns;

  /**
   * Starts a query.
   *
   * @param name absolute or not; resolved from the root
   * @param type code of the record type
   */
  DnsQueryBuilder(String name, int type) {
    this.name = name;
    this.type = type;
  }

  /**
   * Adds the client's network (RFC 7871).
   *
   * @throws IllegalArgumentException if the text is not of the form ADDRESS/BITS
   */
  DnsQueryBuilder subnet(String text) {
    Subnet network = Subnet.parse(text);
    options.add(new ClientSubnetOption(network.bits(), network.address()));
    return this;
  }

  /**
   * Adds a cookie (RFC 7873).
   *
   * @param bytes 8 of the client, then those of the server if known; empty for a random client
   *     cookie
   * @throws IndexOutOfBoundsException if there are fewer than 8, but not none
   */
  DnsQueryBuilder cookie(byte[] bytes) {
    byte[] client = new byte[CLIENT_COOKIE_BYTES];
    if (bytes.length == 0) {
      random.nextBytes(client);
    } else {
      System.arraycopy(bytes, 0, client, 0, CLIENT_COOKIE_BYTES);
    }
    boolean hasServerCookie = bytes.length > CLIENT_COOKIE_BYTES;
    options.add(
        hasServerCookie
            ? new CookieOption(client, Arrays.copyOfRange(bytes, CLIENT_COOKIE_BYTES, bytes.length))
            : new CookieOption(client));
    return this;
  }

  /** Uses EDNS, with the largest datagram that is accepted. */
  DnsQueryBuilder edns(int maxBytes) {
    edns = true;
    maxDatagramBytes = maxBytes;
    return this;
  }

  /** The query. */
  Message build() {
    Message message = new Message(random.nextInt(QUERY_IDS));
    message.getHeader().setFlag(Flags.RD);
    message.addRecord(Record.newRecord(Forwarder.name(name), type, DClass.IN), Section.QUESTION);
    if (edns) {
      message.addRecord(new OPTRecord(maxDatagramBytes, 0, 0, 0, options), Section.ADDITIONAL);
    }
    return message;
  }
}
