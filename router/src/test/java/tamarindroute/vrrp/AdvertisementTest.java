package tamarindroute.vrrp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Advertisements and their seals. Guards against a gateway that gives up or takes the shared
 * address because of a corrupted, forged or replayed datagram.
 */
class AdvertisementTest {

  private static InetAddress address(String text) {
    try {
      return InetAddress.getByName(text);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** The checksum covers the sender's address, so that another sender's copy is rejected. */
  @ParameterizedTest
  @CsvSource({"192.0.2.1, 192.0.2.2, 192.0.2.100", "2001:db8::1, 2001:db8::2, 2001:db8::100"})
  void encodedAdvertisementIsDecodedUnchanged(String from, String to, String shared)
      throws MalformedMessageException {
    Advertisement advertisement =
        new Advertisement(7, 120, Duration.ofSeconds(1), List.of(address(shared), address(from)));
    byte[] bytes = advertisement.encode(address(from), address(to));
    assertThat(Advertisement.decode(bytes, address(from), address(to))).isEqualTo(advertisement);
    assertThat(bytes[0]).isEqualTo((byte) 0x31);
    assertThatThrownBy(() -> Advertisement.decode(bytes, address(shared), address(to)))
        .as("another sender address in the pseudo header")
        .isInstanceOf(MalformedMessageException.class);
  }

  /**
   * Random bytes must not make the decoder fail with another exception. Those that have the right
   * form still pass with a probability of one in 65,536, because only the checksum protects them.
   */
  @Property(seed = "21", tries = 3000)
  void randomBytesAreRejectedOrDecodedWhole(@ForAll @Size(max = 100) byte[] bytes) {
    try {
      Advertisement decoded =
          Advertisement.decode(bytes, address("192.0.2.1"), address("192.0.2.2"));
      assertThat(decoded.encode(address("192.0.2.1"), address("192.0.2.2"))).hasSameSizeAs(bytes);
    } catch (MalformedMessageException e) {
      assertThat(e).hasMessageNotContaining("Exception");
    }
  }

  @Property(seed = "22", tries = 2000)
  void flippedBitIsDetectedByChecksumAndSeal(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] bytes =
        new Advertisement(1, 100, Duration.ofMillis(40), List.of(address("192.0.2.9")))
            .encode(address("192.0.2.1"), address("192.0.2.2"));
    byte[] flipped = bytes.clone();
    flipped[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
    assertThatThrownBy(
            () -> Advertisement.decode(flipped, address("192.0.2.1"), address("192.0.2.2")))
        .isInstanceOf(MalformedMessageException.class);
    MessageAuthenticator authenticator =
        new MessageAuthenticator(Map.of(1, new byte[] {1, 2, 3}), 1);
    byte[] sealed = authenticator.seal(bytes, 5, 9);
    sealed[random.nextInt(sealed.length)] ^= (byte) (1 << random.nextInt(8));
    assertThatThrownBy(() -> authenticator.open(sealed, MessageAuthenticator.ReplayWindow.EMPTY))
        .isInstanceOf(MalformedMessageException.class);
  }

  /**
   * A sender restarts and its key changes while messages of both incarnations are in flight. The
   * keys are the old one before the change, both during the change and the new one after it.
   */
  @Test
  void sealedMessageIsAcceptedOnceAndOnlyFromTheLatestIncarnation()
      throws MalformedMessageException {
    MessageAuthenticator oldKey = new MessageAuthenticator(Map.of(1, new byte[] {1}), 1);
    MessageAuthenticator bothKeys =
        new MessageAuthenticator(Map.of(1, new byte[] {1}, 2, new byte[] {2}), 2);
    MessageAuthenticator newKey = new MessageAuthenticator(Map.of(2, new byte[] {2}), 2);
    byte[] message = {42};
    MessageAuthenticator.ReplayWindow window = MessageAuthenticator.ReplayWindow.EMPTY;
    for (long number : new long[] {3, 1, 2, 70}) {
      window = bothKeys.open(oldKey.seal(message, 10, number), window).window();
    }
    MessageAuthenticator.ReplayWindow beforeRestart = window;
    for (long number : new long[] {3, 70, 5}) {
      assertThatThrownBy(() -> bothKeys.open(oldKey.seal(message, 10, number), beforeRestart))
          .as("number %d", number)
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThat(bothKeys.open(bothKeys.seal(message, 10, 69), beforeRestart).message())
        .isEqualTo(message);
    MessageAuthenticator.ReplayWindow afterRestart =
        bothKeys.open(bothKeys.seal(message, 11, 0), beforeRestart).window();
    assertThatThrownBy(() -> bothKeys.open(oldKey.seal(message, 10, 90), afterRestart))
        .as("an earlier incarnation")
        .isInstanceOf(MalformedMessageException.class);
    assertThatThrownBy(() -> newKey.open(oldKey.seal(message, 12, 0), afterRestart))
        .as("the old key after the change")
        .isInstanceOf(MalformedMessageException.class);
  }
}
