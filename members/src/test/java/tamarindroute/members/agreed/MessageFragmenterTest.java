package tamarindroute.members.agreed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessageCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Messages of the agreement are cut into fragments, sent, and reassembled. */
class MessageFragmenterTest {

  private static final Address TO = new Address("10.0.0.9", 1);
  private static final Duration NOW = Duration.ofSeconds(100);

  private static Member sender(int i) {
    return new Member(new Address("10.0.0." + i, 1), 5);
  }

  private static byte[] message(Random random, int length) {
    byte[] message = new byte[length];
    random.nextBytes(message);
    return message;
  }

  private record Arrival(Member from, byte[] bytes) {}

  /** Fragments are reordered; without loss each message is reassembled. */
  @Property(seed = "28", tries = 300)
  void messagesAreReassembledOnceOrNotAtAll(
      @ForAll @IntRange(max = 1 << 30) int seed, @ForAll @IntRange(max = 30) int loss) {
    Random random = new Random(seed);
    List<Arrival> arrivals = new ArrayList<>();
    List<byte[]> sent = new ArrayList<>();
    for (int sender = 0; sender < 3; sender++) {
      sendMessages(sender(sender), random, sent, arrivals);
    }
    arrivals.removeIf(arrival -> random.nextInt(100) < loss);
    reorder(arrivals, random);
    FragmentReassembler reassembler = new FragmentReassembler();
    List<byte[]> received = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      reassembler.onFragment(arrival.from(), arrival.bytes(), NOW).ifPresent(received::add);
      assertThat(reassembler.partialMessageCount())
          .isLessThanOrEqualTo(3 * FragmentReassembler.MAX_PARTIAL_PER_SENDER);
    }
    assertThat(received)
        .allMatch(bytes -> sent.stream().anyMatch(message -> Arrays.equals(bytes, message)));
    assertThat(received.stream().map(Arrays::hashCode).distinct())
        .as("no message twice")
        .hasSameSizeAs(received);
    if (loss == 0) {
      assertThat(received).hasSameSizeAs(sent);
      assertThat(reassembler.bufferedBytes()).isZero();
    }
  }

  private static void sendMessages(
      Member sender, Random random, List<byte[]> sent, List<Arrival> arrivals) {
    FragmentSendQueue sendQueue = new FragmentSendQueue();
    for (int i = 0; i < 4; i++) {
      byte[] message = message(random, 1 + random.nextInt(6 * MessageFragmenter.FRAGMENT_BYTES));
      sent.add(message);
      for (FragmentSendQueue.Fragment fragment : sendQueue.enqueue(TO, message)) {
        arrivals.add(new Arrival(sender, fragment.bytes()));
      }
    }
    while (!sendQueue.isEmpty()) {
      for (FragmentSendQueue.Fragment fragment : sendQueue.nextBatch()) {
        arrivals.add(new Arrival(sender, fragment.bytes()));
      }
    }
  }

  /** Moves arrivals by up to twenty positions. */
  private static void reorder(List<Arrival> arrivals, Random random) {
    for (int i = 0; i + 20 < arrivals.size(); i++) {
      Collections.swap(arrivals, i, i + random.nextInt(20));
    }
  }

  /** Of random bytes and of messages that are never completed. */
  @Property(seed = "29", tries = 20)
  void bufferedFragmentsAreBounded(@ForAll @IntRange(max = 1 << 30) int seed) {
    Random random = new Random(seed);
    FragmentReassembler reassembler = new FragmentReassembler();
    byte[] longest = new byte[AgreementMessageCodec.MAX_MESSAGE_BYTES];
    // Many messages of few fragments reach one bound, few messages of many the other.
    int numbers = seed % 2 == 0 ? 200 : 2;
    for (int i = 0; i < 4_000; i++) {
      byte[] fragment =
          random.nextInt(4) == 0
              ? message(
                  random,
                  random.nextInt(
                      MessageFragmenter.HEADER_BYTES + MessageFragmenter.FRAGMENT_BYTES + 2))
              : MessageFragmenter.fragment(
                  longest,
                  1 + random.nextInt(numbers),
                  random.nextInt(MessageFragmenter.MAX_FRAGMENTS - 1));
      reassembler.onFragment(
          sender(random.nextInt(numbers == 2 ? 5 : 40)), fragment, NOW.plusMillis(i));
      assertThat(reassembler.partialMessageCount())
          .isLessThanOrEqualTo(FragmentReassembler.MAX_PARTIAL);
      assertThat(reassembler.bufferedBytes()).isBetween(0, FragmentReassembler.MAX_BUFFERED_BYTES);
    }
    reassembler.expire(NOW.plus(FragmentReassembler.MAX_AGE.multipliedBy(2)));
    assertThat(reassembler.partialMessageCount()).isZero();
    assertThat(reassembler.bufferedBytes()).isZero();
  }

  @Example
  void oneSendersExcessCostsOthersNothing() {
    FragmentReassembler reassembler = new FragmentReassembler();
    byte[] message = message(new Random(1), 2 * MessageFragmenter.FRAGMENT_BYTES);
    assertThat(reassembler.onFragment(sender(1), MessageFragmenter.fragment(message, 1, 0), NOW))
        .isEmpty();
    for (int i = 1; i <= 500; i++) {
      reassembler.onFragment(sender(2), MessageFragmenter.fragment(message, i, 0), NOW);
    }
    assertThat(reassembler.partialMessageCount())
        .isEqualTo(1 + FragmentReassembler.MAX_PARTIAL_PER_SENDER);
    assertThat(reassembler.onFragment(sender(1), MessageFragmenter.fragment(message, 1, 1), NOW))
        .isPresent();
  }

  @Example
  void longestMessagePassesAndALongerOneIsDropped() {
    FragmentReassembler reassembler = new FragmentReassembler();
    FragmentSendQueue sendQueue = new FragmentSendQueue();
    byte[] longest = message(new Random(2), AgreementMessageCodec.MAX_MESSAGE_BYTES);
    assertThat(sendQueue.enqueue(TO, longest)).isEmpty();
    sendQueue.enqueue(TO, new byte[AgreementMessageCodec.MAX_MESSAGE_BYTES + 1]);
    int complete = 0;
    int sent = 0;
    while (!sendQueue.isEmpty()) {
      for (FragmentSendQueue.Fragment fragment : sendQueue.nextBatch()) {
        sent++;
        complete +=
            reassembler
                    .onFragment(sender(1), fragment.bytes(), NOW)
                    .filter(bytes -> Arrays.equals(bytes, longest))
                    .isPresent()
                ? 1
                : 0;
      }
    }
    assertThat(complete).isEqualTo(1);
    assertThat(sent).isEqualTo(FragmentSendQueue.TRANSMISSIONS * MessageFragmenter.MAX_FRAGMENTS);
  }

  /** A message of one fragment is lost once in 125, one of eleven more often. */
  @Example
  void fewMessagesAreLostAtTwentyPercentLoss() {
    Random random = new Random(3);
    FragmentReassembler reassembler = new FragmentReassembler();
    FragmentSendQueue sendQueue = new FragmentSendQueue();
    int[] complete = new int[2];
    for (int i = 0; i < 2_000; i++) {
      int kind = i % 2;
      List<FragmentSendQueue.Fragment> sent =
          new ArrayList<>(
              sendQueue.enqueue(
                  TO, message(random, 1 + kind * 10 * MessageFragmenter.FRAGMENT_BYTES)));
      while (!sendQueue.isEmpty()) {
        sent.addAll(sendQueue.nextBatch());
      }
      for (FragmentSendQueue.Fragment fragment : sent) {
        if (random.nextInt(100) >= 20
            && reassembler.onFragment(sender(1), fragment.bytes(), NOW.plusMillis(i)).isPresent()) {
          complete[kind]++;
        }
      }
    }
    assertThat(complete[0]).isBetween(980, 1_000);
    assertThat(complete[1]).isBetween(880, 940);
  }

  @Example
  void fragmentFitsIntoAMessageWithTheLongestAddresses() {
    Address name = new Address("0000:0000:0000:0000:0000:0000:255.255.255.255", 65_535);
    Member longest = new Member(name, Long.MAX_VALUE);
    byte[] fragment =
        MessageFragmenter.fragment(
            new byte[AgreementMessageCodec.MAX_MESSAGE_BYTES], Long.MAX_VALUE, 0);
    assertThat(
            MemberMessageCodec.encode(
                    MemberMessage.of(
                        longest, Long.MAX_VALUE, new MemberMessage.AgreementPayload(fragment)))
                .length)
        .isLessThanOrEqualTo(MemberMessageCodec.MAX_MESSAGE_BYTES);
  }
}
