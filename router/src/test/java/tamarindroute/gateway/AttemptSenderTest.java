package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;
import tamarindroute.gateway.AttemptSender.InFlightAttempt;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.protocol.CacheProtocol;
import tamarindroute.protocol.CallFields;
import tamarindroute.protocol.ClientCommand;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.MalformedMessageException;

/** An attempt between its decision, its writing and its response, without sockets. */
class AttemptSenderTest {

  private static final InetSocketAddress CACHE_ADDRESS = new InetSocketAddress("127.0.0.1", 9);
  private static final String COPY_TAG = "4be0c1927d55a6f3";

  private final ScriptedPolicy policy = new ScriptedPolicy();
  private final EventLoop eventLoop = new EventLoop();
  private final BufferPool bufferPool = new BufferPool(1024 * 1024);
  private EndpointRegistry endpoints;
  private AttemptSender sender;

  @BeforeEach
  void start() throws Exception {
    policy.decisionAfterScript = new Decision.Wait();
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    CacheConnectionPool.Limits limits =
        new CacheConnectionPool.Limits(4, 100, Duration.ofSeconds(1), Duration.ZERO);
    endpoints =
        new EndpointRegistry(
            configuration.settings(),
            List.of(policy),
            eventLoop,
            (id, address) -> new CacheConnectionPool(null, eventLoop, id, address, limits));
    endpoints.onEvents(EndpointList.of(EndpointList.entry("s-1", "edge", CACHE_ADDRESS)));
    Router router = new Router(policy, eventLoop);
    OutcomeHandler outcomeHandler = new OutcomeHandler(eventLoop, policy, router);
    ResponseRelay relay = new ResponseRelay(bufferPool, eventLoop);
    sender = new AttemptSender(eventLoop, policy, endpoints, outcomeHandler, relay);
    router.connect(sender, outcomeHandler);
  }

  /** Returns an attempt in flight of an open request without a client connection. */
  private InFlightAttempt inFlightAttempt(String clientCopyTag, Duration maxCopyAge) {
    Request request =
        new Request(null, 5, 0, 17, 1, eventLoop.now(), eventLoop.now().plusSeconds(2));
    ClientConnection.ReceivedCall received =
        new ClientConnection.ReceivedCall(
            new ClientCommand.Call("1", "clip", ""), new ArrayDeque<>(), 0, false);
    CallFields fields =
        new CallFields("9b1f03aa5c7e2d41", "7f3a9c21e0b4d655", null, clientCopyTag, 2000, 0, 17, 1);
    PendingRequest pending = new PendingRequest(null, received, fields, request, false);
    Cache cache = policy.caches.get(0);
    Attempt attempt = new Attempt(cache, cache, 1, maxCopyAge, false, false, null);
    attempt.sentAt = eventLoop.now();
    request.attempts.add(attempt);
    InFlightAttempt inFlight = sender.new InFlightAttempt(pending, attempt);
    pending.add(inFlight);
    endpoints.countAttempt(attempt, 1);
    return inFlight;
  }

  /** Returns the result of a response. The request is finished first, so no client is needed. */
  private Result result(InFlightAttempt inFlight, String status, FieldList fields)
      throws MalformedMessageException {
    inFlight.pending.finish();
    inFlight.onResponse(
        CacheProtocol.decodeResponse(List.of(inFlight.pending.id(), status, fields.format("-"))),
        0);
    inFlight.onComplete();
    return inFlight.attempt.outcome.result();
  }

  @Test
  void queuedAttemptIsWrittenOnlyIfThePolicyAgreesAndTheRequestIsOpen() {
    InFlightAttempt inFlight = inFlightAttempt(null, null);
    assertThat(inFlight.isStillWanted()).isTrue();
    policy.mayStillSend = () -> false;
    assertThat(inFlight.isStillWanted()).isFalse();
    policy.mayStillSend = () -> true;
    inFlight.pending.finish();
    assertThat(inFlight.isStillWanted()).isFalse();
  }

  /**
   * When a connection opens, the policy is asked about each waiting attempt in turn. An exception
   * that it throws for one must not keep the others from being written.
   */
  @Test
  void policyFailureCostsOnlyTheAttempt() {
    InFlightAttempt inFlight = inFlightAttempt(null, null);
    policy.mayStillSend =
        () -> {
          throw new IllegalStateException("thrown by the test policy");
        };
    assertThat(inFlight.isStillWanted()).isFalse();
  }

  /** An attempt that was never written can't have run, so it may be retried at another cache. */
  @Test
  void attemptCancelledBeforeItWasWrittenWasNotSent() {
    InFlightAttempt unwritten = inFlightAttempt(null, null);
    InFlightAttempt written = inFlightAttempt(null, null);
    written.start();
    for (InFlightAttempt inFlight : List.of(unwritten, written)) {
      inFlight.pending.finish();
      sender.cancel(inFlight.pending, inFlight.attempt);
    }
    assertThat(unwritten.attempt.outcome.result()).isEqualTo(Result.NOT_SENT);
    assertThat(written.attempt.outcome.result()).isEqualTo(Result.CANCELLED);
  }

  /** NOT_MODIFIED is valid only if the cache names the tag of the client's copy. */
  @Test
  void notModifiedWithoutTheClientsTagIsAnError() throws Exception {
    FieldList none = new FieldList();
    FieldList other = new FieldList().with("digest", "0000000000000000");
    FieldList same = new FieldList().with("digest", COPY_TAG);
    assertThat(result(inFlightAttempt(COPY_TAG, null), "NOMOD", none)).isEqualTo(Result.FAILED);
    assertThat(result(inFlightAttempt(COPY_TAG, null), "NOMOD", other)).isEqualTo(Result.FAILED);
    assertThat(result(inFlightAttempt(null, null), "NOMOD", same)).isEqualTo(Result.FAILED);
    assertThat(result(inFlightAttempt(COPY_TAG, null), "NOMOD", same)).isEqualTo(Result.SERVED);
  }

  /** A copy older than the attempt's max copy age, which a purge sets, must not be served. */
  @Test
  void copyOlderThanAPurgeAllowsIsAnError() throws Exception {
    long now = System.currentTimeMillis();
    Duration sincePurge = Duration.ofSeconds(20);
    FieldList fresh = new FieldList().with("digest", COPY_TAG).with("dated", now - 15_000);
    FieldList old = new FieldList().with("digest", COPY_TAG).with("dated", now - 25_000);
    FieldList undated = new FieldList().with("digest", COPY_TAG).with("dated", "soon");
    for (String status : List.of("ACK", "NOMOD")) {
      assertThat(result(inFlightAttempt(COPY_TAG, sincePurge), status, fresh))
          .isEqualTo(Result.SERVED);
      assertThat(result(inFlightAttempt(COPY_TAG, sincePurge), status, old))
          .isEqualTo(Result.FAILED);
      assertThat(result(inFlightAttempt(COPY_TAG, null), status, old))
          .as("without a max copy age")
          .isEqualTo(Result.SERVED);
      assertThat(result(inFlightAttempt(COPY_TAG, sincePurge), status, undated))
          .isEqualTo(Result.FAILED);
    }
  }
}
