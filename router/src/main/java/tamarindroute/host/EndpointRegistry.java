package tamarindroute.host;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Purge;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.log.Log;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.ControlFeedClient;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * The caches that the control feed lists, with their connections. Applies each event of the feed
 * once and in order, and publishes changes to the routing policies. A malformed event affects only
 * itself.
 */
public final class EndpointRegistry implements ControlFeedClient.FeedListener {

  /** Creates the connections to a cache. */
  @FunctionalInterface
  public interface ConnectionPoolFactory {

    /** Creates the pool for the cache of this id at this address. */
    CacheConnectionPool create(String id, InetSocketAddress address);
  }

  private final List<RoutingPolicy> policies;
  private final EventLoop eventLoop;
  private final EndpointTable endpoints;
  private final FeedSequence sequence = new FeedSequence();
  private List<Cache> caches = List.of();
  private boolean listReceived;
  private Duration lastFeedReadAt;
  private Consumer<String> feedReadListener = text -> {};
  private Runnable firstListListener = () -> {};
  private Runnable changeListener = () -> {};

  /**
   * Creates an empty registry.
   *
   * @param settings that name the zones and the kinds of machines
   * @param policies that are informed of all changes
   * @param eventLoop that calls the registry
   * @param connectionPoolFactory creates the connections to each cache
   * @throws MalformedSettingsException if the settings' kinds of parents or origins are not numbers
   */
  public EndpointRegistry(
      SettingsReader settings,
      List<RoutingPolicy> policies,
      EventLoop eventLoop,
      ConnectionPoolFactory connectionPoolFactory)
      throws MalformedSettingsException {
    this.policies = List.copyOf(policies);
    this.eventLoop = eventLoop;
    this.endpoints = new EndpointTable(settings, this::notAfterNow, connectionPoolFactory);
  }

  /** The id of a cache that is listed or has attempts in flight. */
  public String id(Cache cache) {
    return endpoints.get(cache).id;
  }

  /** The connections to a cache that is listed or has attempts in flight. */
  public CacheConnectionPool connectionPool(Cache cache) {
    return endpoints.get(cache).connectionPool;
  }

  /** The address of a cache that is listed or has attempts in flight. */
  public InetSocketAddress address(Cache cache) {
    return connectionPool(cache).address();
  }

  /** The listed caches without those that are gone, ordered by their stable ids. */
  public List<Cache> caches() {
    return caches;
  }

  /**
   * When a response of this gateway's own feed was last applied, by the event loop's clock; null
   * before the first.
   */
  public Duration lastFeedReadAt() {
    return lastFeedReadAt;
  }

  /** Whether a list of caches was applied. */
  public boolean listReceived() {
    return listReceived;
  }

  /** Sets what is run once, after the first list of caches was published. */
  public void onFirstList(Runnable listener) {
    firstListListener = listener;
  }

  /** Sets what is run after each change that was published. */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /** Sets what is given each text of this gateway's own feed, after it was applied. */
  public void onFeedRead(Consumer<String> listener) {
    feedReadListener = listener;
  }

  /**
   * Counts the attempts in flight, for the sake of which a cache that is gone is kept.
   *
   * @param attempt that was sent, or whose outcome was handled
   * @param change 1 or -1
   */
  public void countAttempt(Attempt attempt, int change) {
    endpoints.get(attempt.cache).attemptsInFlight += change;
    endpoints.get(attempt.source).attemptsInFlight += change;
  }

  /** Closes the connections to all caches. */
  public void shutDown() {
    endpoints.shutDown();
  }

  @Override
  public long lastEventNumber() {
    return sequence.lastApplied();
  }

  @Override
  public void onEvents(String text) throws MalformedMessageException {
    FeedEventReader events = new FeedEventReader(text);
    sequence.checkNewest(events.newestNumber());
    events.deliverTo(new EventApplier());
    sequence.onFeedRead(events.newestNumber());
    lastFeedReadAt = eventLoop.now();
    feedReadListener.accept(text);
  }

  /**
   * Applies an event that another gateway received, if it is the next one.
   *
   * @param number of the event
   * @param event as JSON
   * @return whether it was applied
   * @throws MalformedMessageException if the text is not exactly the event of this number
   */
  public boolean applyReplicatedEvent(long number, String event) throws MalformedMessageException {
    if (!sequence.isNext(number)) {
      return false;
    }
    FeedEventReader events = new FeedEventReader(FeedFormat.responseOf(number, event));
    if (!events.containsOnly(number)) {
      throw new MalformedMessageException("replicated text is not event " + number + " alone");
    }
    events.deliverTo(new EventApplier());
    sequence.onReplicated();
    return true;
  }

  /**
   * Applies events one by one; skips malformed entries, since one of them must not hide all later
   * events.
   */
  private final class EventApplier implements FeedEventReader.FeedEventHandler {

    private final Set<String> listedIds = new HashSet<>();

    @Override
    public boolean accepts(long number) throws MalformedMessageException {
      return sequence.accepts(number);
    }

    @Override
    public void onEndpoint(JsonObject entry) {
      applyLeniently(
          () -> {
            listedIds.add(FeedFormat.endpointId(entry));
            endpoints.apply(FeedFormat.endpointUpdate(entry));
          },
          entry.get(FeedFormat.ID));
    }

    @Override
    public void onEndpointsEnd(boolean completeList) {
      if (completeList || !listReceived) {
        endpoints.markOthersAsGone(listedIds);
      }
      listedIds.clear();
      publish();
    }

    @Override
    public void onPurge(JsonObject purge) {
      applyLeniently(() -> applyPurge(FeedFormat.purge(purge)), FeedFormat.PURGE);
    }

    /** Catches all that the JSON library and the decoding throw at an entry of another form. */
    private void applyLeniently(Runnable change, Object subject) {
      try {
        change.run();
      } catch (IllegalArgumentException
          | NullPointerException
          | IllegalStateException
          | ClassCastException
          | UnsupportedOperationException e) {
        Log.info("feed-event-malformed", subject + ": " + e.getMessage());
      }
    }

    @Override
    public void onEventEnd(long number) {
      sequence.onApplied(number);
    }
  }

  private void publish() {
    List<Cache> all = endpoints.sortedCaches();
    policies.forEach(policy -> policy.onEndpoints(all, eventLoop.now()));
    all.stream().filter(EndpointRegistry::isGone).forEach(endpoints::retire);
    caches = all.stream().filter(cache -> !isGone(cache)).toList();
    if (!listReceived) {
      listReceived = true;
      firstListListener.run();
    }
    changeListener.run();
  }

  private static boolean isGone(Cache cache) {
    return cache.availability == Cache.Availability.GONE;
  }

  /**
   * Converts a Unix time; a time in the future counts as now, since its effect would last until
   * then.
   */
  private Duration notAfterNow(long unixMillis) {
    Duration now = eventLoop.now();
    Duration time = eventLoop.fromUnixMillis(Math.max(0, unixMillis));
    return time.compareTo(now) < 0 ? time : now;
  }

  private void applyPurge(PurgeNotice notice) {
    Purge purge =
        new Purge(notice.objectId(), notice.group(), notAfterNow(notice.issuedAtMillis()));
    policies.forEach(policy -> policy.onPurge(purge, eventLoop.now()));
  }
}
