package tamarindroute.resolver;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;
import tamarindroute.net.SocketTransport;

/**
 * Asks other name servers. Answers from the cache where possible and joins equal questions. All
 * methods and callbacks run on the event loop.
 */
public final class Forwarder {

  /**
   * The result of a question.
   *
   * @param message the answer; null if there is none
   * @param stale whether the answer is past its TTL
   */
  public record Result(Message message, boolean stale) {

    static final Result UNANSWERED = new Result(null, false);

    /** Returns whether there is an answer. */
    public boolean isAnswered() {
      return message != null;
    }
  }

  private static final int MAX_PENDING_QUESTIONS = 1000;

  /** Most callers that wait for the same question. */
  private static final int MAX_WAITING_CALLERS = 200;

  private final ResolverContext context;
  private final Map<AnswerCache.Question, PendingQuestion> pending = new HashMap<>();

  /** Creates a forwarder with an empty cache. */
  public Forwarder(Scheduler scheduler, DatagramTransport datagrams, SocketTransport transport) {
    context =
        new ResolverContext(
            scheduler,
            datagrams,
            transport,
            new AnswerCache(),
            new RetryBudget(),
            new SecureRandom());
  }

  /**
   * Asks a question.
   *
   * @param callback receives one result, at the latest after the route's timeout
   */
  public void query(ForwardingRoute route, Name name, int type, Consumer<Result> callback) {
    AnswerCache.Question question = new AnswerCache.Question(name, type);
    Optional<AnswerCache.CachedAnswer> fresh =
        context.cache().fresh(question, context.scheduler().now());
    if (fresh.isPresent()) {
      callback.accept(new Result(fresh.get().message(), false));
      return;
    }
    PendingQuestion known = pending.get(question);
    if (known != null && known.waitingCount() < MAX_WAITING_CALLERS && !known.answeredStale()) {
      known.addCallback(callback);
    } else if (known != null || pending.size() >= MAX_PENDING_QUESTIONS) {
      callback.accept(context.cachedAnswer(route, question));
    } else {
      start(route, question, callback);
    }
  }

  private void start(
      ForwardingRoute route, AnswerCache.Question question, Consumer<Result> callback) {
    PendingQuestion started =
        new PendingQuestion(context, route, question, ended -> pending.remove(question, ended));
    pending.put(question, started);
    started.addCallback(callback);
    context.retryBudget().onFirstAttempt(context.scheduler().now());
    started.attempt();
  }

  /** Returns a name from the settings, which is absolute with or without a dot at its end. */
  public static Name absoluteName(String text) {
    try {
      return Name.fromString(text.endsWith(".") ? text : text + ".");
    } catch (TextParseException e) {
      throw new IllegalArgumentException("\"" + text + "\" is not a domain name", e);
    }
  }
}
