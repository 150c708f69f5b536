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

/**
 * Hosts many gateways of the simulator on one pipe: reads frames of events and writes a frame of
 * actions for each. The gateways share nothing but the pipe.
 */
public final class WireHost {

  private static final int PIPE_BUFFER_BYTES = 1 << 16;

  /** Lists of caches that are defined at the same time, by their numbers. */
  private static final int LIST_SLOTS = 16;

  private final Function<PolicySettings, RoutingPolicy> policyFactory;
  private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();
  private final byte[][] lists = new byte[LIST_SLOTS][];
  private final ActionWriter actions = new ActionWriter();

  /**
   * Creates a host without gateways.
   *
   * @param policyFactory creates the policy of each gateway
   */
  public WireHost(Function<PolicySettings, RoutingPolicy> policyFactory) {
    this.policyFactory = policyFactory;
  }

  /**
   * Answers frames until the input ends.
   *
   * @throws MalformedFrameException if the input is not in the simulator's format
   * @throws IOException if the input or the output fails
   */
  public void serve(InputStream input, OutputStream output) throws IOException {
    InputStream in = new BufferedInputStream(input, PIPE_BUFFER_BYTES);
    OutputStream out = new BufferedOutputStream(output, PIPE_BUFFER_BYTES);
    for (EventFrame frame = EventFrame.read(in); frame != null; frame = EventFrame.read(in)) {
      for (int i = 0; i < frame.recordCount; i++) {
        dispatch(frame, new EventRecord(frame.record(i)));
      }
      actions.flush(out);
    }
  }

  private void dispatch(EventFrame frame, EventRecord event) throws IOException {
    EventCode code = event.code();
    switch (code) {
      case DEFINE_LIST -> defineList(frame, event);
      case OPEN_INSTANCE -> open(frame, event);
      case CLOSE_INSTANCE -> {
        gateway(code, event);
        gateways.remove(event.instance());
      }
      case ENDPOINTS_CHANGED -> changeEndpoints(frame, event, gateway(code, event));
      default -> {
        SimulatedGateway gateway = gateway(code, event);
        runGuarded(event.instance(), () -> gateway.handleEvent(code, event, frame.clockNanos));
      }
    }
  }

  private void open(EventFrame frame, EventRecord event) throws IOException {
    int instance = event.instance();
    SettingsReader settings = SettingsReader.ofLines(event.settings(frame));
    PolicySettings policySettings = settings.settings(event.seed());
    runGuarded(
        instance,
        () -> {
          RoutingPolicy policy = policyFactory.apply(policySettings);
          gateways.put(
              instance,
              new SimulatedGateway(instance, frame.clockNanos, settings, policy, actions));
        });
  }

  private SimulatedGateway gateway(EventCode code, EventRecord event)
      throws MalformedFrameException {
    SimulatedGateway gateway = gateways.get(event.instance());
    if (gateway == null) {
      throw new MalformedFrameException(
          "an event " + code + " is for instance " + event.instance() + ", which is not open");
    }
    return gateway;
  }

  private void changeEndpoints(EventFrame frame, EventRecord event, SimulatedGateway gateway)
      throws IOException {
    EndpointListKind kind = event.listKind();
    if (kind == EndpointListKind.FAILED) {
      runGuarded(event.instance(), () -> gateway.onEndpointsFailed(frame.clockNanos));
      return;
    }
    ByteBuffer entries = list(event.slot());
    runGuarded(event.instance(), () -> gateway.onEndpoints(kind, entries, frame.clockNanos));
  }

  private interface EventStep {
    void run() throws IOException;
  }

  /** Reports an exception in the policy to the simulator, with its cause, for the instance. */
  private void runGuarded(int instance, EventStep step) throws IOException {
    try {
      step.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      actions.reportFailure(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }

  private void defineList(EventFrame frame, EventRecord event) throws MalformedFrameException {
    int slot = event.definedSlot();
    if (slot < 0 || slot >= LIST_SLOTS) {
      throw new MalformedFrameException(
          "list number " + Integer.toUnsignedString(slot) + " is not below " + LIST_SLOTS);
    }
    ByteBuffer entries = event.definedEntries(frame);
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
