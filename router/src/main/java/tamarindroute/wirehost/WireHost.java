package tamarindroute.wirehost;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Settings;
import tamarindroute.settings.SettingsReader;

/** Hosts many gateways on one pipe of the simulator's wire; they share nothing but the pipe. */
public final class WireHost {

  private static final int LISTS = 16;
  private static final int ENTRY = 21;

  private final Function<Settings, Decisions> module;
  private final Map<Integer, Gateway> gateways = new HashMap<>();
  private final byte[][] lists = new byte[LISTS][];
  private final Reply reply = new Reply();

  public WireHost(Function<Settings, Decisions> module) {
    this.module = module;
  }

  /** Answers every batch until the input ends. */
  public void serve(InputStream input, OutputStream output) throws IOException {
    InputStream in = new BufferedInputStream(input, 1 << 16);
    OutputStream out = new BufferedOutputStream(output, 1 << 16);
    for (Frame frame = Frame.read(in); frame != null; frame = Frame.read(in)) {
      for (int i = 0; i < frame.count; i++) {
        take(frame, frame.record(i));
      }
      reply.flush(out);
    }
  }

  private void take(Frame frame, ByteBuffer record) throws IOException {
    int code = record.get(0);
    if (code == 27) {
      define(frame, record);
      return;
    }
    if (code < 16 || code > 26) {
      throw new MalformedFrameException(
          "no event has the code " + Byte.toUnsignedInt(record.get(0)));
    }
    int instance = Short.toUnsignedInt(record.getShort(1));
    if (code == 16) {
      SettingsReader settings = SettingsReader.ofLines(Frame.text(frame.tail(record, 11, 1)));
      Settings told = settings.settings(record.getLong(3));
      guarded(
          instance,
          () ->
              gateways.put(
                  instance,
                  new Gateway(instance, frame.clock, settings, module.apply(told), reply)));
      return;
    }
    Gateway gateway = gateways.get(instance);
    if (gateway == null) {
      throw new MalformedFrameException(
          "an event of code " + code + " for instance " + instance + ", which is not open");
    }
    if (code == 25) {
      gateways.remove(instance);
      return;
    }
    ByteBuffer list = code == 17 && record.get(7) != 3 ? list(record.getInt(3)) : null;
    guarded(instance, () -> gateway.take(code, record, list, frame.clock));
  }

  private interface Step {
    void run() throws IOException;
  }

  /** A failure inside the decisions is declared for the instance, with its cause. */
  private void guarded(int instance, Step step) throws IOException {
    try {
      step.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      reply.crash(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }

  private void define(Frame frame, ByteBuffer record) throws MalformedFrameException {
    int slot = record.getInt(1);
    if (slot < 0 || slot >= LISTS) {
      throw new MalformedFrameException("no list has the number " + Integer.toUnsignedString(slot));
    }
    ByteBuffer entries = frame.tail(record, 5, ENTRY);
    lists[slot] = new byte[entries.remaining()];
    entries.get(lists[slot]);
  }

  private ByteBuffer list(int slot) throws MalformedFrameException {
    if (slot < 0 || slot >= LISTS || lists[slot] == null) {
      throw new MalformedFrameException(
          "list " + Integer.toUnsignedString(slot) + " is not defined");
    }
    return ByteBuffer.wrap(lists[slot]).order(ByteOrder.LITTLE_ENDIAN);
  }
}
