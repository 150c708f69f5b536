package tamarindroute.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import sun.misc.Signal;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.host.MonotonicClock;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.host.RouterInstance;
import tamarindroute.log.Log;

/**
 * Owns one gateway's life: its start from the configuration, the wiring of the stages, readiness,
 * the reading of a new configuration on SIGHUP, and the way out on SIGTERM. It must never take part
 * in a view's way.
 */
public final class GatewayServer {

  /**
   * New connections come for 0.4 s after SIGTERM, requests on them for 0.2 s more; and a bit for
   * good measure.
   */
  private static final Duration ACCEPT_AFTER_SIGTERM = Duration.ofMillis(750);

  /**
   * SIGKILL may come 0.7 s after the longest cut-off, counted as 3 s at most; all is answered
   * before.
   */
  private static final Duration MAX_DEADLINE = Duration.ofSeconds(3);

  private static final Duration FINAL_RESPONSES_TIME = Duration.ofMillis(500);

  /**
   * For those answers' bytes to leave and the clients to close; the rest of the 0.7 s is the
   * machine's own end.
   */
  private static final Duration FLUSH_TIME = Duration.ofMillis(100);

  private final RouterInstance instance;
  private final EventLoop eventLoop;
  private final PlatformConfiguration configuration;
  private final RequestPipeline pipeline;
  private final WarmUp warmUp;
  private final Duration longestDeadline;
  private final LifecycleComponent component;

  private GatewayServer(
      PlatformConfiguration configuration,
      Function<PolicySettings, RoutingPolicy> policyFactory,
      LifecycleComponent component)
      throws IOException {
    this.component = component;
    this.configuration = configuration.withoutBootstrapEvents();
    this.longestDeadline = configuration.settings().longestDeadline();
    this.eventLoop = new EventLoop();
    RoutingPolicy policy =
        policyFactory.apply(configuration.settings().settings(configuration.seed()));
    instance = new RouterInstance(configuration, eventLoop, List.of(policy));
    pipeline =
        new RequestPipeline(
            configuration.settings(),
            policy,
            eventLoop,
            instance.bufferPool(),
            instance.endpoints());
    warmUp =
        new WarmUp(
            eventLoop,
            instance.transport(),
            configuration,
            createWarmUpPipeline(policyFactory),
            this::onWarmedUp);
    instance
        .bufferPool()
        .onCapacityAvailable(() -> eventLoop.execute(pipeline::onCapacityAvailable));
  }

  /** A chain with a module and a list of its own, whose caches are all this gateway itself. */
  private RequestPipeline createWarmUpPipeline(
      Function<PolicySettings, RoutingPolicy> policyFactory) throws IOException {
    RoutingPolicy policy =
        policyFactory.apply(configuration.settings().settings(configuration.seed()));
    EndpointRegistry endpoints =
        new EndpointRegistry(
            configuration.settings(),
            List.of(policy),
            eventLoop,
            (id, address) -> instance.newConnectionPool(id, configuration.listen()));
    return new RequestPipeline(
        configuration.settings(), policy, eventLoop, instance.bufferPool(), endpoints);
  }

  /** Starts a gateway alone. */
  public static void start(String path, Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    start(path, policyFactory, null);
  }

  /**
   * Starts a gateway from its configuration file, with what lives beside it or null; returns at
   * once, the rest goes on in threads of its own.
   */
  public static synchronized void start(
      String path,
      Function<PolicySettings, RoutingPolicy> policyFactory,
      LifecycleComponent component)
      throws IOException {
    // SIGHUP would end the process until it has a handler: this goes before all else.
    AtomicReference<GatewayServer> startedGateway = new AtomicReference<>();
    Signal.handle(new Signal("HUP"), signal -> reloadConfiguration(path, startedGateway));
    GatewayServer gateway =
        new GatewayServer(PlatformConfiguration.read(path), policyFactory, component);
    gateway.eventLoop.execute(gateway::startServing);
    startedGateway.set(gateway);
    Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
  }

  /**
   * On SIGHUP, on a thread of the signal's: reads the configuration again, after the start and one
   * reading at a time. A new feed is taken up; all else holds until the next start, since sizes are
   * derived from it once.
   */
  private static synchronized void reloadConfiguration(
      String path, AtomicReference<GatewayServer> startedGateway) {
    GatewayServer gateway = startedGateway.get();
    try {
      PlatformConfiguration reloaded = PlatformConfiguration.read(path);
      List<String> needsRestart = gateway.configuration.changedRestartOnlySections(reloaded);
      Log.info(
          "config",
          "read again, feed "
              + reloaded.feed()
              + (needsRestart.isEmpty()
                  ? ""
                  : "; not before the next start: " + String.join(", ", needsRestart)));
      gateway.eventLoop.execute(() -> gateway.instance.moveFeed(reloaded.feed()));
    } catch (IOException e) {
      Log.info("config-unusable", "the old one holds: " + e.getMessage());
    }
  }

  private void startServing() {
    try {
      if (component != null) {
        component.onStarted(instance);
      }
    } catch (IOException e) {
      fail(e.getMessage());
    }
    try {
      instance.applyBootstrapEvents();
    } catch (RuntimeException e) {
      // A list that the module can't take must not keep the door shut; the feed tells it again.
      Log.defect(e);
    }
    try {
      instance
          .transport()
          .listen(
              configuration.listen(),
              connection ->
                  warmUp.complete()
                      ? pipeline.acceptClient(connection)
                      : warmUp.identify(connection, pipeline::acceptClient));
    } catch (IOException | RuntimeException e) {
      fail("cannot listen on " + configuration.listen() + ": " + e.getMessage());
    }
    instance.startFeed();
    warmUp.start();
  }

  private static void fail(String reason) {
    System.err.println("serve: " + reason);
    Runtime.getRuntime().halt(1);
  }

  /** The code is warm: clients may come, once the list is in. */
  private void onWarmedUp() {
    Log.info(
        "warm",
        "after " + eventLoop.now().toMillis() + " ms, " + warmUp.completedRequests() + " views");
    if (pipeline.endpoints().listReceived()) {
      pipeline.setReady(true);
    } else {
      pipeline.endpoints().onFirstList(() -> pipeline.setReady(true));
    }
  }

  /**
   * On SIGTERM, on the stopping thread, which waits and does nothing else: takes in on for a while,
   * then shuts the door, answers all, and lets the process end when the last bytes have left. A
   * second SIGTERM changes nothing.
   */
  private void stop() {
    Duration stopStartedAt = MonotonicClock.now();
    CompletableFuture<Void> acceptingOver = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          eventLoop.schedule(ACCEPT_AFTER_SIGTERM, () -> acceptingOver.complete(null));
          pipeline.setReady(false);
          if (component != null) {
            component.onStopping();
          }
        });
    await(acceptingOver, ACCEPT_AFTER_SIGTERM.plus(FLUSH_TIME));
    instance.transport().stopListening();
    Duration timeLeft =
        stopStartedAt
            .plus(longestDeadline.compareTo(MAX_DEADLINE) < 0 ? longestDeadline : MAX_DEADLINE)
            .plus(FINAL_RESPONSES_TIME)
            .minus(MonotonicClock.now());
    CompletableFuture<Void> drained = new CompletableFuture<>();
    eventLoop.execute(() -> drain(timeLeft, drained));
    await(drained, timeLeft.plus(FLUSH_TIME));
    Log.info(
        "stop",
        MonotonicClock.now().minus(stopStartedAt).toMillis()
            + " ms after SIGTERM, "
            + pipeline.inFlight()
            + " in hand");
    instance.transport().shutDown();
  }

  /**
   * Clients go as they have their answers; what is in hand at last is answered then, and its bytes
   * leave.
   */
  private void drain(Duration timeLeft, CompletableFuture<Void> drained) {
    eventLoop.schedule(timeLeft, pipeline::finishAll);
    pipeline.startDraining();
    instance.transport().drainClients(() -> drained.complete(null));
  }

  /** Clients that never close, or an owner's thread without time for it, do not hold the end. */
  private static void await(CompletableFuture<Void> event, Duration timeout) {
    try {
      event.get(Math.max(0, timeout.toMillis()), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      // The end comes all the same, and its line tells what was left.
    } catch (InterruptedException | ExecutionException e) {
      Log.info("stop", e);
    }
  }
}
