package tamarindroute.gateway;

import java.time.Duration;
import java.util.OptionalLong;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.gateway.AttemptSender.InFlightAttempt;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.CacheStatus;
import tamarindroute.protocol.ClientProtocol;
import tamarindroute.protocol.ClientStatus;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Last stage of the pipeline: records the outcome of each attempt, reports it to the policy once,
 * and gives each request its one final response.
 */
final class OutcomeHandler {

  /** The protocol's allowance on time limits, for the clocks and roundings of two machines. */
  private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(50);

  private final EventLoop eventLoop;
  private final RoutingPolicy policy;
  private final Router router;
  private AdmissionControl admission;

  OutcomeHandler(EventLoop eventLoop, RoutingPolicy policy, Router router) {
    this.eventLoop = eventLoop;
    this.policy = policy;
    this.router = router;
  }

  /** Sets the stage that is notified when a request is finished. */
  void connect(AdmissionControl admissionControl) {
    admission = admissionControl;
  }

  /** Handles a cache's whole response. */
  void onResponse(InFlightAttempt inFlight, CacheResponse response) {
    Duration sourceWait = null;
    try {
      sourceWait = response.sourceWait().orElse(null);
      reportLoad(inFlight.attempt, response);
    } catch (MalformedMessageException e) {
      Log.info("cache-protocol-error", e.getMessage());
    }
    Result result = verifiedResult(inFlight, response);
    boolean served = result == Result.SERVED;
    boolean finished = inFlight.pending.isFinished();
    if (served && !finished) {
      inFlight.clientResponse.finish(response);
    } else {
      inFlight.clientResponse.discard();
    }
    complete(inFlight, result, response.detail(), sourceWait, finished || served);
  }

  private void reportLoad(Attempt attempt, CacheResponse response)
      throws MalformedMessageException {
    response
        .loadReport()
        .ifPresent(report -> policy.onLoadReport(attempt.cache, report, eventLoop.now()));
  }

  /** Result of a response; one that claims what can't be is a failure of its cache. */
  private Result verifiedResult(InFlightAttempt inFlight, CacheResponse response) {
    Result result = response.status().result();
    if (response.status() == CacheStatus.NOT_MODIFIED
        && !namesClientCopy(inFlight.pending, response)) {
      Log.info("cache-protocol-error", "not modified, but the copy named is not the client's");
      return Result.FAILED;
    }
    if (result == Result.SERVED && isTooOld(inFlight.attempt, response)) {
      Log.info("cache-protocol-error", "a copy from before a purge that the cache was told of");
      return Result.FAILED;
    }
    return result;
  }

  private static boolean namesClientCopy(PendingRequest pending, CacheResponse response) {
    String copyTag = response.copyTag();
    return copyTag != null && copyTag.equals(pending.fields.clientCopyTag());
  }

  /** Whether a copy is older than the attempt allowed, which is bounded after a purge only. */
  private boolean isTooOld(Attempt attempt, CacheResponse response) {
    if (attempt.maxCopyAge == null) {
      return false;
    }
    try {
      OptionalLong createdUnixMillis = response.copyCreatedUnixMillis();
      if (createdUnixMillis.isEmpty()) {
        return false;
      }
      Duration created = eventLoop.fromUnixMillis(createdUnixMillis.getAsLong());
      Duration oldest = attempt.sentAt.minus(attempt.maxCopyAge).minus(CLOCK_TOLERANCE);
      return created.compareTo(oldest) < 0;
    } catch (MalformedMessageException e) {
      return true;
    }
  }

  /** Handles an attempt that ended without a response. */
  void onFailure(InFlightAttempt inFlight, Result result) {
    inFlight.clientResponse.discard();
    complete(inFlight, result, Detail.UNKNOWN, null, inFlight.pending.isFinished());
  }

  private void complete(
      InFlightAttempt inFlight,
      Result result,
      Detail detail,
      Duration sourceWait,
      boolean requestCompleted) {
    PendingRequest pending = inFlight.pending;
    if (!pending.remove(inFlight)) {
      return;
    }
    if (requestCompleted) {
      finish(pending);
    }
    Attempt attempt = inFlight.attempt;
    Duration duration = eventLoop.now().minus(attempt.sentAt);
    attempt.outcome = new Outcome(result, detail, duration, sourceWait, requestCompleted);
    router.onOutcome(pending, attempt);
    inFlight.release();
  }

  /**
   * Handles the client's deadline, or the gateway's end: what is in flight is too late, and the
   * response is due.
   */
  void onDeadline(PendingRequest pending) {
    pending.stopAttempts();
    for (InFlightAttempt inFlight : pending.inFlight()) {
      inFlight.cancel();
      onFailure(inFlight, inFlight.resultIfStarted(Result.TIMED_OUT));
    }
    if (!pending.isFinished()) {
      Log.info("defect", "no final response at the deadline");
      fail(pending);
    }
  }

  /** Handles a client that seems to have gone: only attempts that were written go on. */
  void onClientDisconnected(PendingRequest pending) {
    pending.stopAttempts();
    for (InFlightAttempt inFlight : pending.inFlight()) {
      if (!inFlight.isStarted()) {
        inFlight.cancel();
        onFailure(inFlight, Result.NOT_SENT);
      }
    }
  }

  /** Handles a client that no longer waits: it gets no response. */
  void onClientCancelled(PendingRequest pending) {
    finish(pending);
    for (InFlightAttempt inFlight : pending.inFlight()) {
      inFlight.cancel();
      onFailure(inFlight, inFlight.resultIfStarted(Result.CANCELLED));
    }
  }

  /**
   * Tells the client that nothing ran.
   *
   * @param retryAfter how long the client should stay away; null for no advice
   */
  void reject(PendingRequest pending, Duration retryAfter) {
    pending.client.responses.send(ClientProtocol.encodeRejection(pending.tag, retryAfter));
    finish(pending);
  }

  /** Tells the client that the request failed and may have run. */
  void fail(PendingRequest pending) {
    pending.client.responses.send(ClientProtocol.encodeResponse(pending.tag, ClientStatus.FAILED));
    finish(pending);
  }

  private void finish(PendingRequest pending) {
    if (pending.finish()) {
      admission.onRequestFinished(pending);
    }
  }
}
