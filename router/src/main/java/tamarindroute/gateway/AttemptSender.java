package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ResponseHandler;
import tamarindroute.protocol.FieldList;

/**
 * The fourth stage: writes a trip to its cache as the protocol spells it, and owns it while it is
 * out. It must never send what the module did not ask for, nor a trip twice.
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

  /** A trip that is out. */
  final class InFlightAttempt implements ResponseHandler {

    final PendingRequest pending;
    final Attempt attempt;
    final ResponseRelay.PendingResponse response;
    private Runnable cancel = () -> {};

    /** Whether it has been written, as far as a connection takes it. */
    boolean started;

    private String status;
    private FieldList responseFields;

    InFlightAttempt(PendingRequest pending, Attempt attempt) {
      this.pending = pending;
      this.attempt = attempt;
      this.response = relay.openResponse(pending);
    }

    void cancel() {
      cancel.run();
    }

    /** What never got a connection to be written to cannot have run, whatever ends it. */
    Result resultIfStarted(Result result) {
      return started ? result : Result.NOT_SENT;
    }

    /** It has come back, and the module knows. */
    void release() {
      endpoints.countAttempt(attempt, -1);
    }

    /**
     * Much may have been told while the connection came up; a defect in the module must cost this
     * trip alone.
     */
    @Override
    public boolean isStillWanted() {
      try {
        return !pending.finished && policy.mayStillSend(pending.request, attempt, eventLoop.now());
      } catch (RuntimeException e) {
        Log.defect(e);
        return false;
      }
    }

    @Override
    public void onResponse(String responseStatus, FieldList receivedFields, int length) {
      status = responseStatus;
      responseFields = receivedFields;
      if (responseStatus.equals("ACK")) {
        response.begin(receivedFields, length);
      }
    }

    @Override
    public void onBody(ByteBuffer part, Connection from) {
      if (status.equals("ACK")) {
        response.append(part, from);
      }
    }

    @Override
    public void onComplete() {
      outcomeHandler.onResponse(this, status, responseFields);
    }

    @Override
    public void onFailure(CloseReason closeReason, boolean written) {
      outcomeHandler.onFailure(this, closeReason.result(written));
    }
  }

  void send(PendingRequest pending, Attempt attempt) {
    InFlightAttempt inFlightAttempt = new InFlightAttempt(pending, attempt);
    pending.inFlight.add(inFlightAttempt);
    endpoints.countAttempt(attempt, 1);
    inFlightAttempt.cancel =
        endpoints
            .connectionPool(attempt.cache)
            .send(
                pending.id,
                () -> requestFields(inFlightAttempt),
                pending.body,
                pending.bodyLength,
                inFlightAttempt);
  }

  /** As of now, when they are written: the connection may have come up late. */
  private String requestFields(InFlightAttempt inFlightAttempt) {
    inFlightAttempt.started = true;
    PendingRequest pending = inFlightAttempt.pending;
    Attempt attempt = inFlightAttempt.attempt;
    Duration timeLeft = pending.timeLeft(eventLoop.now());
    return new FieldList()
        .with("lane", pending.requestClassName)
        .with("name", pending.objectId)
        .with("piece", pending.request.part)
        .with("ttl", Math.max(1, timeLeft.toMillis()))
        .with("dedupe", pending.idempotencyKey)
        .with("parent", attempt.source == attempt.cache ? null : endpoints.id(attempt.source))
        .with("shelf", attempt.rank == 0 ? null : attempt.rank)
        .with(
            "accept",
            attempt.maxCopyAge == null ? null : Math.max(1, attempt.maxCopyAge.toMillis()))
        .with("hints", hints(attempt))
        .with("got", pending.clientCopyTag)
        .format("-");
  }

  private static String hints(Attempt attempt) {
    String joined =
        (attempt.onlyIfCached ? "+local" : "") + (attempt.revalidate ? "+revalidate" : "");
    return joined.isEmpty() ? null : joined.substring(1);
  }

  /**
   * Stops waiting for a trip, where it is still out; one that never got a connection cannot have
   * run.
   */
  void cancel(PendingRequest pending, Attempt attempt) {
    for (InFlightAttempt inFlightAttempt : pending.inFlight) {
      if (inFlightAttempt.attempt == attempt) {
        inFlightAttempt.cancel();
        outcomeHandler.onFailure(
            inFlightAttempt, inFlightAttempt.resultIfStarted(Result.CANCELLED));
        return;
      }
    }
  }
}
