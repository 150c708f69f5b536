package tamarindroute.vrrp;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Compares advertisements, grant messages and sealed datagrams with their expected bytes. Guards
 * against a change of the wire format, after which gateways of different releases would drop each
 * other's datagrams and several would be active.
 */
class VrrpWireFormatTest {

  private static final HexFormat HEX = HexFormat.of();

  @ParameterizedTest
  @CsvSource({
    "192.0.2.1, 192.0.2.2, 192.0.2.100, 3107780100640faec0000264",
    "2001:db8::1, 2001:db8::2, 2001:db8::100, 310778010064cbdc20010db8000000000000000000000100"
  })
  void advertisement(String from, String to, String shared, String hex) throws Exception {
    Advertisement advertisement =
        new Advertisement(7, 120, Duration.ofSeconds(1), List.of(InetAddress.getByName(shared)));
    byte[] bytes = advertisement.encode(InetAddress.getByName(from), InetAddress.getByName(to));
    assertThat(HEX.formatHex(bytes)).isEqualTo(hex);
  }

  private static GrantMessage grantMessage(GrantMessage.MessageType type) {
    return new GrantMessage(type, 9, Duration.ofMillis(3600), 0x0102030405060708L);
  }

  @ParameterizedTest
  @CsvSource({
    "REQUEST, 47000900000e100102030405060708",
    "GRANTED, 47010900000e100102030405060708",
    "DENIED, 47020900000e100102030405060708",
    "RELEASE, 47030900000e100102030405060708"
  })
  void grantMessage(GrantMessage.MessageType type, String hex) throws MalformedMessageException {
    GrantMessage message = grantMessage(type);
    assertThat(HEX.formatHex(message.encode())).isEqualTo(hex);
    assertThat(GrantMessage.decode(HEX.parseHex(hex))).isEqualTo(message);
  }

  @Test
  void sealedGrantMessage() {
    MessageAuthenticator authenticator =
        new MessageAuthenticator(Map.of(1, new byte[] {1, 2, 3, 4}), 1);
    byte[] message = grantMessage(GrantMessage.MessageType.REQUEST).encode();
    assertThat(HEX.formatHex(authenticator.seal(message, 5, 6)))
        .isEqualTo(
            "010000000000000005000000000000000647000900000e100102030405060708f047a9dff4745f1cdb8e853ee53bfc3cda3406315bba4437cc27e59dce43a03f");
  }
}
