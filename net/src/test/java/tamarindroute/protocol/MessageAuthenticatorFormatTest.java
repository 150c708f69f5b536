package tamarindroute.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Bytes of sealed messages, as they stand on the wire between peers. */
class MessageAuthenticatorFormatTest {

  private static final byte[] KEY =
      HexFormat.of().parseHex("000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f");

  /** Key id, incarnation, sequence number, message, HMAC-SHA256 over all that stands before it. */
  private static final String SEALED =
      "c8"
          + "0000019a5b6c7d8e"
          + "000000000000012c"
          + "68656172746265617420"
          + "b8ba5da53a710643a6be8e01a507d057a144fd85e5d585cc64373e7c00d3ea85";

  private static final byte[] MESSAGE = "heartbeat ".getBytes(StandardCharsets.US_ASCII);

  private final MessageAuthenticator authenticator =
      new MessageAuthenticator(Map.of(200, KEY, 7, new byte[32]), 200);

  @Test
  void sealedMessageHasItsBytes() {
    assertThat(HexFormat.of().formatHex(authenticator.seal(MESSAGE, 0x19a5b6c7d8eL, 300)))
        .isEqualTo(SEALED);
  }

  @Test
  void sealedBytesAreOpened() throws MalformedMessageException {
    MessageAuthenticator.OpenedMessage opened =
        authenticator.open(
            HexFormat.of().parseHex(SEALED), MessageAuthenticator.ReplayWindow.EMPTY);
    assertThat(opened.message()).isEqualTo(MESSAGE);
    assertThat(opened.window())
        .isEqualTo(new MessageAuthenticator.ReplayWindow(0x19a5b6c7d8eL, 300, 1));
  }
}
