package tamarindroute.gateway;

import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.net.BufferPool;
import tamarindroute.net.Connection;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/** Connects the stages that a request passes with one policy and its endpoints. */
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
    this(settings, policy, eventLoop, bufferPool, endpoints, false);
  }

  /**
   * Creates a pipeline.
   *
   * @param standInCaches whether the caches are this gateway's own, which never respond twice
   */
  RequestPipeline(
      SettingsReader settings,
      RoutingPolicy policy,
      EventLoop eventLoop,
      BufferPool bufferPool,
      EndpointRegistry endpoints,
      boolean standInCaches)
      throws MalformedSettingsException {
    this.bufferPool = bufferPool;
    this.eventLoop = eventLoop;
    this.endpoints = endpoints;
    relay = new ResponseRelay(bufferPool, eventLoop);
    Router router = new Router(policy, eventLoop);
    OutcomeHandler outcomeHandler = new OutcomeHandler(eventLoop, policy, router);
    admission = new AdmissionControl(settings, eventLoop, router, outcomeHandler, standInCaches);
    outcomeHandler.connect(admission);
    router.connect(
        new AttemptSender(eventLoop, policy, endpoints, outcomeHandler, relay), outcomeHandler);
  }

  EndpointRegistry endpoints() {
    return endpoints;
  }

  /** Returns the handler for a new connection of a client. */
  ClientConnection acceptClient(Connection connection) {
    return new ClientConnection(admission, relay, bufferPool, eventLoop, connection);
  }

  /** Resumes paused connections, after the buffer pool regained room. */
  void onCapacityAvailable() {
    relay.onCapacityAvailable();
  }

  void setReady(boolean isReady) {
    admission.setReady(isReady);
  }

  /** Rejects all further calls. */
  void startDraining() {
    admission.startDraining();
  }

  /** Sends the final response of every request in flight now. */
  void finishAll() {
    admission.finishAll();
  }

  /** Returns the number of requests in flight. May be called on any thread. */
  int inFlight() {
    return admission.inFlight();
  }
}
