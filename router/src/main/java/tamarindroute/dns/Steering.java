package tamarindroute.dns;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import tamarindroute.decision.Cache;
import tamarindroute.decision.CacheHealth;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.DnsSettings.CacheAddress;
import tamarindroute.dns.SteeringDecision.Reason;

/**
 * Chooses the caches that answer a steered name. The routing policy of the location provides the
 * ranking and the health of the caches; steering adds the load of answers that resolvers may still
 * cache. A cold cache is named only while that load fits its slow start, which only grows until the
 * cache restarts, so that each answer stays within the limit until it expires.
 */
public final class Steering {

  /** Silence of the feed that counts as a fault; the feed sends something twice as often. */
  private static final Duration FEED_LATE_AFTER = Duration.ofSeconds(7);

  /** Added to the longest cache time, as resolvers count TTLs in whole seconds. */
  private static final Duration TTL_GRANULARITY = Duration.ofSeconds(1);

  private static final long STATE_HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

  private final DnsSettings.SteeringSettings settings;
  private final CacheDirectory directory;
  private final Map<String, Location> locations = new HashMap<>();
  private final Map<String, RoutingPolicy> policies;
  private final Map<String, TtlPolicy> ttlPolicies = new HashMap<>();
  private final OutstandingLoad outstandingLoad;
  private final CandidateSelector selector;

  /** One query: what it asks for, the load of its answer, and the addresses that can answer it. */
  private record Request(
      SteeringTarget target,
      double load,
      Predicate<CacheAddress> fits,
      boolean feedLost,
      Duration now) {}

  /**
   * Creates steering for new settings.
   *
   * @param policies routing policies by label of their locations
   * @param previous steering under earlier settings, whose answers still count; null for none
   */
  public Steering(
      DnsSettings.SteeringSettings settings,
      CacheDirectory directory,
      Map<String, RoutingPolicy> policies,
      Steering previous,
      Duration now) {
    this.settings = settings;
    this.directory = directory;
    this.policies = Map.copyOf(policies);
    for (Location location : settings.locations()) {
      locations.put(location.label(), location);
      ttlPolicies.put(location.label(), new TtlPolicy(settings.minTtl(), settings.maxTtl()));
    }
    Duration maxCacheTime =
        longer(settings.maxTtl(), settings.minResolverCacheTime()).plus(TTL_GRANULARITY);
    outstandingLoad =
        previous == null
            ? OutstandingLoad.create(maxCacheTime)
            : previous.outstandingLoad.succeededBy(maxCacheTime, now);
    selector = new CandidateSelector(outstandingLoad);
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /**
   * Decides on an answer and counts its load, so call this only for answers that will be sent.
   *
   * @param load the most concurrent transfers that the answer may bring
   * @param fits whether the question can be answered with an address
   */
  public SteeringDecision choose(
      SteeringTarget target, double load, Predicate<CacheAddress> fits, Duration now) {
    if (!directory.listReceived()) {
      return SteeringDecision.unanswered(Reason.NO_LIST, Duration.ZERO);
    }
    if (target instanceof SteeringTarget.ById byId) {
      return chooseById(byId, fits);
    }
    Duration feedSilence = directory.feedSilence(now);
    boolean feedLost = feedSilence.compareTo(settings.maxListAge()) > 0;
    boolean feedLate = feedSilence.compareTo(FEED_LATE_AFTER) > 0;
    Request request = new Request(target, load, fits, feedLost, now);
    List<Candidate> listed = candidates(target, target.location(), now);
    Duration ttl = feedLate ? settings.minTtl() : ttl(request, listed);
    List<Candidate> known = listed.stream().filter(one -> isKnown(one, request)).toList();
    if (known.isEmpty() && !listed.isEmpty()) {
      return SteeringDecision.unanswered(Reason.FEED_LOST, Duration.ZERO);
    }
    List<Candidate> fitting = known.stream().filter(one -> fits.test(one.address())).toList();
    if (fitting.isEmpty() && !known.isEmpty()) {
      return SteeringDecision.unanswered(Reason.NO_SUCH_FAMILY, ttl);
    }
    return chooseAmong(fitting, request, ttl, feedLate);
  }

  /** While the feed is lost, only caches that a health check found ready are known. */
  private boolean isKnown(Candidate candidate, Request request) {
    return !request.feedLost || directory.isRecentlyReady(candidate.cache(), request.now);
  }

  private SteeringDecision chooseAmong(
      List<Candidate> fitting, Request request, Duration ttl, boolean feedLate) {
    List<Candidate> usable = usable(fitting, request);
    if (usable.isEmpty()) {
      return chooseLastResort(fitting, request);
    }
    Candidate first = best(usable, request);
    Reason reason = Reason.ORDINARY;
    if (feedLate) {
      reason = Reason.LAST_KNOWN;
    } else if (request.target instanceof SteeringTarget.HomeOfPartition
        && !first.equals(fitting.get(0))) {
      reason = Reason.NEXT_HOME;
    }
    return answerWith(first, usable, request, ttl, reason);
  }

  private List<Candidate> usable(List<Candidate> candidates, Request request) {
    return candidates.stream()
        .filter(candidate -> selector.isUsable(candidate, request.load, request.now))
        .toList();
  }

  private Candidate best(List<Candidate> usable, Request request) {
    return request.target instanceof SteeringTarget.HomeOfPartition
        ? CandidateSelector.preferredHome(usable)
        : selector.leastLoaded(usable, request.load, request.now);
  }

  /** No cache of the location is usable: a neighbour answers, or the least suspect cache. */
  private SteeringDecision chooseLastResort(List<Candidate> fitting, Request request) {
    for (String label : request.target.location().neighbours()) {
      Location neighbour = locations.get(label);
      List<Candidate> there =
          candidates(request.target.withLocation(neighbour), neighbour, request.now).stream()
              .filter(one -> request.fits.test(one.address()) && isKnown(one, request))
              .toList();
      List<Candidate> usable = usable(there, request);
      if (!usable.isEmpty()) {
        return answerAlone(best(usable, request), request, Reason.NEIGHBOUR);
      }
    }
    List<Candidate> ready = fitting.stream().filter(one -> one.health().ready()).toList();
    return selector
        .leastSuspect(ready, request.load, request.now)
        .map(least -> answerAlone(least, request, Reason.LEAST_BAD))
        .orElseGet(
            () ->
                SteeringDecision.unanswered(
                    ready.isEmpty() ? Reason.NONE_READY : Reason.COLD, Duration.ZERO));
  }

  /** Returns the address of a cache that an earlier answer named, whose load is counted already. */
  private SteeringDecision chooseById(SteeringTarget.ById target, Predicate<CacheAddress> fits) {
    for (Cache cache : directory.caches()) {
      CacheAddress address = directory.address(cache);
      if (address.id().equalsIgnoreCase(target.id())
          && cache.availability == Cache.Availability.READY) {
        return fits.test(address)
            ? new SteeringDecision(List.of(address), settings.minTtl(), Reason.ORDINARY)
            : SteeringDecision.unanswered(Reason.NO_SUCH_FAMILY, settings.minTtl());
      }
    }
    return SteeringDecision.unanswered(Reason.NO_SUCH_CACHE, settings.minTtl());
  }

  /** Returns the caches that serve a target at a location, ranked by the routing policy. */
  private List<Candidate> candidates(SteeringTarget target, Location location, Duration now) {
    RoutingPolicy policy = policies.get(location.label());
    List<Candidate> candidates = new ArrayList<>();
    for (Cache cache : rankedCaches(target, policy)) {
      CacheHealth health =
          cache.availability == Cache.Availability.GONE ? null : policy.cacheHealth(cache, now);
      if (health != null) {
        candidates.add(new Candidate(cache, directory.address(cache), health));
      }
    }
    return candidates;
  }

  private List<Cache> rankedCaches(SteeringTarget target, RoutingPolicy policy) {
    if (bypassesEdges(target)) {
      return directory.caches().stream().filter(cache -> cache.tier == Cache.Tier.ORIGIN).toList();
    }
    int partition = target instanceof SteeringTarget.HomeOfPartition home ? home.partition() : 0;
    return policy.rankedCaches(partition);
  }

  /** Uncacheable requests go straight to the origin where the settings allow it. */
  private boolean bypassesEdges(SteeringTarget target) {
    return target instanceof SteeringTarget.ForRequestClass forClass
        && !forClass.requestClass().cacheable()
        && settings.edgeBypassAllowed();
  }

  /** Returns the TTL that the state of the location's edges allows. */
  private Duration ttl(Request request, List<Candidate> listed) {
    Location location = request.target.location();
    List<Candidate> edges =
        bypassesEdges(request.target)
            ? candidates(new SteeringTarget.AnyCache(location), location, request.now)
            : listed;
    // A sum, as it does not depend on the ranking, which differs by target.
    long state = edges.size();
    boolean unsettled = false;
    for (Candidate edge : edges) {
      state += edge.address().hashCode() * STATE_HASH_MULTIPLIER;
      unsettled |= !edge.health().ready() || edge.health().cold() || edge.health().ejected();
    }
    return ttlPolicies.get(location.label()).ttl(state, unsettled, request.now);
  }

  private SteeringDecision answerAlone(Candidate candidate, Request request, Reason reason) {
    return answerWith(candidate, List.of(candidate), request, settings.minTtl(), reason);
  }

  /** Answers with a candidate and as many alternatives as the settings allow; counts the load. */
  private SteeringDecision answerWith(
      Candidate first, List<Candidate> usable, Request request, Duration ttl, Reason reason) {
    List<Candidate> selected =
        selector.withAlternatives(
            first, usable, settings.maxAddresses(), request.load, request.now);
    Duration cacheTime = longer(ttl, settings.minResolverCacheTime());
    double loadEach = request.load / selected.size();
    List<CacheAddress> addresses = new ArrayList<>();
    for (Candidate candidate : selected) {
      if (outstandingLoad.add(candidate.address(), loadEach, cacheTime, request.now)) {
        addresses.add(candidate.address());
      }
    }
    return addresses.isEmpty()
        ? SteeringDecision.unanswered(Reason.COLD, Duration.ZERO)
        : new SteeringDecision(addresses, ttl, reason);
  }

  /** Returns the load in transfers that answers of this instance may still bring to an address. */
  public double outstandingLoad(CacheAddress address, Duration now) {
    return outstandingLoad.at(address, now);
  }
}
