package tamarindroute.cli;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
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
import org.xbill.DNS.Type;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tamarindroute.config.ServiceSettings;
import tamarindroute.dns.Subnet;
import tamarindroute.resolver.Forwarder;

/** The arguments of {@code ask} that name the server and describe the query. */
final class QueryArguments {

  /** Length of a client's cookie in bytes (RFC 7873). */
  private static final int CLIENT_COOKIE_BYTES = 8;

  private static final int QUERY_IDS = 1 << 16;

  @Parameters(
      index = "0",
      paramLabel = "SERVER",
      description = "address and port, as in 127.0.0.1:5300")
  private String server;

  @Parameters(index = "1", paramLabel = "NAME")
  private String name;

  @Parameters(
      index = "2",
      paramLabel = "TYPE",
      defaultValue = "A",
      description = "A, AAAA, SRV, … (default: A)")
  private String type;

  @Option(
      names = "--subnet",
      paramLabel = "ADDRESS/BITS",
      description = "send this client network (RFC 7871)")
  private String subnet;

  @Option(
      names = "--cookie",
      paramLabel = "HEX",
      arity = "0..1",
      fallbackValue = "",
      description = "send a cookie (RFC 7873): 8 bytes of the client's and, if known, the server's")
  private String cookie;

  @Option(names = "--no-edns", description = "send no EDNS options")
  private boolean withoutEdns;

  @Option(
      names = "--size",
      paramLabel = "BYTES",
      defaultValue = "1232",
      description = "the largest datagram accepted (default: 1232)")
  private int maxDatagramBytes;

  /** The server as it was given. */
  String server() {
    return server;
  }

  /**
   * The server's address.
   *
   * @throws IllegalArgumentException if it is not a numeric address with a port
   */
  InetSocketAddress serverAddress() {
    if (!ServiceSettings.numeric(server)) {
      throw new IllegalArgumentException("SERVER is no ADDRESS:PORT: " + server);
    }
    return ServiceSettings.address(server);
  }

  /**
   * Builds the query, with a random id.
   *
   * @throws IllegalArgumentException if an argument is invalid
   * @throws IndexOutOfBoundsException if the cookie is too short
   */
  Message toQuery() {
    int typeNumber = Type.value(type);
    if (typeNumber < 0) {
      throw new IllegalArgumentException("no such type: " + type);
    }
    Message query = new Message(new SecureRandom().nextInt(QUERY_IDS));
    query.getHeader().setFlag(Flags.RD);
    query.addRecord(
        Record.newRecord(Forwarder.name(name), typeNumber, DClass.IN), Section.QUESTION);
    List<EDNSOption> ednsOptions = ednsOptions();
    if (!withoutEdns) {
      query.addRecord(new OPTRecord(maxDatagramBytes, 0, 0, 0, ednsOptions), Section.ADDITIONAL);
    }
    return query;
  }

  private List<EDNSOption> ednsOptions() {
    List<EDNSOption> ednsOptions = new ArrayList<>();
    if (subnet != null) {
      Subnet network = Subnet.parse(subnet);
      ednsOptions.add(new ClientSubnetOption(network.bits(), network.address()));
    }
    if (cookie != null) {
      ednsOptions.add(cookieOption());
    }
    return ednsOptions;
  }

  private CookieOption cookieOption() {
    byte[] given = HexFormat.of().parseHex(cookie);
    byte[] client = new byte[CLIENT_COOKIE_BYTES];
    if (given.length == 0) {
      new SecureRandom().nextBytes(client);
    } else {
      System.arraycopy(given, 0, client, 0, CLIENT_COOKIE_BYTES);
    }
    return given.length <= CLIENT_COOKIE_BYTES
        ? new CookieOption(client)
        : new CookieOption(client, Arrays.copyOfRange(given, CLIENT_COOKIE_BYTES, given.length));
  }
}
