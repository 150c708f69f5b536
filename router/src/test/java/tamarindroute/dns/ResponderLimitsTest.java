package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Tests limits of responses: sizes, EDNS versions, rates and cookies. */
class ResponderLimitsTest extends ResponderHarness {

  @Test
  void answersOverTheDatagramSizeAreTruncated() throws IOException {
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
  void newerEdnsDuplicateOptAndUpdatesAreRefused() throws IOException {
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
  void floodOfOneNetworkIsLimitedButNotOthersTcpOrCookies() throws IOException {
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
  void cookieIsValidForAnHourAndThroughAChangeOfSecret() {
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
}
