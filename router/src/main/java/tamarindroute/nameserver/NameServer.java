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
import tamarindroute.config.ServiceSettings;
import tamarindroute.config.UnusableException;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.Choice;
import tamarindroute.dns.Cookies;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.Location;
import tamarindroute.dns.Probes;
import tamarindroute.dns.RateLimit;
import tamarindroute.dns.Responder;
import tamarindroute.dns.Steering;
import tamarindroute.dns.Tally;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.host.RouterInstance;
import tamarindroute.log.Log;
import tamarindroute.net.DatagramTransport;
import tamarindroute.resolver.Forwarder;
import tamarindroute.resolver.Upstreams;

/**
 * Owns one name server's life: its start from the settings, the wiring, the change of settings on
 * SIGHUP, whole or not at all, and the way out on SIGTERM. It must never take part in an answer.
 */
public final class NameServer {

  /** Descriptors beside clients' connections: probes, questions of ours, the program's own. */
  private static final int OWN_DESCRIPTORS = 64;

  private static final int LEAST_CONNECTED = 512;

  /** Counters go to the log this often. */
  private static final Duration COUNTED = Duration.ofSeconds(60);

  /** A feed told by name is looked up again this often, and sooner while that fails. */
  private static final Duration LOOKED_UP = Duration.ofSeconds(60);

  private static final Duration LOOK_UP_SOON = Duration.ofSeconds(2);
  private static final int SECRET = 32;

  private final EventLoop eventLoop = new EventLoop();
  private final DatagramTransport datagrams = new DatagramTransport(eventLoop);
  private final Tally tally = new Tally();
  private final Map<Integer, RoutingPolicy> modules = new HashMap<>();
  private final RouterInstance instance;
  private final Members members;
  private final Probes probes;
  private final Forwarder forwarder;
  private final long seed;
  private ServiceSettings settings;
  private Cookies cookies;
  private RateLimit limit;
  private Steering steering;
  private Responder responder;
  private Map<DnsSettings.Forwarded, Forwarder.Route> routes = Map.of();
  private Forwarder.Route lookUps;
  private Runnable nextLookUp = () -> {};
  private boolean following;
  private int handedOn;
  private int dropped;
  private boolean stopping;

  private NameServer(ServiceSettings settings, Function<PolicySettings, RoutingPolicy> module)
      throws IOException {
    this.settings = settings;
    PlatformConfiguration platform = settings.platform();
    seed = platform.seed();
    List<String> places = platform.settings().zones();
    PolicySettings told = platform.settings().settings(seed);
    for (int place = 0; place < Math.max(1, places.size()); place++) {
      modules.put(place, module.apply(at(told, place, settings.instances())));
    }
    int connected = Math.max(LEAST_CONNECTED, settings.dns().limits().connections());
    PlatformConfiguration own =
        new PlatformConfiguration(
            platform.listen(),
            platform.feed(),
            seed,
            platform.memoryBytes(),
            OWN_DESCRIPTORS + 2 * connected,
            platform.bootstrapEvents(),
            platform.settings());
    instance = new RouterInstance(own, eventLoop, List.copyOf(modules.values()));
    DnsSettings.Probing probing = settings.dns().probing();
    probes = probing == null ? null : new Probes(probing);
    members = new Members(instance.endpoints(), probes);
    instance.endpoints().onChange(members::changed);
    forwarder = new Forwarder(eventLoop, datagrams, instance.transport());
    take(settings);
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
  private void take(ServiceSettings told) {
    DnsSettings dns = told.dns();
    Cookies newCookies =
        cookies != null && dns.cookies() == null ? cookies : new Cookies(keys(dns.cookies()));
    DnsSettings.Limits limits = dns.limits();
    boolean sameLimit =
        limit != null
            && settings.dns().limits().perSecond() == limits.perSecond()
            && settings.dns().limits().slip() == limits.slip();
    RateLimit newLimit = sameLimit ? limit : new RateLimit(limits.perSecond(), limits.slip());
    Steering newSteering = steering;
    if (dns.steer() != null) {
      Map<String, RoutingPolicy> byLabel = new HashMap<>();
      for (Location location : dns.steer().locations()) {
        byLabel.put(location.label(), modules.get(location.place()));
      }
      newSteering = new Steering(dns.steer(), members, byLabel, steering, eventLoop.now());
    }
    Responder newResponder = new Responder(dns, newSteering, newCookies, newLimit, tally);
    Map<DnsSettings.Forwarded, Forwarder.Route> newRoutes = new HashMap<>();
    for (DnsSettings.Forwarded one : dns.forwarded()) {
      Forwarder.Route known = routes.get(one);
      newRoutes.put(
          one,
          known != null
              ? known
              : new Forwarder.Route(
                  one.zone(),
                  new Upstreams(one.upstreams(), Forwarder.MOST_IN_FLIGHT, seed),
                  one.within(),
                  one.staleFor(),
                  false));
    }
    lookUps =
        told.resolvers().isEmpty()
            ? null
            : Forwarder.resolvers(told.resolvers(), told.resolveWithin(), seed);
    cookies = newCookies;
    limit = newLimit;
    steering = newSteering;
    responder = newResponder;
    routes = newRoutes;
    settings = told;
    instance.transport().limitClients(limits.connections());
  }

  /** The secrets told, or one of this start's own. */
  private static DnsSettings.CookieKeys keys(DnsSettings.CookieKeys told) {
    if (told != null) {
      return told;
    }
    byte[] secret = new byte[SECRET];
    new SecureRandom().nextBytes(secret);
    return new DnsSettings.CookieKeys(secret, null);
  }

  /** Starts a name server; returns when it listens, the rest goes on in threads of its own. */
  public static void start(Path file, Function<PolicySettings, RoutingPolicy> module)
      throws IOException {
    AtomicReference<NameServer> started = new AtomicReference<>();
    Signal.handle(new Signal("HUP"), signal -> reread(file, started));
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
  private static synchronized void reread(Path file, AtomicReference<NameServer> started) {
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
            server.take(told);
            server.move();
            Log.info(
                "config",
                "read again"
                    + (later.isEmpty()
                        ? ""
                        : "; not before the next start: " + String.join(", ", later)));
          });
    } catch (UnusableException e) {
      Log.info("config-unusable", "the old one holds: " + e.inOneLine());
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
    if (!java.util.Objects.equals(told.dns().probing(), settings.dns().probing())) {
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
                new Stream(
                    eventLoop,
                    connection,
                    settings.dns().limits().idle(),
                    settings.dns().limits().pipelined(),
                    (bytes, from, answer) -> query(bytes, from, false, answer)));
    move();
    if (probes != null) {
      new Prober(
              eventLoop,
              instance.endpoints(),
              probes,
              List.copyOf(modules.values()),
              settings.dns().probing().within())
          .tick();
    }
    eventLoop.schedule(COUNTED, this::count);
  }

  /**
   * Follows the feed where the settings say it is, once its name is looked up where it is told by
   * one.
   */
  private void move() {
    String feed = settings.feed();
    if (feed == null) {
      follow(settings.platform().feed());
    } else if (ServiceSettings.numeric(feed)) {
      follow(ServiceSettings.address(feed));
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
    forwarder.ask(
        lookUps,
        Forwarder.name(feed.substring(0, colon)),
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
                  found == null ? LOOK_UP_SOON : LOOKED_UP,
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
    if (reply instanceof Responder.HandOn handOn) {
      handedOn++;
      Responder asker = responder;
      forwarder.ask(
          routes.get(handOn.zone()),
          handOn.question().getName(),
          handOn.question().getType(),
          result -> {
            handedOn--;
            send(
                asker.handedBack(
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

  private void count() {
    Object[] named = tally.sinceLast();
    if (datagrams.dropped() > dropped) {
      Log.infoWithFields(
          "dns-flooded", "datagrams dropped unread", "dropped", datagrams.dropped() - dropped);
      dropped = datagrams.dropped();
    }
    if (named.length > 0) {
      Log.infoWithFields("dns-counts", "in the last " + COUNTED.toSeconds() + " s", named);
    }
    Map<Choice.Reason, Long> reasons = responder.reasons();
    if (!reasons.isEmpty()) {
      Log.infoWithFields("dns-reasons", reasons);
    }
    eventLoop.schedule(COUNTED, this::count);
  }

  /**
   * On SIGTERM, on the stopping thread: no more is taken in, what is in hand is answered, and the
   * process ends.
   */
  private void stop() {
    try {
      eventLoop.execute(() -> stopping = true);
      Duration longest =
          settings.dns().forwarded().stream()
              .map(DnsSettings.Forwarded::within)
              .max(Duration::compareTo)
              .orElse(Duration.ZERO);
      Duration end = eventLoop.now().plus(longest);
      AtomicReference<Integer> left = new AtomicReference<>();
      do {
        CountDownLatch looked = new CountDownLatch(1);
        eventLoop.execute(
            () -> {
              left.set(handedOn);
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
