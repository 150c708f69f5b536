package tamarindroute.resolver;

import java.security.SecureRandom;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;
import tamarindroute.net.SocketTransport;

/** What all questions of one forwarder share. */
record ResolverContext(
    Scheduler scheduler,
    DatagramTransport datagrams,
    SocketTransport transport,
    AnswerCache cache,
    RetryBudget retryBudget,
    SecureRandom random) {

  /** Returns the cached answer to a question, perhaps stale; unanswered if there is none. */
  Forwarder.Result cachedAnswer(ForwardingRoute route, AnswerCache.Question question) {
    return cache
        .stale(question, route.maxStaleness(), scheduler.now())
        .map(cached -> new Forwarder.Result(cached.message(), cached.stale()))
        .orElse(Forwarder.Result.UNANSWERED);
  }
}
