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
import tamarindroute.host.FatalErrorHandler;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.host.MonotonicClock;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.host.RouterInstance;
import tamarindroute.log.Log;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;

/**
 * One gateway process: its start from the configuration, its warm-up and readiness, the reload on
 * SIGHUP, and the graceful shutdown on SIGTERM.
 */
public final class GatewayServer {

  /**
   * Time after SIGTERM in which calls are still accepted. Clients open connections for up to 0.4 s
   * after SIGTERM, and send requests on them for another 0.2 s.
   */
  private static final Duration ACCEPT_AFTER_SIGTERM = Duration.ofMillis(750);

  /**
   * Longest deadline that the shutdown waits for. SIGKILL may come 0.7 s after the longest deadline
   * of the settings, and a deadline above this limit counts as this limit.
   */
  private static final Duration MAX_DEADLINE = Duration.ofSeconds(3);

  /** Time past the longest deadline after which requests in flight get their final response. */
  private static final Duration FINAL_RESPONSES_TIME = Duration.ofMillis(500);

  /**
   * Time for writing the last bytes and closing the clients. The rest of the 0.7 s before SIGKILL
   * is left for the end of the process.
   */
  private static final Duration FLUSH_TIME = Duration.ofMillis(100);

  private final RouterInstance instance;
  private final EventLoop eventLoop;
  private final PlatformConfiguration configuration;
  private final RequestPipeline pipeline;
  private final WarmUp warmUp;
  private final Duration longestDeadline;

  /** Component that is notified of the gateway's start and shutdown; null for none. */
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
    RoutingPolicy policy = newPolicy(policyFactory);
    instance = new RouterInstance(configuration, eventLoop, List.of(policy));
    pipeline = newPipeline(policy, instance.endpoints(), false);
    warmUp =
        new WarmUp(
            eventLoop,
            instance.transport(),
            configuration,
            newWarmUpPipeline(policyFactory),
            this::onWarmedUp);
    instance
        .bufferPool()
        .onCapacityAvailable(() -> eventLoop.execute(pipeline::onCapacityAvailable));
  }

  private RoutingPolicy newPolicy(Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    return policyFactory.apply(configuration.settings().settings(configuration.seed()));
  }

  private RequestPipeline newPipeline(
      RoutingPolicy policy, EndpointRegistry endpoints, boolean standInCaches) throws IOException {
    return new RequestPipeline(
        configuration.settings(),
        policy,
        eventLoop,
        instance.bufferPool(),
        endpoints,
        standInCaches);
  }

  /**
   * Returns a pipeline with a separate policy and separate endpoints. The connections to all its
   * caches lead back to this gateway.
   */
  private RequestPipeline newWarmUpPipeline(Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    RoutingPolicy policy = newPolicy(policyFactory);
    EndpointRegistry endpoints =
        new EndpointRegistry(
            configuration.settings(),
            List.of(policy),
            eventLoop,
            (id, address) -> instance.newConnectionPool(id, configuration.listen()));
    return newPipeline(policy, endpoints, true);
  }

  /**
   * Starts a gateway and returns. The gateway runs on its own threads.
   *
   * @param path path of the configuration file
   */
  public static void start(String path, Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    start(path, policyFactory, null);
  }

  /**
   * Starts a gateway with an additional component and returns. Both run on their own threads.
   *
   * @param path path of the configuration file
   * @param component notified of the gateway's start and end; null for none
   */
  public static synchronized void start(
      String path,
      Function<PolicySettings, RoutingPolicy> policyFactory,
      LifecycleComponent component)
      throws IOException {
    FatalErrorHandler.install();
    // SIGHUP ends the process until it has a handler, so the handler is installed first.
    AtomicReference<GatewayServer> startedGateway = new AtomicReference<>();
    Signal.handle(new Signal("HUP"), signal -> reloadConfiguration(path, startedGateway));
    GatewayServer gateway =
        new GatewayServer(PlatformConfiguration.read(path), policyFactory, component);
    gateway.eventLoop.execute(gateway::startServing);
    startedGateway.set(gateway);
    Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
  }

  /**
   * Reads the configuration again, on the signal's thread, after the start and any other reload
   * have ended. Only a new feed address takes effect: the other sections determine sizes that are
   * fixed at the start.
   */
  private static synchronized void reloadConfiguration(
      String path, AtomicReference<GatewayServer> startedGateway) {
    GatewayServer gateway = startedGateway.get();
    try {
      PlatformConfiguration reloaded = PlatformConfiguration.readAgain(path);
      List<String> needsRestart = gateway.configuration.changedRestartOnlySections(reloaded);
      String ignored =
          needsRestart.isEmpty()
              ? ""
              : "; these sections change only after a restart: " + String.join(", ", needsRestart);
      Log.info("configuration-reloaded", "feed " + reloaded.feed() + ignored);
      gateway.eventLoop.execute(() -> gateway.instance.moveFeed(reloaded.feed()));
    } catch (IOException | RuntimeException | OutOfMemoryError | StackOverflowError e) {
      // Whatever is wrong with the file, the process goes on.
      Log.info("configuration-invalid", "the previous one stays in use: " + e.getMessage());
    }
  }

  private void startServing() {
    startComponent();
    applyBootstrapEvents();
    try {
      instance.transport().listen(configuration.listen(), this::newHandler);
    } catch (IOException | RuntimeException e) {
      exit("cannot listen on " + configuration.listen() + ": " + e.getMessage());
    }
    instance.startFeed();
    warmUp.start();
  }

  private void startComponent() {
    if (component == null) {
      return;
    }
    try {
      component.onStarted(instance);
    } catch (IOException e) {
      exit(e.getMessage());
    }
  }

  /**
   * Applies the bootstrap events. A list that the policy fails on must not keep the gateway from
   * listening, since the feed sends the list again.
   */
  private void applyBootstrapEvents() {
    try {
      instance.applyBootstrapEvents();
    } catch (RuntimeException e) {
      Log.defect(e);
    }
  }

  private ConnectionHandler newHandler(Connection connection) {
    return warmUp.isComplete()
        ? pipeline.acceptClient(connection)
        : warmUp.identify(connection, pipeline::acceptClient);
  }

  private static void exit(String reason) {
    System.err.println("serve: " + reason);
    Runtime.getRuntime().halt(1);
  }

  /** Reports ready once the warm-up has ended and the first list of caches has been received. */
  private void onWarmedUp() {
    Log.info(
        "warmed-up",
        "after " + eventLoop.now().toMillis() + " ms, " + warmUp.completedRequests() + " requests");
    if (pipeline.endpoints().listReceived()) {
      pipeline.setReady(true);
    } else {
      pipeline.endpoints().onFirstList(() -> pipeline.setReady(true));
    }
  }

  /**
   * Shuts down on SIGTERM, on the shutdown hook's thread: accepts requests for {@link
   * #ACCEPT_AFTER_SIGTERM}, then stops listening, waits until the requests in flight have their
   * responses, and returns when the last bytes are written. A second SIGTERM changes nothing.
   */
  private void stop() {
    Duration startedAt = MonotonicClock.now();
    awaitAcceptEnd();
    instance.transport().stopListening();
    awaitDrained(startedAt);
    Duration duration = MonotonicClock.now().minus(startedAt);
    Log.info(
        "shutdown",
        duration.toMillis() + " ms after SIGTERM, " + pipeline.inFlight() + " requests in flight");
    instance.transport().shutDown();
  }

  private void awaitAcceptEnd() {
    CompletableFuture<Void> acceptEnd = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          eventLoop.schedule(ACCEPT_AFTER_SIGTERM, () -> acceptEnd.complete(null));
          pipeline.setReady(false);
          if (component != null) {
            component.onStopping();
          }
        });
    await(acceptEnd, ACCEPT_AFTER_SIGTERM.plus(FLUSH_TIME));
  }

  private void awaitDrained(Duration startedAt) {
    Duration deadline =
        longestDeadline.compareTo(MAX_DEADLINE) < 0 ? longestDeadline : MAX_DEADLINE;
    Duration timeLeft =
        startedAt.plus(deadline).plus(FINAL_RESPONSES_TIME).minus(MonotonicClock.now());
    CompletableFuture<Void> drained = new CompletableFuture<>();
    eventLoop.execute(() -> drain(timeLeft, drained));
    await(drained, timeLeft.plus(FLUSH_TIME));
  }

  /**
   * Closes each client connection when its requests have their responses. Requests that are still
   * in flight after the given time get their final response then.
   */
  private void drain(Duration timeLeft, CompletableFuture<Void> drained) {
    eventLoop.schedule(timeLeft, pipeline::finishAll);
    pipeline.startDraining();
    instance.transport().drainClients(() -> drained.complete(null));
  }

  /**
   * Waits for an event, but no longer than the timeout: neither clients that never close nor a busy
   * event loop may hold up the shutdown.
   */
  private static void await(CompletableFuture<Void> event, Duration timeout) {
    try {
      event.get(Math.max(0, timeout.toMillis()), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      // The shutdown continues. Its log line says how many requests were left in flight.
    } catch (InterruptedException | ExecutionException e) {
      Log.info("shutdown", e);
    }
  }
}
