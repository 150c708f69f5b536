package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.CacheHealth;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.protocol.FieldList;

/** What becomes of an attempt between its decision, its writing and its answer, without sockets. */
class AttemptSenderTest {

  private static final String EVENT =
      "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,"
          + "\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
          + "\"state\":\"ready\",\"weight\":40,\"started_ms\":0}]}}]}";
  private static final String COPY = "4be0c1927d55a6f3";

  /** Answers nothing, and that a trip may go as told; null for a defect. */
  private static final class ScriptedPolicy implements RoutingPolicy {

    private Cache cache;
    private Boolean allowsSending = true;

    @Override
    public Decision route(Request request, Duration now) {
      return new Decision.Wait();
    }

    @Override
    public Decision onOutcome(Request request, Attempt attempt, Duration now) {
      return new Decision.Wait();
    }

    @Override
    public boolean mayStillSend(Request request, Attempt attempt, Duration now) {
      return allowsSending;
    }

    @Override
    public Duration nextDecisionDelay(Request request, Duration now) {
      return null;
    }

    @Override
    public void onEndpoints(List<Cache> caches, Duration now) {
      cache = caches.get(0);
    }

    @Override
    public void onPurge(Purge purge, Duration now) {}

    @Override
    public void onLoadReport(Cache target, LoadReport loadReport, Duration now) {}

    @Override
    public void onQuotaGrant(Cache.Tier tier, double part, Duration until, Duration now) {}

    @Override
    public CacheHealth cacheHealth(Cache target, Duration now) {
      return null;
    }

    @Override
    public List<Cache> rankedCaches(long object) {
      return List.of();
    }

    @Override
    public void onHealthCheck(Cache target, Outcome.Result result, Duration now) {}
  }

  private final ScriptedPolicy module = new ScriptedPolicy();
  private final EventLoop eventLoop = new EventLoop();
  private final BufferPool bufferPool = new BufferPool(1024 * 1024);
  private EndpointRegistry endpoints;
  private AttemptSender sender;
  private OutcomeHandler outcomeHandler;
  private ResponseRelay relay;

  @BeforeEach
  void start() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    endpoints =
        new EndpointRegistry(
            configuration.settings(),
            List.of(module),
            eventLoop,
            (id, address) ->
                new CacheConnectionPool(
                    null,
                    eventLoop,
                    id,
                    address,
                    new CacheConnectionPool.Limits(4, 100, Duration.ofSeconds(1), Duration.ZERO)));
    endpoints.onEvents(EVENT);
    Router router = new Router(module, eventLoop);
    outcomeHandler = new OutcomeHandler(eventLoop, module, router);
    relay = new ResponseRelay(bufferPool, eventLoop);
    sender = new AttemptSender(eventLoop, module, endpoints, outcomeHandler, relay);
    router.connect(sender, outcomeHandler);
  }

  /** A view that has had its answer, so that no client is needed, with a trip that is out. */
  private AttemptSender.InFlightAttempt inFlightAttempt(String clientCopyTag, Duration maxCopyAge) {
    Request request =
        new Request(null, 5, 0, 17, 1, eventLoop.now(), eventLoop.now().plusSeconds(2));
    ClientConnection.ClientCall call =
        new ClientConnection.ClientCall("1", "clip", "", new ArrayDeque<>(), 0, false);
    PendingRequest pending =
        new PendingRequest(
            null, call, request, "9b1f03aa5c7e2d41", "7f3a9c21e0b4d655", null, clientCopyTag);
    Attempt attempt = new Attempt(module.cache, module.cache, 1, maxCopyAge, false, false, null);
    attempt.sentAt = eventLoop.now();
    request.attempts.add(attempt);
    AttemptSender.InFlightAttempt inFlightAttempt = sender.new InFlightAttempt(pending, attempt);
    pending.inFlight.add(inFlightAttempt);
    endpoints.countAttempt(attempt, 1);
    return inFlightAttempt;
  }

  private Result result(
      AttemptSender.InFlightAttempt inFlightAttempt, String status, FieldList fields) {
    inFlightAttempt.pending.finished = true;
    inFlightAttempt.onResponse(status, fields, 0);
    inFlightAttempt.onComplete();
    return inFlightAttempt.attempt.outcome.result();
  }

  @Test
  void queuedAttemptIsWrittenOnlyIfThePolicyAgreesAndTheRequestIsOpen() {
    AttemptSender.InFlightAttempt inFlightAttempt = inFlightAttempt(null, null);
    assertThat(inFlightAttempt.isStillWanted()).isTrue();
    module.allowsSending = false;
    assertThat(inFlightAttempt.isStillWanted()).isFalse();
    module.allowsSending = true;
    inFlightAttempt.pending.finished = true;
    assertThat(inFlightAttempt.isStillWanted()).isFalse();
  }

  /**
   * It is asked for all that waited for a connection, one after another: the others must still be
   * written.
   */
  @Test
  void policyFailureCostsOnlyTheAttempt() {
    AttemptSender.InFlightAttempt inFlightAttempt = inFlightAttempt(null, null);
    module.allowsSending = null;
    assertThat(inFlightAttempt.isStillWanted()).isFalse();
  }

  /**
   * A trip that is given up while it waits for its connection has not run, and may be made good
   * elsewhere.
   */
  @Test
  void attemptCancelledBeforeItWasWrittenWasNotSent() {
    AttemptSender.InFlightAttempt unwritten = inFlightAttempt(null, null);
    AttemptSender.InFlightAttempt written = inFlightAttempt(null, null);
    written.started = true;
    for (AttemptSender.InFlightAttempt inFlightAttempt : List.of(unwritten, written)) {
      inFlightAttempt.pending.finished = true;
      sender.cancel(inFlightAttempt.pending, inFlightAttempt.attempt);
    }
    assertThat(unwritten.attempt.outcome.result()).isEqualTo(Result.NOT_SENT);
    assertThat(written.attempt.outcome.result()).isEqualTo(Result.CANCELLED);
  }

  /** The client's copy holds only if the cache has named that very copy. */
  @Test
  void notModifiedWithoutTheClientsTagIsAnError() {
    assertThat(result(inFlightAttempt(COPY, null), "NOMOD", new FieldList()))
        .isEqualTo(Result.FAILED);
    assertThat(
            result(
                inFlightAttempt(COPY, null),
                "NOMOD",
                new FieldList().with("digest", "0000000000000000")))
        .isEqualTo(Result.FAILED);
    assertThat(result(inFlightAttempt(null, null), "NOMOD", new FieldList().with("digest", COPY)))
        .isEqualTo(Result.FAILED);
    assertThat(result(inFlightAttempt(COPY, null), "NOMOD", new FieldList().with("digest", COPY)))
        .isEqualTo(Result.SERVED);
  }

  /**
   * A cache that gives a copy from before a purge it was told of goes wrong: passed on, the request
   * is lost.
   */
  @Test
  void copyOlderThanAPurgeAllowsIsAnError() {
    long now = System.currentTimeMillis();
    Duration since = Duration.ofSeconds(20);
    for (String status : List.of("ACK", "NOMOD")) {
      FieldList fresh = new FieldList().with("digest", COPY).with("dated", now - 15_000);
      FieldList stale = new FieldList().with("digest", COPY).with("dated", now - 25_000);
      assertThat(result(inFlightAttempt(COPY, since), status, fresh)).isEqualTo(Result.SERVED);
      assertThat(result(inFlightAttempt(COPY, since), status, stale)).isEqualTo(Result.FAILED);
      assertThat(result(inFlightAttempt(COPY, null), status, stale))
          .as("no purge binds")
          .isEqualTo(Result.SERVED);
      assertThat(
              result(
                  inFlightAttempt(COPY, since),
                  status,
                  new FieldList().with("digest", COPY).with("dated", "soon")))
          .isEqualTo(Result.FAILED);
    }
  }
}
