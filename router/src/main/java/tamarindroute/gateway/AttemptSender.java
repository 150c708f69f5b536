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
import tamarindroute.net.UsedConnections;
import tamarindroute.protocol.CacheProtocol;
import tamarindroute.protocol.CacheRequest;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.CacheStatus;

/**
 * Fourth stage of the pipeline: sends attempts to caches, cancels them, and passes responses and
 * connection failures to the next stages.
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

  /** Sends an attempt at once, or as soon as a connection to its cache is open. */
  void send(PendingRequest pending, Attempt attempt) {
    InFlightAttempt inFlight = new InFlightAttempt(pending, attempt);
    pending.add(inFlight);
    endpoints.countAttempt(attempt, 1);
    inFlight.cancelOnConnection =
        endpoints
            .connectionPool(attempt.cache)
            .send(pending.id(), inFlight::start, pending.body(), pending.bodyLength, inFlight);
  }

  /** Cancels an attempt if it is still in flight, and records its outcome. */
  void cancel(PendingRequest pending, Attempt attempt) {
    InFlightAttempt inFlight = pending.inFlight(attempt);
    if (inFlight != null) {
      inFlight.cancel();
      outcomeHandler.onFailure(inFlight, inFlight.resultIfStarted(Result.CANCELLED));
    }
  }

  /** An attempt that was handed to its cache's connection pool and has no outcome yet. */
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

    /**
     * Marks the attempt as written and returns its encoded fields. Relative times in the fields
     * count from now, since the connection may have opened well after the decision.
     */
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

    /** Stops waiting for the response. The caller records the outcome. */
    void cancel() {
      cancelOnConnection.run();
    }

    /**
     * Returns the given result if the attempt was written, otherwise {@code NOT_SENT}: a cache
     * can't have run an attempt that was never written to a connection.
     */
    Result resultIfStarted(Result result) {
      return started ? result : Result.NOT_SENT;
    }

    /** Removes the attempt from its caches' counts of attempts in flight. */
    void release() {
      endpoints.countAttempt(attempt, -1);
    }

    /**
     * Whether the policy still allows the attempt. Endpoints and purges may have changed while the
     * connection was being opened.
     */
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
    public UsedConnections usedConnections() {
      return pending.usedConnections();
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
