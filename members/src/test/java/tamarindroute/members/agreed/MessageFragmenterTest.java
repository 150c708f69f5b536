package tamarindroute.members.agreed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
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

  /**
   * A message comes out as it was, once, or not at all; without loss each does, in whatever order.
   */
  @Property(seed = "28", tries = 300)
  void messagesAreReassembledOnceOrNotAtAll(
      @ForAll @IntRange(max = 1 << 30) int seed, @ForAll @IntRange(max = 30) int loss) {
    Random random = new Random(seed);
    List<Arrival> way = new ArrayList<>();
    List<byte[]> sent = new ArrayList<>();
    for (int who = 0; who < 3; who++) {
      FragmentSendQueue sendQueue = new FragmentSendQueue();
      for (int i = 0; i < 4; i++) {
        byte[] message = message(random, 1 + random.nextInt(6 * MessageFragmenter.FRAGMENT_BYTES));
        sent.add(message);
        for (FragmentSendQueue.Fragment piece : sendQueue.enqueue(TO, message)) {
          way.add(new Arrival(sender(who), piece.bytes()));
        }
      }
      while (!sendQueue.isEmpty()) {
        for (FragmentSendQueue.Fragment piece : sendQueue.nextBatch()) {
          way.add(new Arrival(sender(who), piece.bytes()));
        }
      }
    }
    way.removeIf(one -> random.nextInt(100) < loss);
    // Out of order by up to twenty places.
    for (int i = 0; i + 20 < way.size(); i++) {
      int other = i + random.nextInt(20);
      Arrival held = way.set(i, way.get(other));
      way.set(other, held);
    }
    MessageFragmenter fragmenter = new MessageFragmenter();
    List<byte[]> out = new ArrayList<>();
    for (Arrival one : way) {
      fragmenter.onFragment(one.from(), one.bytes(), NOW).ifPresent(out::add);
      assertThat(fragmenter.partialMessages())
          .isLessThanOrEqualTo(3 * MessageFragmenter.MAX_PARTIAL_PER_SENDER);
    }
    assertThat(out).allMatch(one -> sent.stream().anyMatch(message -> Arrays.equals(one, message)));
    assertThat(out.stream().map(Arrays::hashCode).distinct()).as("none twice").hasSameSizeAs(out);
    if (loss == 0) {
      assertThat(out).hasSameSizeAs(sent);
      assertThat(fragmenter.bufferedBytes()).isZero();
    }
  }

  /**
   * Whoever has the key and sends noise, or starts what it never ends, takes no more than the
   * bounds tell.
   */
  @Property(seed = "29", tries = 20)
  void bufferedFragmentsAreBounded(@ForAll @IntRange(max = 1 << 30) int seed) {
    Random random = new Random(seed);
    MessageFragmenter fragmenter = new MessageFragmenter();
    byte[] longest = new byte[AgreementMessageCodec.MAX_MESSAGE_BYTES];
    // Many messages of few pieces, or few of many: first one bound is met, then the other.
    int numbers = seed % 2 == 0 ? 200 : 2;
    for (int i = 0; i < 4_000; i++) {
      byte[] piece =
          random.nextInt(4) == 0
              ? message(
                  random,
                  random.nextInt(
                      MessageFragmenter.HEADER_BYTES + MessageFragmenter.FRAGMENT_BYTES + 2))
              : MessageFragmenter.fragment(
                  longest,
                  1 + random.nextInt(numbers),
                  random.nextInt(MessageFragmenter.MAX_FRAGMENTS - 1));
      fragmenter.onFragment(
          sender(random.nextInt(numbers == 2 ? 5 : 40)), piece, NOW.plusMillis(i));
      assertThat(fragmenter.partialMessages()).isLessThanOrEqualTo(MessageFragmenter.MAX_PARTIAL);
      assertThat(fragmenter.bufferedBytes()).isBetween(0, MessageFragmenter.MAX_BUFFERED_BYTES);
    }
    fragmenter.expire(NOW.plus(MessageFragmenter.MAX_AGE.multipliedBy(2)));
    assertThat(fragmenter.partialMessages()).isZero();
    assertThat(fragmenter.bufferedBytes()).isZero();
  }

  /** One that starts messages without end makes no other sender's be lost. */
  @Example
  void oneSendersExcessCostsOthersNothing() {
    MessageFragmenter fragmenter = new MessageFragmenter();
    byte[] message = message(new Random(1), 2 * MessageFragmenter.FRAGMENT_BYTES);
    assertThat(fragmenter.onFragment(sender(1), MessageFragmenter.fragment(message, 1, 0), NOW))
        .isEmpty();
    for (int i = 1; i <= 500; i++) {
      fragmenter.onFragment(sender(2), MessageFragmenter.fragment(message, i, 0), NOW);
    }
    assertThat(fragmenter.partialMessages())
        .isEqualTo(1 + MessageFragmenter.MAX_PARTIAL_PER_SENDER);
    assertThat(fragmenter.onFragment(sender(1), MessageFragmenter.fragment(message, 1, 1), NOW))
        .isPresent();
  }

  @Example
  void longestMessagePassesAndALongerOneIsDropped() {
    MessageFragmenter fragmenter = new MessageFragmenter();
    FragmentSendQueue sendQueue = new FragmentSendQueue();
    byte[] longest = message(new Random(2), AgreementMessageCodec.MAX_MESSAGE_BYTES);
    assertThat(sendQueue.enqueue(TO, longest)).isEmpty();
    sendQueue.enqueue(TO, new byte[AgreementMessageCodec.MAX_MESSAGE_BYTES + 1]);
    int whole = 0;
    int sent = 0;
    while (!sendQueue.isEmpty()) {
      for (FragmentSendQueue.Fragment piece : sendQueue.nextBatch()) {
        sent++;
        whole +=
            fragmenter
                    .onFragment(sender(1), piece.bytes(), NOW)
                    .filter(one -> Arrays.equals(one, longest))
                    .isPresent()
                ? 1
                : 0;
      }
    }
    assertThat(whole).isEqualTo(1);
    assertThat(sent).isEqualTo(FragmentSendQueue.TRANSMISSIONS * MessageFragmenter.MAX_FRAGMENTS);
  }

  /** At a fifth of loss, either way the same for all lengths: a short one is lost once in 125. */
  @Example
  void fewMessagesAreLostAtTwentyPercentLoss() {
    Random random = new Random(3);
    MessageFragmenter fragmenter = new MessageFragmenter();
    FragmentSendQueue sendQueue = new FragmentSendQueue();
    int[] whole = new int[2];
    for (int i = 0; i < 2_000; i++) {
      int pick = i % 2;
      List<FragmentSendQueue.Fragment> sent =
          new ArrayList<>(
              sendQueue.enqueue(
                  TO, message(random, 1 + pick * 10 * MessageFragmenter.FRAGMENT_BYTES)));
      while (!sendQueue.isEmpty()) {
        sent.addAll(sendQueue.nextBatch());
      }
      for (FragmentSendQueue.Fragment piece : sent) {
        if (random.nextInt(100) >= 20
            && fragmenter.onFragment(sender(1), piece.bytes(), NOW.plusMillis(i)).isPresent()) {
          whole[pick]++;
        }
      }
    }
    assertThat(whole[0]).isBetween(980, 1_000);
    assertThat(whole[1]).isBetween(880, 940);
  }

  @Example
  void fragmentFitsIntoAMessageWithTheLongestAddresses() {
    Address name = new Address("0000:0000:0000:0000:0000:0000:255.255.255.255", 65_535);
    Member longest = new Member(name, Long.MAX_VALUE);
    byte[] piece =
        MessageFragmenter.fragment(
            new byte[AgreementMessageCodec.MAX_MESSAGE_BYTES], Long.MAX_VALUE, 0);
    assertThat(
            MemberMessageCodec.encode(
                    MemberMessage.of(
                        longest, Long.MAX_VALUE, new MemberMessage.AgreementPayload(piece)))
                .length)
        .isLessThanOrEqualTo(MemberMessageCodec.MAX_MESSAGE_BYTES);
  }
}
