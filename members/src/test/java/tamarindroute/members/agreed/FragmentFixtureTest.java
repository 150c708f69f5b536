package tamarindroute.members.agreed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** The fragments of the agreement's messages, pinned byte for byte. */
class FragmentFixtureTest {

  private static final Address TO = new Address("10.0.0.9", 1);
  private static final Member FROM = new Member(new Address("10.0.0.8", 1), 5);

  @Test
  void shortMessageIsOneFragmentWithItsHead() {
    List<FragmentSendQueue.Fragment> fragments =
        new FragmentSendQueue().enqueue(TO, new byte[] {7, -1});
    assertThat(fragments).hasSize(1);
    assertThat(HexFormat.of().formatHex(fragments.get(0).bytes()))
        .isEqualTo("00000000000000010000000107ff");
  }

  @Test
  void longMessageIsCutEvery3840Bytes() {
    byte[] original = new byte[2 * 3_840 + 1];
    Arrays.fill(original, 0, 3_840, (byte) 1);
    Arrays.fill(original, 3_840, 7_680, (byte) 2);
    original[7_680] = 3;
    String first = "0102030405060708" + "0000" + "0003" + "01".repeat(3_840);
    String second = "0102030405060708" + "0001" + "0003" + "02".repeat(3_840);
    String third = "0102030405060708" + "0002" + "0003" + "03";
    List<String> expected = List.of(first, second, third);
    FragmentReassembler reassembler = new FragmentReassembler();
    Optional<byte[]> message = Optional.empty();
    for (int index = 0; index < 3; index++) {
      assertThat(
              HexFormat.of()
                  .formatHex(MessageFragmenter.fragment(original, 0x0102030405060708L, index)))
          .isEqualTo(expected.get(index));
      assertThat(message).isEmpty();
      message =
          reassembler.onFragment(
              FROM, HexFormat.of().parseHex(expected.get(index)), Duration.ofSeconds(1));
    }
    assertThat(message).hasValue(original);
  }
}
