package tamarindroute.gateway;

import java.nio.ByteBuffer;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ResponseHandler;
import tamarindroute.protocol.CacheProtocol;
import tamarindroute.protocol.CacheRequest;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.CacheStatus;

/**
 * Fourth stage of the pipeline: sends attempts to caches, cancels them, and passes on what their
 * connections bring.
 */
final class AttemptSender {

  private final EventLoop eventLoop;
  private final RoutingPolicy policy;
  private final EndpointRegistry endpoints;
  private final OutcomeHandler outcomeHandler;
  private final ResponseRelay relay;

  AttemptSender(
      EventLoop eventLoop,
      RoutingPolicy policy,
      EndpointRegistry endpoints,
      OutcomeHandler outcomeHandler,
      ResponseRelay relay) {
    this.eventLoop = eventLoop;
    this.policy = policy;
    this.endpoints = endpoints;
    this.outcomeHandler = outcomeHandler;
    this.relay = relay;
  }

  /** Sends an attempt, at once or when a connection to its cache is up. */
  void send(PendingRequest pending, Attempt attempt) {
    InFlightAttempt inFlight = new InFlightAttempt(pending, attempt);
    pending.add(inFlight);
    endpoints.countAttempt(attempt, 1);
    inFlight.cancelOnConnection =
        endpoints
            .connectionPool(attempt.cache)
            .send(pending.id(), inFlight::start, pending.body(), pending.bodyLength, inFlight);
  }

  /** Stops waiting for an attempt if it is still in flight. */
  void cancel(PendingRequest pending, Attempt attempt) {
    InFlightAttempt inFlight = pending.inFlight(attempt);
    if (inFlight != null) {
      inFlight.cancel();
      outcomeHandler.onFailure(inFlight, inFlight.resultIfStarted(Result.CANCELLED));
    }
  }

  /** An attempt that was handed to its cache's connections and has no outcome yet. */
  final class InFlightAttempt implements ResponseHandler {

    final PendingRequest pending;
    final Attempt attempt;
    final ResponseRelay.PendingResponse clientResponse;
    private Runnable cancelOnConnection = () -> {};
    private boolean started;
    private CacheResponse head;

    InFlightAttempt(PendingRequest pending, Attempt attempt) {
      this.pending = pending;
      this.attempt = attempt;
      this.clientResponse = relay.openResponse(pending);
    }

    /** Whether the attempt was written to a connection. */
    boolean isStarted() {
      return started;
    }

    /** Notes that the attempt is written now; returns its fields, whose times count from here. */
    String start() {
      started = true;
      String fillSource = attempt.source == attempt.cache ? null : endpoints.id(attempt.source);
      return CacheProtocol.encodeRequestFields(
          new CacheRequest(
              pending.requestClassName,
              pending.fields.objectId(),
              pending.request.part,
              pending.timeLeft(eventLoop.now()),
              pending.fields.idempotencyKey(),
              fillSource,
              attempt.rank,
              attempt.maxCopyAge,
              attempt.onlyIfCached,
              attempt.revalidate,
              pending.fields.clientCopyTag()));
    }

    /** Stops waiting for the response; the outcome is for the caller to record. */
    void cancel() {
      cancelOnConnection.run();
    }

    /**
     * The result given, or that nothing was sent: an attempt that was not written can't have run.
     */
    Result resultIfStarted(Result result) {
      return started ? result : Result.NOT_SENT;
    }

    /** Ends the attempt's part in its caches' counts. */
    void release() {
      endpoints.countAttempt(attempt, -1);
    }

    /** Asks the policy again, since much may have changed while the connection came up. */
    @Override
    public boolean isStillWanted() {
      try {
        return !pending.isFinished()
            && policy.mayStillSend(pending.request, attempt, eventLoop.now());
      } catch (RuntimeException e) {
        // A failure of the policy must not keep other attempts that wait here from being written.
        Log.defect(e);
        return false;
      }
    }

    @Override
    public void onResponse(CacheResponse response, int bodyLength) {
      head = response;
      if (head.status() == CacheStatus.SERVED) {
        clientResponse.begin(head, bodyLength);
      }
    }

    @Override
    public void onBody(ByteBuffer part, Connection source) {
      if (head.status() == CacheStatus.SERVED) {
        clientResponse.append(part, source);
      }
    }

    @Override
    public void onComplete() {
      outcomeHandler.onResponse(this, head);
    }

    @Override
    public void onFailure(CloseReason reason, boolean written) {
      outcomeHandler.onFailure(this, reason.result(written));
    }
  }
}
