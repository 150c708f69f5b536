package tamarindroute.dns;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Master;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/** A responder for a zone with steered names, and queries to it. */
abstract class ResponderHarness {

  static final String ZONE =
      """
            $TTL 300
            @ IN SOA ns1 hostmaster ( 7 7200 900 1209600 5 )
              IN NS ns1
            ns1 IN A 192.0.2.1
            www IN CNAME shed-1
            far IN CNAME elsewhere.example.
            a.deep IN TXT "x"
            big IN TXT %s
            sub IN NS ns.sub
            ns.sub IN A 192.0.2.9
            """
          .formatted(
              "\"0123456789012345678901234567890123456789012345678901234567890123456789\" "
                  .repeat(12));
  static final InetAddress ASKER = TwoLocationDirectory.address("10.9.0.1");
  static final Duration NOW = Duration.ofSeconds(5);
  static final Instant WALL = Instant.ofEpochSecond(1_790_000_000);

  final TwoLocationDirectory directory = new TwoLocationDirectory(6);
  final QueryCounters counters = new QueryCounters();
  final Responder responder = responder(0, 2);

  Responder responder(double perSecond, int slip) {
    try {
      Name origin = Name.fromString("sheds.example.");
      List<Record> records = new ArrayList<>();
      Master master =
          new Master(new ByteArrayInputStream(ZONE.getBytes(StandardCharsets.US_ASCII)), origin);
      for (Record record = master.nextRecord(); record != null; record = master.nextRecord()) {
        records.add(record);
      }
      DnsSettings.SteeringSettings steer = directory.steer(1, 1, Duration.ZERO, 1);
      DnsSettings settings =
          new DnsSettings(
              null,
              List.of(new ZoneData(origin, records)),
              steer,
              new DnsSettings.Limits(1232, perSecond, slip, 10, Duration.ofSeconds(1), 4),
              null,
              null,
              List.of(
                  new DnsSettings.ForwardedZone(
                      Name.fromString("north.example."),
                      List.of(),
                      Duration.ofSeconds(1),
                      Duration.ZERO)),
              null);
      return new Responder(
          settings,
          directory.steering(steer),
          new ServerCookies(new DnsSettings.CookieKeys(new byte[16], null)),
          new ResponseRateLimiter(perSecond, slip),
          counters);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static Message query(String name, int type, EDNSOption... options) throws IOException {
    Message message =
        Message.newQuery(Record.newRecord(Name.fromString(name + "."), type, DClass.IN));
    message.addRecord(new OPTRecord(4096, 0, 0, 0, options), Section.ADDITIONAL);
    return message;
  }

  Message ask(Message query) throws IOException {
    return new Message(
        ((Responder.Send) responder.answer(query.toWire(), ASKER, true, NOW, WALL)).bytes());
  }

  Message ask(String name, int type, EDNSOption... options) throws IOException {
    return ask(query(name, type, options));
  }

  static int ede(Message message) {
    List<EDNSOption> told = message.getOPT().getOptions(EDNSOption.Code.EDNS_EXTENDED_ERROR);
    return told.isEmpty() ? -1 : ((ExtendedErrorCodeOption) told.get(0)).getErrorCode();
  }
}
