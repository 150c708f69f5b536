package tamarindroute.wirehost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.policy.RatioTestPolicy;

/** The adapter on one pipe, with frames encoded and decoded by the test. */
class WireHostTest {

  private static final String SETTINGS =
      """
            Classes.count=1
            Classes.0.DeadlineNs=3000000000
            Classes.0.GoalTimeNs=600000000
            Classes.0.Semantics=pure
            FamilyInfo.MidKind=1
            FamilyInfo.Neighbours=location
            FamilyInfo.PaceKbPerS=1000.0
            FamilyInfo.StoreKind=2
            Limits.TryLimit=8
            Some.KeyOfTomorrow=x,y
            Zone=3
            """;
  private static final long START = 5_000_000_000L;

  private final ByteArrayOutputStream pipe = new ByteArrayOutputStream();
  private final ByteArrayOutputStream records = new ByteArrayOutputStream();
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
  private int count;

  private ByteBuffer record(int code) {
    return ByteBuffer.allocate(56).order(ByteOrder.LITTLE_ENDIAN).put((byte) code);
  }

  // The record is a whole array, without an offset.
  @SuppressWarnings("ByteBufferBackingArray")
  private void add(ByteBuffer record) {
    records.writeBytes(record.array());
    count++;
  }

  private void frame(long clock) {
    pipe.writeBytes(
        ByteBuffer.allocate(16)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putLong(clock)
            .putInt(records.size() + tail.size())
            .putInt(count)
            .array());
    pipe.writeBytes(records.toByteArray());
    pipe.writeBytes(tail.toByteArray());
    records.reset();
    tail.reset();
    count = 0;
  }

  private void open(int instance, String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    add(record(16).putShort((short) instance).putLong(99).putInt(tail.size()).putInt(text.length));
    tail.writeBytes(text);
  }

  /** Each cache as {id, zone, state, kind}. */
  private void list(int slot, int instance, int listKind, int[]... caches) {
    add(record(27).putInt(slot).putInt(tail.size()).putInt(caches.length));
    for (int[] cache : caches) {
      tail.writeBytes(
          ByteBuffer.allocate(21)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(cache[0])
              .put((byte) cache[1])
              .put((byte) cache[2])
              .putShort((short) 0)
              .putLong(0)
              .put((byte) cache[3])
              .putFloat(4)
              .array());
    }
    add(record(17).putShort((short) instance).putInt(slot).put((byte) listKind).putLong(1));
  }

  private void arrival(int instance, int request) {
    add(
        record(18)
            .putShort((short) instance)
            .putInt(request)
            .putShort((short) 0)
            .put((byte) 0)
            .putShort((short) 0)
            .putLong(12345)
            .putLong(3_000_000_000L)
            .putFloat(0)
            .putFloat(4)
            .putFloat(100));
  }

  private void outcome(int instance, int request, int number, int cache, int code, int closed) {
    add(
        record(20)
            .putShort((short) instance)
            .putInt(request)
            .put((byte) number)
            .putInt(cache)
            .putShort((short) code)
            .putLong(1_000_000)
            .put((byte) closed));
  }

  private ByteBuffer serve(Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new WireHost(policyFactory).serve(new ByteArrayInputStream(pipe.toByteArray()), out);
    return ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** The action records of the next reply, without its tail. */
  private static ByteBuffer[] reply(ByteBuffer out) {
    ByteBuffer[] actions = new ByteBuffer[out.getInt()];
    int length = out.getInt();
    for (int i = 0; i < actions.length; i++) {
      actions[i] = out.slice(out.position() + 40 * i, 40).order(ByteOrder.LITTLE_ENDIAN);
    }
    out.position(out.position() + length);
    return actions;
  }

  /** Code, instance, request, source and cache of an action that sends an attempt. */
  private static String describeSend(ByteBuffer action) {
    return action.get(0)
        + " "
        + action.getShort(1)
        + " "
        + action.getInt(3)
        + " "
        + action.getInt(7)
        + " "
        + action.getInt(11);
  }

  @Test
  void servesARequestFromArrivalToEnd() throws IOException {
    frame(START);
    open(7, SETTINGS);
    list(3, 7, 2, new int[] {11, 3, 2, 0}, new int[] {12, 0, 2, 1}, new int[] {13, 0, 2, 2});
    frame(START);
    arrival(7, -2);
    frame(START + 10);
    outcome(7, -2, 0, 11, 90, 0);
    frame(START + 20);
    outcome(7, -2, 1, 11, 10, 1);
    add(record(21).putShort((short) 7).putInt(-2));
    frame(START + 30);
    ByteBuffer out = serve(RatioTestPolicy::new);
    assertThat(reply(out)).isEmpty();
    assertThat(reply(out)).isEmpty();
    ByteBuffer[] lookupActions = reply(out);
    assertThat(describeSend(lookupActions[0])).isEqualTo("92 7 -2 11 11");
    assertThat(lookupActions[1].get(0)).isEqualTo((byte) 84);
    ByteBuffer[] fillActions = reply(out);
    assertThat(describeSend(fillActions[0])).isEqualTo("92 7 -2 12 11");
    assertThat(fillActions[0].get(24)).isEqualTo((byte) 1);
    assertThat(reply(out)).isEmpty();
    assertThat(out.hasRemaining()).isFalse();
  }

  @Test
  void appliesEndpointListsInOrderAndRejectsWhatCannotBeServedAtOnce() throws IOException {
    open(7, SETTINGS);
    list(0, 7, 1, new int[] {11, 3, 2, 0}, new int[] {12, 0, 2, 1});
    list(0, 7, 0, new int[] {11, 3, 1, 0});
    arrival(7, 1);
    list(0, 7, 1, new int[] {21, 3, 2, 0});
    arrival(7, 2);
    add(record(25).putShort((short) 7));
    open(7, SETTINGS);
    arrival(7, 3);
    frame(START);
    ByteBuffer[] actions = reply(serve(RatioTestPolicy::new));
    assertThat(describeSend(actions[0])).startsWith("81 7 1 ");
    assertThat(actions[1].getInt(11)).isEqualTo(21);
    assertThat(describeSend(actions[actions.length - 1])).startsWith("81 7 3 ");
  }

  @Test
  void subscribesToTheListAndAgainAfterAFailure() throws IOException {
    open(7, SETTINGS + "Discovery=subscribe\nObligations.MustAskInNs=8000000000\n");
    add(record(17).putShort((short) 7).putInt(0).put((byte) 3).putLong(0));
    frame(START);
    add(record(22).putShort((short) 7).putLong(1L << 62));
    frame(START + Duration.ofSeconds(2).toNanos());
    ByteBuffer out = serve(RatioTestPolicy::new);
    ByteBuffer[] first = reply(out);
    assertThat(first[0].get(0)).isEqualTo((byte) 90);
    assertThat(first[1].getLong(3)).isEqualTo(START + 2_000_000_000L);
    assertThat(reply(out)[0].get(0)).isEqualTo((byte) 90);
  }

  // The reply is a whole array, without an offset.
  @SuppressWarnings("ByteBufferBackingArray")
  @Test
  void reportsAFailureOfThePolicyForItsInstance() throws IOException {
    open(7, SETTINGS);
    frame(START);
    ByteBuffer out =
        serve(
            settings -> {
              throw new IllegalStateException("broken on purpose");
            });
    ByteBuffer[] actions = reply(out);
    assertThat(actions[0].get(0)).isEqualTo((byte) 89);
    assertThat(new String(out.array(), StandardCharsets.UTF_8)).contains("broken on purpose");
  }

  @Test
  void rejectsMalformedFrames() {
    assertMalformed("inside a header", new byte[5]);
    frame(START);
    byte[] lying = pipe.toByteArray();
    lying[12] = 1;
    assertMalformed("do not fit", lying);
    add(record(99));
    frame(START);
    assertMalformed("no event has the code 99", pipe.toByteArray());
    pipe.reset();
    add(record(16).putShort((short) 1).putLong(1).putInt(4).putInt(400));
    frame(START);
    assertMalformed("outside the tail", pipe.toByteArray());
    byte[] whole = pipe.toByteArray();
    assertMalformed("the input ends after", java.util.Arrays.copyOf(whole, whole.length - 7));
    pipe.reset();
    arrival(5, 1);
    frame(START);
    assertMalformed("not open", pipe.toByteArray());
  }

  private static void assertMalformed(String message, byte[] input) {
    assertThatThrownBy(
            () ->
                new WireHost(RatioTestPolicy::new)
                    .serve(new ByteArrayInputStream(input), new ByteArrayOutputStream()))
        .isInstanceOf(MalformedFrameException.class)
        .hasMessageContaining(message);
  }
}
