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
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.settings.SettingsReader;

/** Hosts many gateways on one pipe of the simulator's wire; they share nothing but the pipe. */
public final class WireHost {

  private static final int LIST_SLOTS = 16;
  private static final int LIST_ENTRY_BYTES = 21;

  private final Function<PolicySettings, RoutingPolicy> policyFactory;
  private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();
  private final byte[][] lists = new byte[LIST_SLOTS][];
  private final ActionWriter actions = new ActionWriter();

  public WireHost(Function<PolicySettings, RoutingPolicy> policyFactory) {
    this.policyFactory = policyFactory;
  }

  /** Answers every batch until the input ends. */
  public void serve(InputStream input, OutputStream output) throws IOException {
    InputStream in = new BufferedInputStream(input, 1 << 16);
    OutputStream out = new BufferedOutputStream(output, 1 << 16);
    for (EventFrame frame = EventFrame.read(in); frame != null; frame = EventFrame.read(in)) {
      for (int i = 0; i < frame.recordCount; i++) {
        dispatch(frame, frame.record(i));
      }
      actions.flush(out);
    }
  }

  private void dispatch(EventFrame frame, ByteBuffer record) throws IOException {
    int code = record.get(0);
    if (code == 27) {
      defineList(frame, record);
      return;
    }
    if (code < 16 || code > 26) {
      throw new MalformedFrameException(
          "no event has the code " + Byte.toUnsignedInt(record.get(0)));
    }
    int instance = Short.toUnsignedInt(record.getShort(1));
    if (code == 16) {
      SettingsReader settings = SettingsReader.ofLines(EventFrame.text(frame.tail(record, 11, 1)));
      PolicySettings gatewaySettings = settings.settings(record.getLong(3));
      runGuarded(
          instance,
          () ->
              gateways.put(
                  instance,
                  new SimulatedGateway(
                      instance,
                      frame.clockNanos,
                      settings,
                      policyFactory.apply(gatewaySettings),
                      actions)));
      return;
    }
    SimulatedGateway gateway = gateways.get(instance);
    if (gateway == null) {
      throw new MalformedFrameException(
          "an event of code " + code + " for instance " + instance + ", which is not open");
    }
    if (code == 25) {
      gateways.remove(instance);
      return;
    }
    ByteBuffer list = code == 17 && record.get(7) != 3 ? list(record.getInt(3)) : null;
    runGuarded(instance, () -> gateway.handleEvent(code, record, list, frame.clockNanos));
  }

  private interface EventStep {
    void run() throws IOException;
  }

  /** A failure inside the decisions is declared for the instance, with its cause. */
  private void runGuarded(int instance, EventStep step) throws IOException {
    try {
      step.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      actions.reportFailure(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }

  private void defineList(EventFrame frame, ByteBuffer record) throws MalformedFrameException {
    int slot = record.getInt(1);
    if (slot < 0 || slot >= LIST_SLOTS) {
      throw new MalformedFrameException("no list has the number " + Integer.toUnsignedString(slot));
    }
    ByteBuffer entries = frame.tail(record, 5, LIST_ENTRY_BYTES);
    lists[slot] = new byte[entries.remaining()];
    entries.get(lists[slot]);
  }

  private ByteBuffer list(int slot) throws MalformedFrameException {
    if (slot < 0 || slot >= LIST_SLOTS || lists[slot] == null) {
      throw new MalformedFrameException(
          "list " + Integer.toUnsignedString(slot) + " is not defined");
    }
    return ByteBuffer.wrap(lists[slot]).order(ByteOrder.LITTLE_ENDIAN);
  }
}
