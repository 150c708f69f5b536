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

  /** Tolerance that the protocol grants on time limits, for clock differences and rounding. */
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
      Log.info("cache-protocol-error", "source wait or load report ignored: " + e.getMessage());
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

  /** Returns the result of a response, {@code FAILED} if the response contradicts the attempt. */
  private Result verifiedResult(InFlightAttempt inFlight, CacheResponse response) {
    Result result = response.status().result();
    if (response.status() == CacheStatus.NOT_MODIFIED
        && !namesClientCopy(inFlight.pending, response)) {
      Log.info(
          "cache-protocol-error", "attempt failed: NOT_MODIFIED doesn't name the client's copy");
      return Result.FAILED;
    }
    if (result == Result.SERVED && isTooOld(inFlight.attempt, response)) {
      Log.info(
          "cache-protocol-error",
          "attempt failed: the served copy is older than the max copy age, or its time is invalid");
      return Result.FAILED;
    }
    return result;
  }

  private static boolean namesClientCopy(PendingRequest pending, CacheResponse response) {
    String copyTag = response.copyTag();
    return copyTag != null && copyTag.equals(pending.fields.clientCopyTag());
  }

  /** Whether a copy exceeds the attempt's max copy age, which is set only after a purge. */
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
   * Handles the client's deadline or the end of the gateway: attempts in flight time out, and the
   * request gets its final response.
   */
  void onDeadline(PendingRequest pending) {
    // On the outcome of the first attempt the policy may decide on another, which would be useless.
    pending.stopAttempts();
    for (InFlightAttempt inFlight : pending.inFlight()) {
      inFlight.cancel();
      onFailure(inFlight, inFlight.resultIfStarted(Result.TIMED_OUT));
    }
    if (!pending.isFinished()) {
      Log.info(
          "defect",
          "request failed: the policy left it undecided at its deadline or at the shutdown");
      fail(pending);
    }
  }

  /** Handles a client that seems to have gone: attempts not yet written are cancelled. */
  void onClientDisconnected(PendingRequest pending) {
    pending.stopAttempts();
    for (InFlightAttempt inFlight : pending.inFlight()) {
      if (!inFlight.isStarted()) {
        inFlight.cancel();
        onFailure(inFlight, Result.NOT_SENT);
      }
    }
  }

  /** Handles a client that no longer waits: the request ends without a response. */
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
   * @param retryAfter time after which the client may retry; null to send none
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
