package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.Rcode;

/** Tests that bytes that are not queries get at most one bounded response. */
class ResponderRobustnessTest extends ResponderHarness {

  @Property(seed = "17", tries = 3000)
  void randomBytesGetAtMostOneSmallResponse(@ForAll @Size(max = 1500) byte[] bytes) {
    bounded(bytes);
  }

  @Property(seed = "18", tries = 3000)
  void mutatedQueriesGetAtMostOneResponse(@ForAll long seed) throws IOException {
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
  void compressionLoopsAreRejected() {
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
