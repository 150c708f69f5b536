package tamarindroute.nameserver;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import sun.misc.Signal;
import tamarindroute.config.InvalidSettingsException;
import tamarindroute.config.ServiceSettings;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.HealthCheckScheduler;
import tamarindroute.dns.Location;
import tamarindroute.dns.QueryCounters;
import tamarindroute.dns.Responder;
import tamarindroute.dns.ResponseRateLimiter;
import tamarindroute.dns.ServerCookies;
import tamarindroute.dns.Steering;
import tamarindroute.dns.SteeringDecision;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.host.RouterInstance;
import tamarindroute.log.Log;
import tamarindroute.net.DatagramTransport;
import tamarindroute.resolver.Forwarder;
import tamarindroute.resolver.ForwardingRoute;

/**
 * Owns one name server's life: its start from the settings, the wiring, the change of settings on
 * SIGHUP, whole or not at all, and the way out on SIGTERM. It must never take part in an answer.
 */
public final class NameServer {

  /** Descriptors beside clients' connections: probes, questions of ours, the program's own. */
  private static final int RESERVED_DESCRIPTORS = 64;

  private static final int MIN_CONNECTIONS = 512;

  /** Counters go to the log this often. */
  private static final Duration COUNTER_LOG_INTERVAL = Duration.ofSeconds(60);

  /** A feed told by name is looked up again this often, and sooner while that fails. */
  private static final Duration FEED_LOOKUP_INTERVAL = Duration.ofSeconds(60);

  private static final Duration FEED_LOOKUP_RETRY = Duration.ofSeconds(2);
  private static final int SECRET_BYTES = 32;

  private final EventLoop eventLoop = new EventLoop();
  private final DatagramTransport datagrams = new DatagramTransport(eventLoop);
  private final QueryCounters counters = new QueryCounters();
  private final Map<Integer, RoutingPolicy> policies = new HashMap<>();
  private final RouterInstance instance;
  private final EndpointDirectory directory;
  private final HealthCheckScheduler healthChecks;
  private final Forwarder forwarder;
  private final long seed;
  private ServiceSettings settings;
  private ServerCookies cookies;
  private ResponseRateLimiter limit;
  private Steering steering;
  private Responder responder;
  private Map<DnsSettings.ForwardedZone, ForwardingRoute> routes = Map.of();
  private ForwardingRoute lookUps;
  private Runnable nextLookUp = () -> {};
  private boolean following;
  private int forwardedInFlight;
  private int reportedDrops;
  private boolean stopping;

  private NameServer(ServiceSettings settings, Function<PolicySettings, RoutingPolicy> module)
      throws IOException {
    this.settings = settings;
    PlatformConfiguration platform = settings.platform();
    seed = platform.seed();
    List<String> places = platform.settings().zones();
    PolicySettings told = platform.settings().settings(seed);
    for (int place = 0; place < Math.max(1, places.size()); place++) {
      policies.put(place, module.apply(at(told, place, settings.instances())));
    }
    int connected = Math.max(MIN_CONNECTIONS, settings.dns().limits().maxConnections());
    PlatformConfiguration own =
        new PlatformConfiguration(
            platform.listen(),
            platform.feed(),
            seed,
            platform.memoryBytes(),
            RESERVED_DESCRIPTORS + 2 * connected,
            platform.bootstrapEvents(),
            platform.settings());
    instance = new RouterInstance(own, eventLoop, List.copyOf(policies.values()));
    DnsSettings.HealthCheckSettings probing = settings.dns().healthChecks();
    healthChecks = probing == null ? null : new HealthCheckScheduler(probing);
    directory = new EndpointDirectory(instance.endpoints(), healthChecks);
    instance.endpoints().onChange(directory::changed);
    forwarder = new Forwarder(eventLoop, datagrams, instance.transport());
    apply(settings);
  }

  /**
   * A module of a location: all instances told share what a cold cache bears, whatever they are.
   */
  private static PolicySettings at(PolicySettings told, int place, int instances) {
    // Names see no hits to learn from, so weights are taken as they are told; where they are off,
    // each is 1.
    PolicySettings.WeightMeaning weights =
        told.weightMeaning() == PolicySettings.WeightMeaning.OFF
            ? PolicySettings.WeightMeaning.ROUGH
            : told.weightMeaning();
    return new PolicySettings(
        told.seed(),
        place,
        instances,
        instances,
        told.hubByZone(),
        told.transferRateKbPerSecond(),
        told.inboundLinkKbPerSecond(),
        told.edgeBypassAllowed(),
        told.siblingFillAllowed(),
        told.reportsFillSource(),
        told.hedgingAllowed(),
        told.cancelAllowed(),
        told.maxRetryAfter(),
        told.maxAttempts(),
        told.edgeColdStart(),
        told.parentColdStart(),
        told.purgePropagationTime(),
        weights);
  }

  /**
   * Takes settings up whole: all is made before anything of the old is let go. What was handed out
   * stays on the account, and what is known of upstreams outlasts a change that leaves their zone
   * as it was.
   */
  private void apply(ServiceSettings told) {
    DnsSettings dns = told.dns();
    ServerCookies newCookies =
        cookies != null && dns.cookies() == null ? cookies : new ServerCookies(keys(dns.cookies()));
    DnsSettings.Limits limits = dns.limits();
    boolean sameLimit =
        limit != null
            && settings.dns().limits().answersPerSecond() == limits.answersPerSecond()
            && settings.dns().limits().slip() == limits.slip();
    ResponseRateLimiter newLimit =
        sameLimit ? limit : new ResponseRateLimiter(limits.answersPerSecond(), limits.slip());
    Steering newSteering = steering;
    if (dns.steering() != null) {
      Map<String, RoutingPolicy> byLabel = new HashMap<>();
      for (Location location : dns.steering().locations()) {
        byLabel.put(location.label(), policies.get(location.zoneIndex()));
      }
      newSteering = new Steering(dns.steering(), directory, byLabel, steering, eventLoop.now());
    }
    Responder newResponder = new Responder(dns, newSteering, newCookies, newLimit, counters);
    Map<DnsSettings.ForwardedZone, ForwardingRoute> newRoutes = new HashMap<>();
    for (DnsSettings.ForwardedZone one : dns.forwardedZones()) {
      ForwardingRoute known = routes.get(one);
      newRoutes.put(
          one,
          known != null
              ? known
              : ForwardingRoute.toServers(
                  one.zone(), one.upstreams(), one.timeout(), one.maxStaleness(), seed));
    }
    lookUps =
        told.resolvers().isEmpty()
            ? null
            : ForwardingRoute.toResolvers(told.resolvers(), told.resolveTimeout(), seed);
    cookies = newCookies;
    limit = newLimit;
    steering = newSteering;
    responder = newResponder;
    routes = newRoutes;
    settings = told;
    instance.transport().limitClients(limits.maxConnections());
  }

  /** The secrets told, or one of this start's own. */
  private static DnsSettings.CookieKeys keys(DnsSettings.CookieKeys told) {
    if (told != null) {
      return told;
    }
    byte[] secret = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    return new DnsSettings.CookieKeys(secret, null);
  }

  /** Starts a name server; returns when it listens, the rest goes on in threads of its own. */
  public static void start(Path file, Function<PolicySettings, RoutingPolicy> module)
      throws IOException {
    AtomicReference<NameServer> started = new AtomicReference<>();
    Signal.handle(new Signal("HUP"), signal -> reload(file, started));
    NameServer server = new NameServer(ServiceSettings.read(file), module);
    CountDownLatch opened = new CountDownLatch(1);
    AtomicReference<IOException> failed = new AtomicReference<>();
    server.eventLoop.execute(
        () -> {
          try {
            server.open();
          } catch (IOException e) {
            failed.set(e);
          }
          opened.countDown();
        });
    try {
      opened.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    if (failed.get() != null) {
      throw new IOException(
          "cannot listen on "
              + text(server.settings.dns().listen())
              + ": "
              + failed.get().getMessage());
    }
    started.set(server);
    Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
    Log.infoWithFields(
        "dns",
        "answering",
        "listen",
        text(server.settings.dns().listen()),
        "zones",
        server.settings.dns().zones().size());
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** On a signal's thread: reads all again, and takes it up where all of it can be used. */
  private static synchronized void reload(Path file, AtomicReference<NameServer> started) {
    NameServer server = started.get();
    if (server == null) {
      return;
    }
    try {
      ServiceSettings told = ServiceSettings.read(file);
      if (!told.platform().settings().equals(server.settings.platform().settings())) {
        // Places and profiles would mean others than the modules' own.
        Log.info(
            "config-unusable",
            "the old one holds: the instance's settings differ, which needs a start");
        return;
      }
      List<String> later = server.differsIn(told);
      server.eventLoop.execute(
          () -> {
            server.apply(told);
            server.move();
            Log.info(
                "config",
                "read again"
                    + (later.isEmpty()
                        ? ""
                        : "; not before the next start: " + String.join(", ", later)));
          });
    } catch (InvalidSettingsException e) {
      Log.info("config-unusable", "the old one holds: " + e.summary());
    }
  }

  /** What cannot change in service, of what the other says differently. */
  private List<String> differsIn(ServiceSettings told) {
    List<String> later = new ArrayList<>();
    if (!told.dns().listen().equals(settings.dns().listen())) {
      later.add("listen");
    }
    if (told.instances() != settings.instances()) {
      later.add("instances");
    }
    if (!java.util.Objects.equals(told.dns().healthChecks(), settings.dns().healthChecks())) {
      later.add("probing");
    }
    return later;
  }

  private void open() throws IOException {
    instance.applyBootstrapEvents();
    InetSocketAddress address = settings.dns().listen();
    datagrams.listen(
        address, (bytes, from, at, answer) -> query(bytes, from.getAddress(), true, answer));
    instance
        .transport()
        .listen(
            address,
            connection ->
                new TcpQueryConnection(
                    eventLoop,
                    connection,
                    settings.dns().limits().idleTimeout(),
                    settings.dns().limits().maxPipelinedQueries(),
                    (bytes, from, answer) -> query(bytes, from, false, answer)));
    move();
    if (healthChecks != null) {
      new HealthChecker(
              eventLoop,
              instance.endpoints(),
              healthChecks,
              List.copyOf(policies.values()),
              settings.dns().healthChecks().timeout())
          .tick();
    }
    eventLoop.schedule(COUNTER_LOG_INTERVAL, this::logCounters);
  }

  /**
   * Follows the feed where the settings say it is, once its name is looked up where it is told by
   * one.
   */
  private void move() {
    String feed = settings.feed();
    if (feed == null) {
      follow(settings.platform().feed());
    } else if (ServiceSettings.isNumericAddress(feed)) {
      follow(ServiceSettings.parseAddress(feed));
    } else {
      lookUp(feed);
    }
  }

  private void follow(InetSocketAddress feed) {
    instance.moveFeed(feed);
    if (!following) {
      following = true;
      instance.startFeed();
    }
  }

  private void lookUp(String feed) {
    int colon = feed.lastIndexOf(':');
    int port = Integer.parseInt(feed.substring(colon + 1));
    forwarder.query(
        lookUps,
        Forwarder.absoluteName(feed.substring(0, colon)),
        Type.A,
        result -> {
          InetAddress found = null;
          for (Record record :
              result.message() == null
                  ? List.<Record>of()
                  : result.message().getSection(Section.ANSWER)) {
            found = found == null && record instanceof ARecord a ? a.getAddress() : found;
          }
          if (found != null) {
            follow(new InetSocketAddress(found, port));
          } else {
            Log.infoWithFields("feed-unknown", "its name can't be looked up", "name", feed);
          }
          // One look-up is planned at a time, however often the settings are read again.
          nextLookUp.run();
          nextLookUp =
              eventLoop.schedule(
                  found == null ? FEED_LOOKUP_RETRY : FEED_LOOKUP_INTERVAL,
                  () -> {
                    if (feed.equals(settings.feed())) {
                      lookUp(feed);
                    }
                  });
        });
  }

  private void query(byte[] bytes, InetAddress from, boolean datagram, Consumer<byte[]> answer) {
    if (stopping) {
      send(null, datagram, answer);
      return;
    }
    Responder.Reply reply = responder.answer(bytes, from, datagram, eventLoop.now(), Instant.now());
    if (reply instanceof Responder.Forward handOn) {
      forwardedInFlight++;
      Responder asker = responder;
      forwarder.query(
          routes.get(handOn.zone()),
          handOn.question().getName(),
          handOn.question().getType(),
          result -> {
            forwardedInFlight--;
            send(
                asker.onForwardedAnswer(
                    handOn.pending(),
                    result.message(),
                    result.stale(),
                    eventLoop.now(),
                    Instant.now()),
                datagram,
                answer);
          });
    } else {
      send(reply, datagram, answer);
    }
  }

  private static void send(Responder.Reply reply, boolean datagram, Consumer<byte[]> answer) {
    if (reply instanceof Responder.Send send) {
      answer.accept(send.bytes());
    } else if (!datagram) {
      // A connection's count of open queries must come down.
      answer.accept(null);
    }
  }

  private void logCounters() {
    Object[] named = counters.changesSinceLastReport();
    if (datagrams.dropped() > reportedDrops) {
      Log.infoWithFields(
          "dns-flooded",
          "datagrams dropped unread",
          "dropped",
          datagrams.dropped() - reportedDrops);
      reportedDrops = datagrams.dropped();
    }
    if (named.length > 0) {
      Log.infoWithFields(
          "dns-counts", "in the last " + COUNTER_LOG_INTERVAL.toSeconds() + " s", named);
    }
    Map<SteeringDecision.Reason, Long> reasons = responder.reasons();
    if (!reasons.isEmpty()) {
      Log.infoWithFields("dns-reasons", reasons);
    }
    eventLoop.schedule(COUNTER_LOG_INTERVAL, this::logCounters);
  }

  /**
   * On SIGTERM, on the stopping thread: no more is taken in, what is in hand is answered, and the
   * process ends.
   */
  private void stop() {
    try {
      eventLoop.execute(() -> stopping = true);
      Duration longest =
          settings.dns().forwardedZones().stream()
              .map(DnsSettings.ForwardedZone::timeout)
              .max(Duration::compareTo)
              .orElse(Duration.ZERO);
      Duration end = eventLoop.now().plus(longest);
      AtomicReference<Integer> left = new AtomicReference<>();
      do {
        CountDownLatch looked = new CountDownLatch(1);
        eventLoop.execute(
            () -> {
              left.set(forwardedInFlight);
              looked.countDown();
            });
        looked.await(1, TimeUnit.SECONDS);
        Thread.sleep(20);
      } while (eventLoop.now().compareTo(end) < 0 && left.get() != null && left.get() > 0);
      Log.infoWithFields("stop", "SIGTERM", "in_hand", left.get());
      // The last answers are with MINA's thread, which needs a moment to write them.
      Thread.sleep(50);
    } catch (InterruptedException e) {
      Log.info("stop", e);
    }
    instance.transport().shutDown();
    datagrams.shutDown();
  }
}
