package tamarindroute.wirehost;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;

/** The bytes of the simulator's frames. */
class SimulatorWireFormatTest {

  private static final String PADDING = "00".repeat(40);

  private final ActionWriter actions = new ActionWriter();

  /** A record written as its first bytes; the rest is zero. */
  private static String record(String start) {
    String bytes = start.replace(" ", "");
    return bytes + PADDING.substring(bytes.length());
  }

  private String flushed() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    actions.flush(out);
    return HexFormat.of().formatHex(out.toByteArray());
  }

  @Test
  void actionsKeepTheirFormat() throws Exception {
    Cache cache = new Cache(0x01020304L);
    Cache source = new Cache(0x0a0b0c0dL);
    actions.send(7, -2, new Attempt(cache, cache, 0, null, true, false, null));
    actions.send(
        7, 3, new Attempt(cache, source, 2, Duration.ofNanos(0x1122334455L), true, true, null));
    actions.send(7, 3, new Attempt(cache, source, 0, Duration.ZERO, false, false, null));
    actions.send(7, 3, new Attempt(cache, source, 0, null, false, true, null));
    actions.cancel(7, 3, 200);
    actions.reject(7, 3, Duration.ofMillis(500));
    actions.reject(7, 3, null);
    actions.fail(7, 3);
    actions.setTimer(0x0107, 5_000_000_000L, 1L << 62);
    actions.subscribeToList(7);
    actions.reportFailure(7, "broken");
    assertThat(flushed())
        .isEqualTo(
            "0b000000"
                + "be010000"
                + record("50 0700 feffffff 04030201")
                + record("5c 0700 03000000 0d0c0b0a 04030201 5544332211000000 0a 02")
                + record("5c 0700 03000000 0d0c0b0a 04030201 0100000000000000 00 00")
                + record("5c 0700 03000000 0d0c0b0a 04030201 0000000000000000 08 00")
                + record("53 0700 03000000 c8")
                + record("51 0700 03000000 0065cd1d00000000")
                + record("51 0700 03000000")
                + record("52 0700 03000000")
                + record("54 0701 00f2052a01000000 0000000000000040")
                + record("5a 0700 01")
                + record("59 0700 00000000 06000000")
                + "62726f6b656e");
    assertThat(flushed()).as("the next frame is empty").isEqualTo("0000000000000000");
  }

  @Test
  void eventFramesKeepTheirFormat() throws Exception {
    String first = "11".repeat(11) + "02000000" + "03000000" + "22".repeat(37);
    String second = "33".repeat(56);
    byte[] bytes =
        HexFormat.of()
            .parseHex(
                "00f2052a01000000" + "76000000" + "02000000" + first + second + "414248c3a94b");
    ByteArrayInputStream in = new ByteArrayInputStream(bytes);
    EventFrame frame = EventFrame.read(in);
    assertThat(frame.clockNanos).isEqualTo(5_000_000_000L);
    assertThat(frame.recordCount).isEqualTo(2);
    byte[] record = new byte[56];
    frame.record(1).get(record);
    assertThat(HexFormat.of().formatHex(record)).isEqualTo(second);
    assertThat(EventFrame.text(frame.tail(frame.record(0), 11, 1))).isEqualTo("H\u00e9");
    assertThat(EventFrame.read(in)).isNull();
  }
}
