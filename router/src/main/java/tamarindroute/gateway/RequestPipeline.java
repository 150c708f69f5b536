package tamarindroute.gateway;

import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.net.BufferPool;
import tamarindroute.net.Connection;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/** Wires the stages that a request passes to one policy and its endpoints. */
final class RequestPipeline {

  private final BufferPool bufferPool;
  private final EndpointRegistry endpoints;
  private final ResponseRelay relay;
  private final AdmissionControl admission;
  private final EventLoop eventLoop;

  RequestPipeline(
      SettingsReader settings,
      RoutingPolicy policy,
      EventLoop eventLoop,
      BufferPool bufferPool,
      EndpointRegistry endpoints)
      throws MalformedSettingsException {
    this.bufferPool = bufferPool;
    this.eventLoop = eventLoop;
    this.endpoints = endpoints;
    relay = new ResponseRelay(bufferPool, eventLoop);
    Router router = new Router(policy, eventLoop);
    OutcomeHandler outcomeHandler = new OutcomeHandler(eventLoop, policy, router);
    admission = new AdmissionControl(settings, eventLoop, router, outcomeHandler);
    outcomeHandler.connect(admission);
    router.connect(
        new AttemptSender(eventLoop, policy, endpoints, outcomeHandler, relay), outcomeHandler);
  }

  EndpointRegistry endpoints() {
    return endpoints;
  }

  /** Handler of a new client's connection. */
  ClientConnection acceptClient(Connection connection) {
    return new ClientConnection(admission, relay, bufferPool, eventLoop, connection);
  }

  /** The buffer pool has room again. */
  void onCapacityAvailable() {
    relay.onCapacityAvailable();
  }

  void setReady(boolean isReady) {
    admission.setReady(isReady);
  }

  /** From now on calls are rejected. */
  void startDraining() {
    admission.startDraining();
  }

  /** Gives every request in flight its final response now. */
  void finishAll() {
    admission.finishAll();
  }

  /** Requests in flight; may be read on any thread. */
  int inFlight() {
    return admission.inFlight();
  }
}
