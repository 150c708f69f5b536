package tamarindroute.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EventLoop;
import tamarindroute.host.LoadReportParser;
import tamarindroute.log.Log;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.MalformedMessageException;

/**
 * The last stage: notes how each trip came back, tells the module, and gives each view its one
 * final answer. It must never give two, nor tell the module of an outcome twice.
 */
final class OutcomeHandler {

  /** What a cache's word means; any other is an error, after which it may have run. */
  private static final Map<String, Result> RESULTS_BY_STATUS =
      Map.of(
          "ACK",
          Result.SERVED,
          "NOMOD",
          Result.SERVED,
          "NOENT",
          Result.MISS,
          "AGAIN",
          Result.REJECTED,
          "EIO",
          Result.FAILED,
          "STALE",
          Result.DEADLINE_EXCEEDED);

  private static final Map<String, Detail> DETAILS_BY_NOTE =
      Map.of(
          "hit",
          Detail.HIT,
          "filled",
          Detail.FILLED,
          "via_origin",
          Detail.FROM_ORIGIN,
          "joined",
          Detail.COALESCED,
          "stale",
          Detail.STALE,
          "src_refused",
          Detail.SOURCE_REFUSED,
          "src_broke",
          Detail.SOURCE_FAILED,
          "src_lacks",
          Detail.SOURCE_MISS,
          "no_slot",
          Detail.FILL_CAPACITY_EXHAUSTED,
          "origin_failed",
          Detail.ORIGIN_FAILED);

  /** What a cache tells of a wait in milliseconds is within this, or it is none. */
  private static final double MAX_SOURCE_WAIT_MILLIS = 1e6;

  /** Unix milliseconds of the next millennia; what lies past them is no date. */
  private static final double MAX_UNIX_MILLIS = 1e14;

  /**
   * The protocol's allowance on all limits of time, between the clocks and roundings of two
   * machines.
   */
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

  void connect(AdmissionControl first) {
    admission = first;
  }

  /** A cache's answer has come whole. */
  void onResponse(AttemptSender.InFlightAttempt inFlightAttempt, String status, FieldList fields) {
    Result result = RESULTS_BY_STATUS.getOrDefault(status, Result.FAILED);
    Detail detail =
        DETAILS_BY_NOTE.getOrDefault(String.valueOf(fields.text("why")), Detail.UNKNOWN);
    Duration sourceWait = null;
    try {
      // Zero is no wait told, as on the simulator's wire.
      double first = fields.number("first", 0, MAX_SOURCE_WAIT_MILLIS);
      sourceWait = first == 0 ? null : Duration.ofNanos((long) (first * 1e6));
      reportLoad(inFlightAttempt, fields);
    } catch (MalformedMessageException e) {
      Log.info("cache-unreadable", e.getMessage());
    }
    boolean notModified = status.equals("NOMOD");
    if (notModified && !namesClientCopy(inFlightAttempt.pending.clientCopyTag, fields)) {
      Log.info(
          "cache-unreadable", "an answer that the client's copy holds, which is not the client's");
      result = Result.FAILED;
    }
    if (result == Result.SERVED && isTooOld(inFlightAttempt.attempt, fields)) {
      Log.info("cache-unreadable", "a copy from before a purge that the cache was told of");
      result = Result.FAILED;
    }
    if (result == Result.SERVED && !inFlightAttempt.pending.finished) {
      inFlightAttempt.response.finish(fields, notModified);
    } else {
      inFlightAttempt.response.discard();
    }
    complete(
        inFlightAttempt,
        result,
        detail,
        sourceWait,
        inFlightAttempt.pending.finished || result == Result.SERVED);
  }

  /** Whether a cache that says that the copy holds means the one that this client has. */
  private static boolean namesClientCopy(String clientCopyTag, FieldList fields) {
    String namedTag = fields.text("digest");
    return namedTag != null && namedTag.equals(clientCopyTag);
  }

  /**
   * Whether a copy is older than the trip allowed, which binds after a purge: its cache goes wrong,
   * not its view.
   */
  private boolean isTooOld(Attempt attempt, FieldList fields) {
    if (attempt.maxCopyAge == null || fields.text("dated") == null) {
      return false;
    }
    try {
      Duration createdAt =
          eventLoop.fromUnixMillis((long) fields.number("dated", 0, MAX_UNIX_MILLIS));
      return createdAt.compareTo(attempt.sentAt.minus(attempt.maxCopyAge).minus(CLOCK_TOLERANCE))
          < 0;
    } catch (MalformedMessageException e) {
      return true;
    }
  }

  private void reportLoad(AttemptSender.InFlightAttempt inFlightAttempt, FieldList fields)
      throws MalformedMessageException {
    LoadReport loadReport = LoadReportParser.parse(fields);
    if (loadReport != null) {
      policy.onLoadReport(inFlightAttempt.attempt.cache, loadReport, eventLoop.now());
    }
  }

  /** A trip came back without an answer. */
  void onFailure(AttemptSender.InFlightAttempt inFlightAttempt, Result result) {
    inFlightAttempt.response.discard();
    complete(inFlightAttempt, result, Detail.UNKNOWN, null, inFlightAttempt.pending.finished);
  }

  private void complete(
      AttemptSender.InFlightAttempt inFlightAttempt,
      Result result,
      Detail detail,
      Duration sourceWait,
      boolean requestClosed) {
    PendingRequest pending = inFlightAttempt.pending;
    if (!pending.inFlight.remove(inFlightAttempt)) {
      return;
    }
    if (requestClosed) {
      markFinished(pending);
    }
    inFlightAttempt.attempt.outcome =
        new Outcome(
            result,
            detail,
            eventLoop.now().minus(inFlightAttempt.attempt.sentAt),
            sourceWait,
            requestClosed);
    router.onOutcome(pending, inFlightAttempt.attempt);
    inFlightAttempt.release();
    if (pending.finished && pending.inFlight.isEmpty()) {
      pending.releaseBody();
    }
  }

  /** The client's time is over: what is out is too late, and the final answer is due. */
  void onDeadline(PendingRequest pending) {
    // Told of the first trip's end the module may name another, which nobody would wait for.
    pending.noFurtherAttempts = true;
    for (AttemptSender.InFlightAttempt inFlightAttempt : List.copyOf(pending.inFlight)) {
      inFlightAttempt.cancel();
      inFlightAttempt.response.discard();
      complete(
          inFlightAttempt,
          inFlightAttempt.resultIfStarted(Result.TIMED_OUT),
          Detail.UNKNOWN,
          null,
          pending.finished);
    }
    if (!pending.finished) {
      Log.info("defect", "no final answer at the cut-off");
      fail(pending);
    }
  }

  /**
   * The client seems to have gone: a trip that waits for its connection ends now, and none more is
   * begun.
   */
  void onClientDisconnected(PendingRequest pending) {
    pending.noFurtherAttempts = true;
    for (AttemptSender.InFlightAttempt inFlightAttempt : List.copyOf(pending.inFlight)) {
      if (!inFlightAttempt.started) {
        inFlightAttempt.cancel();
        onFailure(inFlightAttempt, Result.NOT_SENT);
      }
    }
  }

  void onClientCancelled(PendingRequest pending) {
    markFinished(pending);
    for (AttemptSender.InFlightAttempt inFlightAttempt : List.copyOf(pending.inFlight)) {
      inFlightAttempt.cancel();
      onFailure(inFlightAttempt, inFlightAttempt.resultIfStarted(Result.CANCELLED));
    }
    if (pending.inFlight.isEmpty()) {
      pending.releaseBody();
    }
  }

  void reject(PendingRequest pending, Duration retryAfter) {
    pending.client.responses.send(
        pending.tag,
        "NAK",
        new FieldList()
            .with("backoff", retryAfter == null ? null : Math.max(1, retryAfter.toMillis())));
    finish(pending);
  }

  void fail(PendingRequest pending) {
    pending.client.responses.send(pending.tag, "FAIL");
    finish(pending);
  }

  private void finish(PendingRequest pending) {
    markFinished(pending);
    if (pending.inFlight.isEmpty()) {
      pending.releaseBody();
    }
  }

  private void markFinished(PendingRequest pending) {
    if (!pending.finished) {
      pending.finished = true;
      pending.decisionTimer.run();
      pending.deadlineTimer.run();
      admission.onRequestFinished(pending);
    }
  }
}
