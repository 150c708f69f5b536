package tamarindroute.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import tamarindroute.decision.Cache;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.log.Log;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.ControlFeedClient;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns one instance's clock, sockets, list of caches and feed, and the modules that are told of
 * them. It must never take part in a front's work, nor judge what the feed says.
 */
public final class RouterInstance {

  /**
   * Connections to one cache: enough that a large answer does not stop the others, few enough to
   * share.
   */
  private static final int MAX_CONNECTIONS_PER_CACHE = 4;

  private final List<RoutingPolicy> policies;
  private final EventLoop eventLoop;
  private PlatformConfiguration configuration;
  private final BufferPool bufferPool;
  private final SocketTransport transport;
  private final CacheConnectionPool.Limits limits;
  private final EndpointRegistry endpoints;
  private final ControlFeedClient feedClient;

  /** The modules hear all that the feed tells; most fronts have one. */
  public RouterInstance(
      PlatformConfiguration configuration, EventLoop eventLoop, List<RoutingPolicy> policies)
      throws MalformedSettingsException {
    this.configuration = configuration;
    this.policies = List.copyOf(policies);
    this.eventLoop = eventLoop;
    SettingsReader settings = configuration.settings();
    bufferPool = new BufferPool(configuration.memoryBytes());
    transport = new SocketTransport(eventLoop, bufferPool, configuration.descriptorLimit());
    limits =
        new CacheConnectionPool.Limits(
            MAX_CONNECTIONS_PER_CACHE,
            settings.maxRequestsPerConnection(),
            settings.connectTimeout(),
            settings.keepAlive());
    endpoints = new EndpointRegistry(settings, policies, eventLoop, this::newConnectionPool);
    // No two of a fleet draw the same pauses, also where one seed was given to all.
    feedClient =
        new ControlFeedClient(
            transport,
            eventLoop,
            configuration.feed(),
            endpoints,
            configuration.seed() ^ configuration.listen().hashCode());
  }

  /** The connections to a cache. */
  public CacheConnectionPool newConnectionPool(String id, InetSocketAddress address) {
    return new CacheConnectionPool(transport, eventLoop, id, address, limits);
  }

  public EventLoop eventLoop() {
    return eventLoop;
  }

  public PlatformConfiguration configuration() {
    return configuration;
  }

  public BufferPool bufferPool() {
    return bufferPool;
  }

  public SocketTransport transport() {
    return transport;
  }

  public EndpointRegistry endpoints() {
    return endpoints;
  }

  /** Reads what the configuration knows of the feed; on the owner's thread. */
  public void applyBootstrapEvents() {
    String bootstrapEvents = configuration.bootstrapEvents();
    configuration = configuration.withoutBootstrapEvents();
    if (bootstrapEvents.isEmpty()) {
      return;
    }
    try {
      endpoints.onEvents(bootstrapEvents);
    } catch (MalformedMessageException e) {
      Log.info("feed-unreadable", e.getMessage());
    }
  }

  /**
   * This instance's part of what each cold cache of a tier bears, from now on for so long; the even
   * share after it.
   */
  public void applyQuotaGrant(Cache.Tier tier, double share, Duration duration) {
    Duration now = eventLoop.now();
    policies.forEach(module -> module.onQuotaGrant(tier, share, now.plus(duration), now));
  }

  /** Follows the feed from the last event on. */
  public void startFeed() {
    feedClient.start();
  }

  /** The feed is elsewhere from now on. */
  public void moveFeed(InetSocketAddress newAddress) {
    feedClient.moveTo(newAddress);
  }
}
