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
 * The parts of one router instance that every front end needs: event loop, sockets, buffers, the
 * registry of caches, the client of the control feed, and the routing policies that all of these
 * inform.
 */
public final class RouterInstance {

  /** Several, so that a large response does not hold up all others; few, so that each is shared. */
  private static final int MAX_CONNECTIONS_PER_CACHE = 4;

  private final List<RoutingPolicy> policies;
  private final EventLoop eventLoop;
  private PlatformConfiguration configuration;
  private final BufferPool bufferPool;
  private final SocketTransport transport;
  private final CacheConnectionPool.Limits limits;
  private final EndpointRegistry endpoints;
  private final ControlFeedClient feedClient;

  /**
   * Creates an instance that is not connected to anything yet.
   *
   * @param configuration of the platform
   * @param eventLoop that runs the instance
   * @param policies that are informed of caches, purges and quotas
   * @throws MalformedSettingsException if a setting that is needed here is malformed
   */
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
    // The address makes the retry delays of instances differ even if all have the same seed.
    long retrySeed = configuration.seed() ^ configuration.listen().hashCode();
    feedClient =
        new ControlFeedClient(transport, eventLoop, configuration.feed(), endpoints, retrySeed);
  }

  /** Creates the connections to a cache. */
  public CacheConnectionPool newConnectionPool(String id, InetSocketAddress address) {
    return new CacheConnectionPool(transport, eventLoop, id, address, limits);
  }

  /** The event loop that all parts are confined to. */
  public EventLoop eventLoop() {
    return eventLoop;
  }

  /** The configuration; without its bootstrap events once these were applied. */
  public PlatformConfiguration configuration() {
    return configuration;
  }

  /** The buffers for all connections. */
  public BufferPool bufferPool() {
    return bufferPool;
  }

  /** The sockets for all connections. */
  public SocketTransport transport() {
    return transport;
  }

  /** The registry of caches. */
  public EndpointRegistry endpoints() {
    return endpoints;
  }

  /** Applies the events that the configuration file brings along; on the event loop. */
  public void applyBootstrapEvents() {
    String bootstrapEvents = configuration.bootstrapEvents();
    configuration = configuration.withoutBootstrapEvents();
    if (bootstrapEvents.isEmpty()) {
      return;
    }
    try {
      endpoints.onEvents(bootstrapEvents);
    } catch (MalformedMessageException e) {
      Log.info("feed-malformed", "bootstrap events: " + e.getMessage());
    }
  }

  /**
   * Grants this instance a share of the load that each cold cache of a tier can bear; when the
   * grant expires, the even share applies again.
   *
   * @param tier of the caches
   * @param share from 0 to 1
   * @param duration of the grant from now on
   */
  public void applyQuotaGrant(Cache.Tier tier, double share, Duration duration) {
    Duration now = eventLoop.now();
    policies.forEach(policy -> policy.onQuotaGrant(tier, share, now.plus(duration), now));
  }

  /** Starts following the control feed, from the last event applied. */
  public void startFeed() {
    feedClient.start();
  }

  /** Follows the control feed at another address from now on. */
  public void moveFeed(InetSocketAddress newAddress) {
    feedClient.moveTo(newAddress);
  }
}
