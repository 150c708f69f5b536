package tamarindroute.nameserver;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import sun.misc.Signal;
import tamarindroute.config.ServiceSettings;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.HealthCheckScheduler;
import tamarindroute.dns.QueryCounters;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.host.RouterInstance;
import tamarindroute.log.Log;
import tamarindroute.net.DatagramTransport;
import tamarindroute.resolver.Forwarder;

/** A name server process: wiring, start, reload of its settings on SIGHUP, and shutdown. */
public final class NameServer {

  /** File descriptors besides those of TCP clients: health checks, own queries, the process. */
  private static final int RESERVED_DESCRIPTORS = 64;

  private static final int MIN_CONNECTIONS = 512;

  private static final Duration SHUTDOWN_POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration EVENT_LOOP_TIMEOUT = Duration.ofSeconds(1);

  /** Time for the transport's threads to write the last responses. */
  private static final Duration FLUSH_TIME = Duration.ofMillis(50);

  private final EventLoop eventLoop = new EventLoop();
  private final DatagramTransport datagrams = new DatagramTransport(eventLoop);
  private final QueryCounters counters = new QueryCounters();
  private final List<RoutingPolicy> policies;
  private final RouterInstance instance;
  private final HealthCheckScheduler healthChecks;
  private final ActiveSettings active;
  private final FeedLocator feedLocator;
  private final QueryHandler queryHandler;

  private NameServer(
      ServiceSettings settings, Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    PlatformConfiguration platform = settings.platform();
    Map<Integer, RoutingPolicy> policyByZone =
        LocationPolicies.create(platform, settings.instances(), policyFactory);
    policies = List.copyOf(policyByZone.values());
    instance = new RouterInstance(withDescriptorLimit(settings), eventLoop, policies);
    DnsSettings.HealthCheckSettings checkSettings = settings.dns().healthChecks();
    healthChecks = checkSettings == null ? null : new HealthCheckScheduler(checkSettings);
    EndpointDirectory directory = new EndpointDirectory(instance.endpoints(), healthChecks);
    instance.endpoints().onChange(directory::onChange);
    Forwarder forwarder = new Forwarder(eventLoop, datagrams, instance.transport());
    active = new ActiveSettings(eventLoop, instance, directory, policyByZone, counters);
    active.apply(settings);
    feedLocator = new FeedLocator(eventLoop, instance, forwarder, active);
    queryHandler = new QueryHandler(eventLoop, forwarder, active);
  }

  /** Returns the platform's configuration with room for this server's connections. */
  private static PlatformConfiguration withDescriptorLimit(ServiceSettings settings) {
    PlatformConfiguration platform = settings.platform();
    int connections = Math.max(MIN_CONNECTIONS, settings.dns().limits().maxConnections());
    return new PlatformConfiguration(
        platform.listen(),
        platform.feed(),
        platform.seed(),
        platform.memoryBytes(),
        RESERVED_DESCRIPTORS + 2 * connections,
        platform.bootstrapEvents(),
        platform.settings());
  }

  /**
   * Starts a name server and returns when it listens.
   *
   * @param file the settings file, which SIGHUP reads again
   * @param policyFactory creates the routing policy of a location
   * @throws IOException if the settings are invalid or the address cannot be bound
   */
  public static void start(Path file, Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    AtomicReference<SettingsReloader> reloader = new AtomicReference<>();
    // The handler is installed first, as SIGHUP would end a process without one.
    Signal.handle(
        new Signal("HUP"),
        signal -> {
          SettingsReloader started = reloader.get();
          if (started != null) {
            started.reload();
          }
        });
    NameServer server = new NameServer(ServiceSettings.read(file), policyFactory);
    server.openOnEventLoop();
    reloader.set(new SettingsReloader(file, server.eventLoop, server.active, server.feedLocator));
    Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
    DnsSettings dns = server.active.settings().dns();
    Log.infoWithFields(
        "dns", "answering", "listen", format(dns.listen()), "zones", dns.zones().size());
  }

  private void openOnEventLoop() throws IOException {
    CountDownLatch opened = new CountDownLatch(1);
    AtomicReference<IOException> failure = new AtomicReference<>();
    eventLoop.execute(
        () -> {
          try {
            open();
          } catch (IOException e) {
            failure.set(e);
          }
          opened.countDown();
        });
    try {
      opened.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    if (failure.get() != null) {
      String address = format(active.settings().dns().listen());
      throw new IOException("cannot listen on " + address + ": " + failure.get().getMessage());
    }
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void open() throws IOException {
    instance.applyBootstrapEvents();
    InetSocketAddress address = active.settings().dns().listen();
    datagrams.listen(
        address,
        (bytes, from, at, callback) ->
            queryHandler.onQuery(bytes, from.getAddress(), true, callback));
    instance
        .transport()
        .listen(
            address,
            connection ->
                new TcpQueryConnection(
                    eventLoop,
                    connection,
                    active.settings().dns().limits(),
                    (bytes, from, callback) -> queryHandler.onQuery(bytes, from, false, callback)));
    feedLocator.locate();
    if (healthChecks != null) {
      Duration timeout = active.settings().dns().healthChecks().timeout();
      new HealthChecker(eventLoop, instance.endpoints(), healthChecks, policies, timeout).run();
    }
    new CounterLog(eventLoop, counters, datagrams, active).schedule();
  }

  /**
   * Shuts down on SIGTERM, on the hook's thread: takes no more queries and waits for the answers to
   * forwarded ones.
   */
  private void stop() {
    try {
      eventLoop.execute(queryHandler::drain);
      Integer inFlight = awaitForwarded();
      Log.infoWithFields("shutdown", "SIGTERM", "in_flight", inFlight);
      Thread.sleep(FLUSH_TIME.toMillis());
    } catch (InterruptedException e) {
      Log.info("shutdown", e);
    }
    instance.transport().shutDown();
    datagrams.shutDown();
  }

  /** Returns how many forwarded queries are left; null if the event loop does not respond. */
  private Integer awaitForwarded() throws InterruptedException {
    Duration longestTimeout =
        active.settings().dns().forwardedZones().stream()
            .map(DnsSettings.ForwardedZone::timeout)
            .max(Duration::compareTo)
            .orElse(Duration.ZERO);
    Duration deadline = eventLoop.now().plus(longestTimeout);
    AtomicReference<Integer> inFlight = new AtomicReference<>();
    do {
      CountDownLatch read = new CountDownLatch(1);
      eventLoop.execute(
          () -> {
            inFlight.set(queryHandler.forwardedInFlight());
            read.countDown();
          });
      read.await(EVENT_LOOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      Thread.sleep(SHUTDOWN_POLL_INTERVAL.toMillis());
    } while (eventLoop.now().compareTo(deadline) < 0
        && inFlight.get() != null
        && inFlight.get() > 0);
    return inFlight.get();
  }
}
