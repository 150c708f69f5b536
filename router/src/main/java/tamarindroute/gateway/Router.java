package tamarindroute.gateway;

import java.time.Duration;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;

/**
 * The third stage: asks the module where a view goes, carries out the answer, and sets the timer
 * for the next question. It must never answer in the module's stead, but where that has failed.
 */
final class Router {

  /**
   * More attempts than settings allow one request; past it the module is taken to name them without
   * end.
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

  void connect(AttemptSender attemptSender, OutcomeHandler handler) {
    sender = attemptSender;
    outcomeHandler = handler;
  }

  void route(PendingRequest pending) {
    execute(pending, () -> policy.route(pending.request, eventLoop.now()));
  }

  /** The module is told of a trip's outcome and says what follows. */
  void onOutcome(PendingRequest pending, Attempt attempt) {
    execute(pending, () -> policy.onOutcome(pending.request, attempt, eventLoop.now()));
  }

  /**
   * An attempt that must not begin: the module has counted it, and is told that it was not sent,
   * until it gives the view up in its own words; whether that is harmless is the module's to say.
   */
  private void reportUnsent(PendingRequest pending, Attempt attempt) {
    pending.noFurtherAttempts = true;
    attempt.sentAt = eventLoop.now();
    pending.request.attempts.add(attempt);
    attempt.outcome =
        new Outcome(Outcome.Result.NOT_SENT, Outcome.Detail.UNKNOWN, Duration.ZERO, null, false);
    if (++pending.unsentAttempts > MAX_UNSENT_ATTEMPTS) {
      outcomeHandler.fail(pending);
    } else {
      onOutcome(pending, attempt);
    }
  }

  private interface PolicyCall {
    Decision decide();
  }

  private void execute(PendingRequest pending, PolicyCall policyCall) {
    Decision decision;
    try {
      decision = policyCall.decide();
    } catch (RuntimeException e) {
      // A defect must cost one view, which still gets its one answer, and promises nothing.
      Log.defect(e);
      decision = new Decision.Fail();
    }
    pending.decisionTimer.run();
    if (decision instanceof Decision.Cancel cancel) {
      sender.cancel(pending, cancel.attempt());
    } else if (pending.finished) {
      return;
    } else if (decision instanceof Attempt attempt
        && (pending.noFurtherAttempts || pending.client.responses.connection.isAbandoned())) {
      reportUnsent(pending, attempt);
    } else if (decision instanceof Attempt attempt) {
      attempt.sentAt = eventLoop.now();
      pending.request.attempts.add(attempt);
      sender.send(pending, attempt);
    } else if (decision instanceof Decision.Reject reject) {
      outcomeHandler.reject(pending, reject.retryAfter());
    } else if (decision instanceof Decision.Fail) {
      outcomeHandler.fail(pending);
    }
    if (!pending.finished) {
      Duration delay = policy.nextDecisionDelay(pending.request, eventLoop.now());
      pending.decisionTimer.run();
      if (delay != null) {
        pending.decisionTimer = eventLoop.schedule(delay, () -> route(pending));
      }
    }
  }
}
