package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.HTTPSRecord;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.decision.Cache;

/** Tests the contents of responses. */
class ResponderTest extends ResponderHarness {

  @Test
  void steeredNamesHaveAddressSrvAndHttpsRecords() throws IOException {
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
  void absentNamesAndTypesGetNegativeAnswersWithTheSoaTtl() throws IOException {
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
  void clientSubnetChoosesTheLocationAndDeterminesTheScope() throws IOException {
    for (int locationNumber = 1; locationNumber <= 2; locationNumber++) {
      Message message =
          ask(
              "near.sheds.example",
              Type.A,
              new ClientSubnetOption(
                  24, TwoLocationDirectory.address("10." + locationNumber + ".7.0")));
      assertThat(
              ((ARecord) message.getSection(Section.ANSWER).get(0)).getAddress().getHostAddress())
          .startsWith("10.0." + locationNumber + ".");
      ClientSubnetOption option =
          (ClientSubnetOption) message.getOPT().getOptions(EDNSOption.Code.CLIENT_SUBNET).get(0);
      assertThat(option.getScopePrefixLength()).isEqualTo(16);
      assertThat(option.getSourcePrefixLength()).isEqualTo(24);
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
  void lastResortsAreMarkedByExtendedErrors() throws IOException {
    directory.feedReadAt = NOW.minusSeconds(20);
    assertThat(ede(ask("shed-1.sheds.example", Type.A))).isEqualTo(3);
    directory.caches.forEach(c -> c.availability = Cache.Availability.DRAINING);
    directory.publishList(NOW);
    Message none = ask("shed-1.sheds.example", Type.A);
    assertThat(none.getRcode()).isEqualTo(Rcode.SERVFAIL);
    assertThat(ede(none)).isEqualTo(22);
  }

  @Test
  void forwardedAnswerHasTheClientsSpelling() throws IOException {
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
}
