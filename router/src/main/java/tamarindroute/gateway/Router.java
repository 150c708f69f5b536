package tamarindroute.gateway;

import java.time.Duration;
import java.util.function.Supplier;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;

/**
 * Third stage of the pipeline: has the policy decide what to do with a request, carries the
 * decision out, and sets the timer of the next decision.
 */
final class Router {

  /**
   * Most attempts of one request that are decided on but not sent. This is far above the attempts
   * that settings allow, so a policy that exceeds it is taken to be in an endless loop.
   */
  private static final int MAX_UNSENT_ATTEMPTS = 16;

  private final RoutingPolicy policy;
  private final EventLoop eventLoop;
  private AttemptSender sender;
  private OutcomeHandler outcomeHandler;

  Router(RoutingPolicy policy, EventLoop eventLoop) {
    this.policy = policy;
    this.eventLoop = eventLoop;
  }

  /** Sets the stages that carry decisions out. */
  void connect(AttemptSender attemptSender, OutcomeHandler handler) {
    sender = attemptSender;
    outcomeHandler = handler;
  }

  /** Routes a request that is new or whose decision timer has fired. */
  void route(PendingRequest pending) {
    execute(pending, decide(() -> policy.route(pending.request, eventLoop.now())));
  }

  /** Reports an attempt's outcome to the policy and executes the decision that follows. */
  void onOutcome(PendingRequest pending, Attempt attempt) {
    execute(pending, decide(() -> policy.onOutcome(pending.request, attempt, eventLoop.now())));
  }

  /**
   * Returns the policy's decision, or {@code Fail} if the policy throws an exception. A defect in
   * the policy then costs one request, which still gets its one response.
   */
  private static Decision decide(Supplier<Decision> question) {
    try {
      return question.get();
    } catch (RuntimeException e) {
      Log.defect(e);
      return new Decision.Fail();
    }
  }

  private void execute(PendingRequest pending, Decision decision) {
    pending.stopDecisionTimer();
    if (decision instanceof Decision.Cancel cancel) {
      sender.cancel(pending, cancel.attempt());
    } else if (pending.isFinished()) {
      return;
    } else if (decision instanceof Attempt attempt) {
      start(pending, attempt);
    } else if (decision instanceof Decision.Reject reject) {
      outcomeHandler.reject(pending, reject.retryAfter());
    } else if (decision instanceof Decision.Fail) {
      outcomeHandler.fail(pending);
    }
    if (!pending.isFinished()) {
      scheduleNextDecision(pending);
    }
  }

  private void start(PendingRequest pending, Attempt attempt) {
    boolean stopped = pending.areAttemptsStopped() || pending.client.isAbandoned();
    attempt.sentAt = eventLoop.now();
    pending.request.attempts.add(attempt);
    if (stopped) {
      reportUnsent(pending, attempt);
    } else {
      sender.send(pending, attempt);
    }
  }

  /**
   * Reports an attempt that must not begin as not sent. The policy decides again until it rejects
   * or fails the request, since only the policy can tell whether a rejection is safe.
   */
  private void reportUnsent(PendingRequest pending, Attempt attempt) {
    pending.stopAttempts();
    attempt.outcome =
        new Outcome(Outcome.Result.NOT_SENT, Outcome.Detail.UNKNOWN, Duration.ZERO, null, false);
    if (pending.countUnsentAttempt() > MAX_UNSENT_ATTEMPTS) {
      outcomeHandler.fail(pending);
    } else {
      onOutcome(pending, attempt);
    }
  }

  private void scheduleNextDecision(PendingRequest pending) {
    Duration delay = policy.nextDecisionDelay(pending.request, eventLoop.now());
    if (delay == null) {
      pending.stopDecisionTimer();
    } else {
      pending.setDecisionTimer(eventLoop.schedule(delay, () -> route(pending)));
    }
  }
}
