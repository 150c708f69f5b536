package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.HTTPSRecord;
import org.xbill.DNS.Master;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.decision.Cache;

/**
 * What is said to a query's bytes: by the pages of the protocol, and to bytes that are no query.
 */
class ResponderTest {

  private static final String ZONE =
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
  private static final InetAddress ASKER = TwoLocationDirectory.address("10.9.0.1");
  private static final Duration NOW = Duration.ofSeconds(5);
  private static final Instant WALL = Instant.ofEpochSecond(1_790_000_000);

  private final TwoLocationDirectory directory = new TwoLocationDirectory(6);
  private final QueryCounters counters = new QueryCounters();
  private final Responder responder = responder(0, 2);

  private Responder responder(double perSecond, int slip) {
    try {
      Name origin = Name.fromString("sheds.example.");
      List<Record> records = new ArrayList<>();
      Master master = new Master(new java.io.ByteArrayInputStream(ZONE.getBytes()), origin);
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

  private static Message query(String name, int type, EDNSOption... options) throws IOException {
    Message message =
        Message.newQuery(Record.newRecord(Name.fromString(name + "."), type, DClass.IN));
    message.addRecord(new OPTRecord(4096, 0, 0, 0, options), Section.ADDITIONAL);
    return message;
  }

  private Message ask(Message query) throws IOException {
    return new Message(
        ((Responder.Send) responder.answer(query.toWire(), ASKER, true, NOW, WALL)).bytes());
  }

  private Message ask(String name, int type, EDNSOption... options) throws IOException {
    return ask(query(name, type, options));
  }

  private static int ede(Message message) {
    List<EDNSOption> told = message.getOPT().getOptions(EDNSOption.Code.EDNS_EXTENDED_ERROR);
    return told.isEmpty() ? -1 : ((ExtendedErrorCodeOption) told.get(0)).getErrorCode();
  }

  @Test
  void steeredNamesAnswerAddressesServicesAndHttps() throws IOException {
    Message a = ask("Shed-1.sheds.EXAMPLE", Type.A);
    assertThat(a.getHeader().getFlag(Flags.AA)).isTrue();
    assertThat(a.getQuestion().getName()).hasToString("Shed-1.sheds.EXAMPLE.");
    ARecord address = (ARecord) a.getSection(Section.ANSWER).get(0);
    assertThat(address.getName()).as("the case as asked").hasToString("Shed-1.sheds.EXAMPLE.");
    assertThat(address.getAddress().getHostAddress()).startsWith("10.0.1.");
    SRVRecord service =
        (SRVRecord)
            ask("_cache._tcp.clip.shed-1.sheds.example", Type.SRV)
                .getSection(Section.ANSWER)
                .get(0);
    assertThat(service.getPort()).isEqualTo(5050);
    Message target = ask(service.getTarget().toString(true), Type.A);
    assertThat(((ARecord) target.getSection(Section.ANSWER).get(0)).getAddress().getHostAddress())
        .startsWith("10.0.1.");
    assertThat(ask("p15.shed-1.sheds.example", Type.HTTPS).getSection(Section.ANSWER).get(0))
        .isInstanceOf(HTTPSRecord.class);
    assertThat(ask("www.sheds.example", Type.A).getSection(Section.ANSWER)).hasSize(2);
  }

  @Test
  void whatIsNotThereIsToldByNameAndByTypeWithTheNegativeTtl() throws IOException {
    for (String name :
        List.of(
            "p16.shed-1",
            "p01.shed-1",
            "nobody.shed-1",
            "x.clip.shed-1",
            "shed-9",
            "s-none.cache",
            "_udp.shed-1")) {
      Message message = ask(name + ".sheds.example", Type.A);
      assertThat(message.getRcode()).as(name).isEqualTo(Rcode.NXDOMAIN);
      assertThat(((SOARecord) message.getSection(Section.AUTHORITY).get(0)).getTTL())
          .isLessThanOrEqualTo(5);
    }
    for (String name :
        List.of("_tcp.shed-1", "cache", "shed-1", "_cache._tcp.shed-1", "deep", "ns1")) {
      Message message = ask(name + ".sheds.example", Type.AAAA);
      assertThat(message.getRcode()).as(name).isEqualTo(Rcode.NOERROR);
      assertThat(message.getSection(Section.ANSWER)).as(name).isEmpty();
      assertThat(message.getSection(Section.AUTHORITY).get(0))
          .as(name)
          .isInstanceOf(SOARecord.class);
    }
    assertThat(ask("shed-1.sheds.example.org", Type.A).getRcode()).isEqualTo(Rcode.REFUSED);
  }

  @Test
  void anyIsMinimalChaosIsRefusedAndDelegationsAreReferrals() throws IOException {
    Message any = ask("shed-1.sheds.example", Type.ANY);
    assertThat(any.getSection(Section.ANSWER)).hasSize(1);
    assertThat(any.getSection(Section.ANSWER).get(0).getType()).isEqualTo(Type.HINFO);
    Message version =
        Message.newQuery(Record.newRecord(Name.fromString("version.bind."), Type.TXT, DClass.CH));
    assertThat(ask(version).getRcode()).isEqualTo(Rcode.REFUSED);
    Message below = ask("x.sub.sheds.example", Type.A);
    assertThat(below.getHeader().getFlag(Flags.AA)).isFalse();
    assertThat(below.getSection(Section.AUTHORITY).get(0).getType()).isEqualTo(Type.NS);
    assertThat(below.getSection(Section.ADDITIONAL)).anyMatch(r -> r.getType() == Type.A);
    for (int type : new int[] {Type.AXFR, Type.IXFR}) {
      assertThat(ask("sheds.example", type).getRcode()).isEqualTo(Rcode.REFUSED);
    }
  }

  @Test
  void theClientsSubnetChoosesTheLocationAndTheScopeSaysForWhom() throws IOException {
    for (int shedNumber = 1; shedNumber <= 2; shedNumber++) {
      Message message =
          ask(
              "near.sheds.example",
              Type.A,
              new ClientSubnetOption(
                  24, TwoLocationDirectory.address("10." + shedNumber + ".7.0")));
      assertThat(
              ((ARecord) message.getSection(Section.ANSWER).get(0)).getAddress().getHostAddress())
          .startsWith("10.0." + shedNumber + ".");
      ClientSubnetOption told =
          (ClientSubnetOption) message.getOPT().getOptions(EDNSOption.Code.CLIENT_SUBNET).get(0);
      assertThat(told.getScopePrefixLength()).isEqualTo(16);
      assertThat(told.getSourcePrefixLength()).isEqualTo(24);
    }
    Message fixed =
        ask(
            "shed-1.sheds.example",
            Type.A,
            new ClientSubnetOption(24, TwoLocationDirectory.address("10.2.7.0")));
    assertThat(
            ((ClientSubnetOption) fixed.getOPT().getOptions(EDNSOption.Code.CLIENT_SUBNET).get(0))
                .getScopePrefixLength())
        .isZero();
  }

  @Test
  void answersKeepToTheDatagramsSizeAndAreCutForTcp() throws IOException {
    Message plain =
        Message.newQuery(
            Record.newRecord(Name.fromString("big.sheds.example."), Type.TXT, DClass.IN));
    byte[] bytes =
        ((Responder.Send) responder.answer(plain.toWire(), ASKER, true, NOW, WALL)).bytes();
    assertThat(bytes.length).isLessThanOrEqualTo(512);
    assertThat(new Message(bytes).getHeader().getFlag(Flags.TC)).isTrue();
    byte[] whole =
        ((Responder.Send) responder.answer(plain.toWire(), ASKER, false, NOW, WALL)).bytes();
    assertThat(new Message(whole).getSection(Section.ANSWER)).hasSize(1);
    assertThat(ask("big.sheds.example", Type.TXT).getHeader().getFlag(Flags.TC)).isFalse();
  }

  @Test
  void newerEdnsAndDoubledOptionsAreRefusedByTheirCodes() throws IOException {
    Message newer =
        Message.newQuery(
            Record.newRecord(Name.fromString("ns1.sheds.example."), Type.A, DClass.IN));
    newer.addRecord(new OPTRecord(1232, 0, 1), Section.ADDITIONAL);
    assertThat(ask(newer).getRcode()).isEqualTo(Rcode.BADVERS);
    Message twice = query("ns1.sheds.example", Type.A);
    twice.addRecord(new OPTRecord(1232, 0, 0), Section.ADDITIONAL);
    assertThat(ask(twice).getRcode()).isEqualTo(Rcode.FORMERR);
    Message update = Message.newUpdate(Name.fromString("sheds.example."));
    assertThat(ask(update).getRcode()).isEqualTo(Rcode.NOTIMP);
  }

  @Test
  void floodsFromOneNetworkAreHeldBackAndOthersAndCookiesAreNot() throws IOException {
    Responder limited = responder(10, 2);
    int sent = 0;
    int slipped = 0;
    byte[] bytes = query("ns1.sheds.example", Type.A).toWire();
    for (int i = 0; i < 1000; i++) {
      InetAddress one = TwoLocationDirectory.address("203.0.113." + i % 250);
      if (limited.answer(bytes, one, true, NOW, WALL) instanceof Responder.Send send) {
        boolean cut = new Message(send.bytes()).getHeader().getFlag(Flags.TC);
        slipped += cut ? 1 : 0;
        sent += cut ? 0 : 1;
      }
    }
    assertThat(sent).isEqualTo(20);
    assertThat(slipped).isEqualTo(490);
    assertThat(limited.answer(bytes, ASKER, true, NOW, WALL)).isInstanceOf(Responder.Send.class);
    assertThat(limited.answer(bytes, TwoLocationDirectory.address("203.0.113.4"), false, NOW, WALL))
        .as("by TCP")
        .isInstanceOf(Responder.Send.class);
    // A true client learns its cookie from a slipped answer, or any, and is let through with it.
    byte[] client = {1, 2, 3, 4, 5, 6, 7, 8};
    InetAddress flooded = TwoLocationDirectory.address("203.0.113.4");
    byte[] server = null;
    for (int i = 0; i < 2 && server == null; i++) {
      if (limited.answer(
              query("ns1.sheds.example", Type.A, new CookieOption(client)).toWire(),
              flooded,
              true,
              NOW,
              WALL)
          instanceof Responder.Send send) {
        server =
            ((CookieOption)
                    new Message(send.bytes()).getOPT().getOptions(EDNSOption.Code.COOKIE).get(0))
                .getServerCookie()
                .orElseThrow();
      }
    }
    Message known = query("ns1.sheds.example", Type.A, new CookieOption(client, server));
    for (int i = 0; i < 100; i++) {
      Message answer =
          new Message(
              ((Responder.Send) limited.answer(known.toWire(), flooded, true, NOW, WALL)).bytes());
      assertThat(answer.getHeader().getFlag(Flags.TC)).isFalse();
    }
    Message forged = query("ns1.sheds.example", Type.A, new CookieOption(client, server));
    long held = counters.total(QueryCounters.Event.COOKIE_INVALID);
    limited.answer(forged.toWire(), TwoLocationDirectory.address("203.0.113.5"), true, NOW, WALL);
    assertThat(counters.total(QueryCounters.Event.COOKIE_INVALID))
        .as("another address's cookie")
        .isEqualTo(held + 1);
  }

  @Test
  void aCookieHoldsForAnHourAndThroughAChangeOfSecret() {
    byte[] client = new byte[8];
    byte[] old = {9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9};
    ServerCookies before = new ServerCookies(new DnsSettings.CookieKeys(old, null));
    ServerCookies after = new ServerCookies(new DnsSettings.CookieKeys(new byte[16], old));
    byte[] cookie = before.make(client, ASKER, WALL);
    assertThat(after.isValid(client, cookie, ASKER, WALL.plusSeconds(3599))).isTrue();
    assertThat(after.isValid(client, cookie, ASKER, WALL.plusSeconds(3700))).isFalse();
    assertThat(after.isValid(client, cookie, ASKER, WALL.minusSeconds(400))).isFalse();
    assertThat(after.isValid(new byte[] {1, 0, 0, 0, 0, 0, 0, 0}, cookie, ASKER, WALL)).isFalse();
    cookie[10] ^= 1;
    assertThat(after.isValid(client, cookie, ASKER, WALL)).isFalse();
  }

  @Test
  void lastResortsAreMarkedInTheAnswer() throws IOException {
    directory.feedReadAt = NOW.minusSeconds(20);
    assertThat(ede(ask("shed-1.sheds.example", Type.A))).isEqualTo(3);
    directory.caches.forEach(c -> c.availability = Cache.Availability.DRAINING);
    directory.publishList(NOW);
    Message none = ask("shed-1.sheds.example", Type.A);
    assertThat(none.getRcode()).isEqualTo(Rcode.SERVFAIL);
    assertThat(ede(none)).isEqualTo(22);
  }

  @Test
  void anothersZoneIsHandedOnAndItsAnswerComesBackInTheAskersSpelling() throws IOException {
    Message query = query("A.North.example", Type.A);
    Responder.Forward handOn =
        (Responder.Forward) responder.answer(query.toWire(), ASKER, true, NOW, WALL);
    Message said = new Message();
    said.addRecord(
        Record.fromString(
            Name.fromString("a.north.example."), Type.A, DClass.IN, 9, "192.0.2.7", Name.root),
        Section.ANSWER);
    Message back =
        new Message(
            ((Responder.Send) responder.onForwardedAnswer(handOn.pending(), said, true, NOW, WALL))
                .bytes());
    assertThat(back.getHeader().getID()).isEqualTo(query.getHeader().getID());
    assertThat(back.getSection(Section.ANSWER).get(0).getName()).hasToString("A.North.example.");
    assertThat(ede(back)).isEqualTo(3);
    assertThat(
            new Message(
                    ((Responder.Send)
                            responder.onForwardedAnswer(handOn.pending(), null, false, NOW, WALL))
                        .bytes())
                .getRcode())
        .isEqualTo(Rcode.SERVFAIL);
  }

  @Property(seed = "17", tries = 3000)
  void randomBytesCostOneSmallAnswerAtTheMost(@ForAll @Size(max = 1500) byte[] bytes) {
    bounded(bytes);
  }

  @Property(seed = "18", tries = 3000)
  void mutilatedQueriesCostOneAnswerAtTheMost(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    byte[] bytes =
        query(
                "p" + random.nextInt(20) + ".shed-1.sheds.example",
                1 + random.nextInt(70),
                new ClientSubnetOption(24, TwoLocationDirectory.address("10.1.7.0")),
                new CookieOption(new byte[8]))
            .toWire();
    for (int i = random.nextInt(6); i >= 0; i--) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    bounded(random.nextBoolean() ? bytes : Arrays.copyOf(bytes, random.nextInt(bytes.length)));
  }

  @Test
  void loopsOfCompressionAreNoQueries() {
    byte[] bytes = new byte[18];
    bytes[5] = 1;
    bytes[12] = (byte) 0xC0;
    bytes[13] = 12;
    bounded(bytes);
    assertThat(((Responder.Send) responder.answer(bytes, ASKER, true, NOW, WALL)).bytes()[3] & 0xF)
        .isEqualTo(Rcode.FORMERR);
    bytes[2] = (byte) 0x80;
    assertThat(responder.answer(bytes, ASKER, true, NOW, WALL))
        .isInstanceOf(Responder.Silence.class);
  }

  private void bounded(byte[] bytes) {
    long before = counters.total(QueryCounters.Event.QUERY);
    Responder.Reply reply = responder.answer(bytes, ASKER, true, NOW, WALL);
    assertThat(counters.total(QueryCounters.Event.QUERY)).isEqualTo(before + 1);
    if (reply instanceof Responder.Send send) {
      assertThat(send.bytes().length).isBetween(12, 1232);
      assertThat(send.bytes()[2] & 0x80).as("an answer").isNotZero();
      assertThat(Arrays.copyOf(send.bytes(), 2))
          .as("to this id")
          .isEqualTo(Arrays.copyOf(bytes, 2));
    }
  }
}
