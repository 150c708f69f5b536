package tamarindroute.gateway;

import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.net.BufferPool;
import tamarindroute.net.Connection;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns the wiring of one module with its list and its stages: take in, admit, route, send, relay,
 * book. It must hold nothing of a view.
 */
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

  /** The first stage of a new client's connection. */
  ClientConnection acceptClient(Connection connection) {
    return new ClientConnection(admission, relay, bufferPool, eventLoop, connection);
  }

  /** The pool has room again. */
  void onCapacityAvailable() {
    relay.onCapacityAvailable();
  }

  void setReady(boolean isReady) {
    admission.ready(isReady);
  }

  /** Takes in no more. */
  void startDraining() {
    admission.startDraining();
  }

  /** Answers all that is in hand. */
  void finishAll() {
    admission.finishAll();
  }

  int inFlight() {
    return admission.inFlight();
  }
}
