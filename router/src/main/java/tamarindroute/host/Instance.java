package tamarindroute.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.log.Log;
import tamarindroute.net.CacheLine;
import tamarindroute.net.Feed;
import tamarindroute.net.Pool;
import tamarindroute.net.Sockets;
import tamarindroute.protocol.MalformedException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns one instance's clock, sockets, list of caches and feed, and the modules that are told of
 * them. It must never take part in a front's work, nor judge what the feed says.
 */
public final class Instance {

  /**
   * Connections to one cache: enough that a large answer does not stop the others, few enough to
   * share.
   */
  private static final int FEW = 4;

  private final List<Decisions> modules;
  private final Clock clock;
  private Config config;
  private final Pool pool;
  private final Sockets sockets;
  private final CacheLine.Limits limits;
  private final Roster roster;
  private final Feed feed;

  /** The modules hear all that the feed tells; most fronts have one. */
  public Instance(Config config, Clock clock, List<Decisions> modules)
      throws MalformedSettingsException {
    this.config = config;
    this.modules = List.copyOf(modules);
    this.clock = clock;
    SettingsReader settings = config.settings();
    pool = new Pool(config.memory());
    sockets = new Sockets(clock, pool, config.descriptors());
    limits =
        new CacheLine.Limits(
            FEW, settings.mostOnConnection(), settings.connectWithin(), settings.keepIdle());
    roster = new Roster(settings, modules, clock, this::line);
    // No two of a fleet draw the same pauses, also where one seed was given to all.
    feed =
        new Feed(sockets, clock, config.feed(), roster, config.seed() ^ config.listen().hashCode());
  }

  /** The connections to a cache. */
  public CacheLine line(String id, InetSocketAddress address) {
    return new CacheLine(sockets, clock, id, address, limits);
  }

  public Clock clock() {
    return clock;
  }

  public Config config() {
    return config;
  }

  public Pool pool() {
    return pool;
  }

  public Sockets sockets() {
    return sockets;
  }

  public Roster roster() {
    return roster;
  }

  /** Reads what the configuration knows of the feed; on the owner's thread. */
  public void known() {
    String known = config.known();
    config = config.started();
    if (known.isEmpty()) {
      return;
    }
    try {
      roster.read(known);
    } catch (MalformedException e) {
      Log.line("feed-unreadable", e.getMessage());
    }
  }

  /**
   * This instance's part of what each cold cache of a tier bears, from now on for so long; the even
   * share after it.
   */
  public void dealt(Cache.Tier tier, double part, Duration span) {
    Duration now = clock.now();
    modules.forEach(module -> module.dealt(tier, part, now.plus(span), now));
  }

  /** Follows the feed from the last event on. */
  public void follow() {
    feed.start();
  }

  /** The feed is elsewhere from now on. */
  public void move(InetSocketAddress elsewhere) {
    feed.move(elsewhere);
  }
}
