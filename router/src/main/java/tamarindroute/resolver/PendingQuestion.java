package tamarindroute.resolver;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.xbill.DNS.Message;
import tamarindroute.log.Log;

/** A question in flight, with its attempts and all callers that wait for its result. */
final class PendingQuestion {

  private static final int MAX_ATTEMPTS = 3;

  /** Time after which waiting callers get a stale answer; RFC 8767 suggests 1.8 s at most. */
  private static final Duration STALE_AFTER = Duration.ofMillis(800);

  private final ResolverContext context;
  private final ForwardingRoute route;
  private final AnswerCache.Question question;
  private final Consumer<PendingQuestion> onEnd;
  private final List<Consumer<Forwarder.Result>> callbacks = new ArrayList<>(1);
  private final Set<UpstreamSelector.Upstream> tried = new HashSet<>();
  private final Runnable cancelDeadline;
  private final Runnable cancelStaleTimer;
  private QueryAttempt currentAttempt;
  private int attemptCount;
  private boolean answeredStale;

  PendingQuestion(
      ResolverContext context,
      ForwardingRoute route,
      AnswerCache.Question question,
      Consumer<PendingQuestion> onEnd) {
    this.context = context;
    this.route = route;
    this.question = question;
    this.onEnd = onEnd;
    cancelDeadline = context.scheduler().schedule(route.timeout(), () -> giveUp("timed out"));
    cancelStaleTimer = context.scheduler().schedule(STALE_AFTER, this::answerStale);
  }

  AnswerCache.Question question() {
    return question;
  }

  ForwardingRoute route() {
    return route;
  }

  int waitingCount() {
    return callbacks.size();
  }

  void addCallback(Consumer<Forwarder.Result> callback) {
    callbacks.add(callback);
  }

  /** Returns whether callers got a stale answer, so that further ones need not wait either. */
  boolean answeredStale() {
    return answeredStale;
  }

  /** Sends the question to the next upstream, or gives up. */
  void attempt() {
    Duration now = context.scheduler().now();
    Optional<UpstreamSelector.Upstream> next = route.upstreams().next(tried, now);
    if (next.isEmpty() && tried.size() == route.upstreams().all().size()) {
      next = route.upstreams().next(Set.of(), now);
    }
    boolean allowed =
        attemptCount == 0 || (attemptCount < MAX_ATTEMPTS && context.retryBudget().tryRetry(now));
    if (next.isEmpty()) {
      giveUp("all upstreams have the most questions in flight");
    } else if (!allowed) {
      giveUp("no further attempt is allowed");
    } else {
      attemptCount++;
      tried.add(next.get());
      currentAttempt = new QueryAttempt(context, this, next.get());
      currentAttempt.start();
    }
  }

  void onAnswer(Message message) {
    context.cache().put(question, message, context.scheduler().now());
    end(new Forwarder.Result(message, false));
  }

  void onAttemptFailed() {
    currentAttempt = null;
    attempt();
  }

  /** Gives waiting callers a stale answer, if there is one; the attempts go on for the cache. */
  private void answerStale() {
    Forwarder.Result cached = context.cachedAnswer(route, question);
    if (cached.isAnswered() && !callbacks.isEmpty()) {
      answeredStale = true;
      notifyCallers(cached);
    }
  }

  private void giveUp(String reason) {
    if (currentAttempt != null) {
      currentAttempt.abandon();
    }
    Forwarder.Result cached = context.cachedAnswer(route, question);
    Log.infoWithFields(
        "question-unanswered",
        question.name() + ": " + reason,
        "attempts",
        attemptCount,
        "stale",
        cached.isAnswered());
    end(cached);
  }

  private void end(Forwarder.Result result) {
    onEnd.accept(this);
    cancelDeadline.run();
    cancelStaleTimer.run();
    notifyCallers(result);
  }

  private void notifyCallers(Forwarder.Result result) {
    List<Consumer<Forwarder.Result>> waiting = List.copyOf(callbacks);
    callbacks.clear();
    waiting.forEach(callback -> callback.accept(result));
  }
}
