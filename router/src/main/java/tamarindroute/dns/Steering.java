package tamarindroute.dns;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import tamarindroute.decision.Cache;
import tamarindroute.decision.CacheHealth;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.DnsSettings.CacheAddress;
import tamarindroute.dns.SteeringDecision.Reason;

/**
 * Owns the decision who is answered. What a cache is worth comes from the module of its location;
 * homes and the spread over equal caches are the design's ordinary path. What it adds is the
 * account of answers that are still kept: a cold cache is answered only while all that they bring
 * stays within what it bears, which only grows until it starts anew, so that each answer is within
 * the bound for its whole life. Every last resort is decided here.
 */
public final class Steering {

  /** What the list says, as far as names need it. */
  public interface CacheDirectory {

    /** The caches on the list, without those that are gone. */
    List<Cache> caches();

    CacheAddress address(Cache cache);

    /** Whether a whole list has come. */
    boolean listReceived();

    /** How long the feed has said nothing. */
    Duration feedSilence(Duration now);

    /** Whether a probe has found the cache ready lately. */
    boolean isRecentlyReady(Cache cache, Duration now);
  }

  /** The feed's own waits are half as long: past this its silence is a fault. */
  private static final Duration FEED_LATE = Duration.ofSeconds(7);

  /**
   * From this part of busy cores on a cache gets less of what can go elsewhere; the module's bound
   * for crowds.
   */
  private static final double BUSY = 0.7;

  /** A home is passed by only where it is all but full, and another has cores to spare. */
  private static final double FULL = 0.95;

  /**
   * A busy cache keeps so much of its share at least, lest all its load swing to the others and
   * back.
   */
  private static final double LEAST_SHARE = 0.2;

  private final DnsSettings.SteeringSettings settings;
  private final CacheDirectory directory;
  private final Map<String, Location> locations = new HashMap<>();
  private final Map<String, RoutingPolicy> policies;
  private final Map<String, TtlPolicy> ttlPolicies = new HashMap<>();

  /** The account in use, and those of settings before whose answers may still be kept. */
  private final HandedOutLoad handedOutLoad;

  private final List<HandedOutLoad> previousLoads;

  /**
   * The modules, one a location, by the locations' labels; earlier is whose place this one takes
   * with changed settings, null for none: answers that it gave are still kept.
   */
  public Steering(
      DnsSettings.SteeringSettings settings,
      CacheDirectory fleet,
      Map<String, RoutingPolicy> modules,
      Steering earlier,
      Duration now) {
    this.settings = settings;
    this.directory = fleet;
    this.policies = Map.copyOf(modules);
    for (Location location : settings.locations()) {
      locations.put(location.label(), location);
      ttlPolicies.put(location.label(), new TtlPolicy(settings.minTtl(), settings.maxTtl()));
    }
    Duration longest = longer(settings.maxTtl(), settings.minResolverCacheTime());
    handedOutLoad = new HandedOutLoad(longest.plusSeconds(1));
    previousLoads =
        earlier == null
            ? List.of()
            : Stream.concat(Stream.of(earlier.handedOutLoad), earlier.previousLoads.stream())
                .filter(one -> !one.isEmpty(now))
                .toList();
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /** A cache that may be answered, and what its module holds of it. */
  private record Candidate(Cache cache, CacheAddress address, CacheHealth health) {}

  /**
   * Chooses; the answer is taken as given, so ask only when it will be. The load is what one answer
   * brings at the most; fits tells which addresses the question can be answered with.
   */
  public SteeringDecision choose(
      SteeringTarget target, double load, Predicate<CacheAddress> fits, Duration now) {
    if (!directory.listReceived()) {
      return SteeringDecision.unanswered(Reason.NO_LIST, Duration.ZERO);
    }
    if (target instanceof SteeringTarget.ById one) {
      return byId(one, fits);
    }
    Location location = target.location();
    boolean lost = directory.feedSilence(now).compareTo(settings.maxListAge()) > 0;
    boolean late = directory.feedSilence(now).compareTo(FEED_LATE) > 0;
    List<Candidate> all = candidates(target, location, now);
    Duration ttl =
        late
            ? settings.minTtl()
            : ttl(
                location,
                now,
                bypassesEdges(target)
                    ? candidates(new SteeringTarget.AnyCache(location), location, now)
                    : all);
    List<Candidate> known =
        lost ? all.stream().filter(c -> directory.isRecentlyReady(c.cache, now)).toList() : all;
    if (known.isEmpty() && lost && !all.isEmpty()) {
      return SteeringDecision.unanswered(Reason.FEED_LOST, Duration.ZERO);
    }
    if (!known.isEmpty() && known.stream().noneMatch(c -> fits.test(c.address))) {
      return SteeringDecision.unanswered(Reason.NO_SUCH_FAMILY, ttl);
    }
    known = known.stream().filter(c -> fits.test(c.address)).toList();
    List<Candidate> usable = known.stream().filter(c -> usable(c, load, now)).toList();
    if (!usable.isEmpty()) {
      Candidate first =
          target instanceof SteeringTarget.HomeOfPartition
              ? preferredHome(usable)
              : leastLoaded(usable, load, now);
      Reason reason =
          late
              ? Reason.LAST_KNOWN
              : target instanceof SteeringTarget.HomeOfPartition && first != known.get(0)
                  ? Reason.NEXT_HOME
                  : Reason.ORDINARY;
      return answerWith(first, usable, load, ttl, reason, now);
    }
    for (String label : location.neighbours()) {
      Location neighbour = locations.get(label);
      List<Candidate> there =
          candidates(target.withLocation(neighbour), neighbour, now).stream()
              .filter(
                  c ->
                      fits.test(c.address)
                          && usable(c, load, now)
                          && (!lost || directory.isRecentlyReady(c.cache, now)))
              .toList();
      if (!there.isEmpty()) {
        Candidate first =
            target instanceof SteeringTarget.HomeOfPartition
                ? preferredHome(there)
                : leastLoaded(there, load, now);
        return answerWith(first, List.of(first), load, settings.minTtl(), Reason.NEIGHBOUR, now);
      }
    }
    return leastSuspect(known, load, now);
  }

  /**
   * Nobody is in order: one that is judged bad is better than none, one that drains or bears no
   * more is not.
   */
  private SteeringDecision leastSuspect(List<Candidate> known, double load, Duration now) {
    List<Candidate> ready = known.stream().filter(c -> c.health.ready()).toList();
    Candidate least =
        ready.stream()
            .filter(c -> hasRoom(c, load, now))
            .min(Comparator.comparingDouble(c -> c.health.failureEvidence()))
            .orElse(null);
    if (least != null) {
      return answerWith(least, List.of(least), load, settings.minTtl(), Reason.LEAST_BAD, now);
    }
    return SteeringDecision.unanswered(
        ready.isEmpty() ? Reason.NONE_READY : Reason.COLD, Duration.ZERO);
  }

  /**
   * The address of a cache that an answer named before: not steered, so nothing is counted for it
   * again.
   */
  private SteeringDecision byId(SteeringTarget.ById target, Predicate<CacheAddress> fits) {
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

  /** Who serves this wish at this location, for parts in the order of the design's hashing. */
  private List<Candidate> candidates(SteeringTarget target, Location location, Duration now) {
    RoutingPolicy module = policies.get(location.label());
    List<Cache> caches;
    if (bypassesEdges(target)) {
      // What can't be kept runs at the origin where it may be reached straight, as a gateway's
      // views do.
      caches =
          directory.caches().stream().filter(cache -> cache.tier == Cache.Tier.ORIGIN).toList();
    } else {
      caches =
          module.rankedCaches(
              target instanceof SteeringTarget.HomeOfPartition home ? home.partition() : 0);
    }
    List<Candidate> candidates = new ArrayList<>();
    for (Cache cache : caches) {
      CacheHealth health =
          cache.availability == Cache.Availability.GONE ? null : module.cacheHealth(cache, now);
      if (health != null) {
        candidates.add(new Candidate(cache, directory.address(cache), health));
      }
    }
    return candidates;
  }

  /**
   * The shortest while an edge of the location drains, is cold or is judged bad; else by the time
   * that the list there has not changed.
   */
  private Duration ttl(Location location, Duration now, List<Candidate> edges) {
    // The same whatever the order, which is the wish's own.
    long state = edges.size();
    boolean unsettled = false;
    for (Candidate one : edges) {
      state += one.address.hashCode() * 0x9e3779b97f4a7c15L;
      unsettled |= !one.health.ready() || one.health.cold() || one.health.ejected();
    }
    return ttlPolicies.get(location.label()).ttl(state, unsettled, now);
  }

  /** Whether this wish goes past the edges. */
  private boolean bypassesEdges(SteeringTarget target) {
    return target instanceof SteeringTarget.ForRequestClass profile
        && !profile.requestClass().cacheable()
        && settings.edgeBypassAllowed();
  }

  private boolean usable(Candidate one, double load, Duration now) {
    return one.health.ready() && !one.health.ejected() && hasRoom(one, load, now);
  }

  /**
   * Whether all that is steered there, and this, stays within what it bears; a warm one bears all.
   */
  private boolean hasRoom(Candidate one, double load, Duration now) {
    return !one.health.cold()
        || out(one.address, now) + load <= one.health.maxConcurrentTransfers();
  }

  private double out(CacheAddress address, Duration now) {
    double out = handedOutLoad.load(address.socketAddress(), now);
    for (HandedOutLoad one : previousLoads) {
      out += one.load(address.socketAddress(), now);
    }
    return out;
  }

  /** The first by hashing, unless it is full while another has cores to spare. */
  private static Candidate preferredHome(List<Candidate> usable) {
    Candidate spare =
        usable.stream().filter(c -> c.health.cpuUtilization() < BUSY).findFirst().orElse(null);
    return usable.get(0).health.cpuUtilization() < FULL || spare == null ? usable.get(0) : spare;
  }

  /**
   * Among those that serve alike: the one with the least out for its weight, as hot objects are
   * spread.
   */
  private Candidate leastLoaded(List<Candidate> usable, double load, Duration now) {
    Candidate best = null;
    double least = Double.POSITIVE_INFINITY;
    for (Candidate one : usable) {
      double part = (out(one.address, now) + load) / share(one.health);
      if (part < least) {
        least = part;
        best = one;
      }
    }
    return best;
  }

  /** A cache's share of the answers: its weight, less the busier its cores are past the bound. */
  private static double share(CacheHealth health) {
    double spare = (1 - health.cpuUtilization()) / (1 - BUSY);
    return Math.max(1e-6, health.weight()) * Math.max(LEAST_SHARE, Math.min(1, spare));
  }

  /**
   * Answers with this one and, where the settings want several and none is cold, the next best:
   * clients take any of several, so a cold one could get all the load of each.
   */
  private SteeringDecision answerWith(
      Candidate first,
      List<Candidate> usable,
      double load,
      Duration ttl,
      Reason reason,
      Duration now) {
    List<Candidate> given = new ArrayList<>(List.of(first));
    List<Candidate> left = new ArrayList<>(usable);
    left.removeIf(c -> c == first || c.health.cold());
    while (!first.health.cold() && given.size() < settings.maxAddresses() && !left.isEmpty()) {
      Candidate next = leastLoaded(left, load, now);
      given.add(next);
      left.remove(next);
    }
    Duration kept = longer(ttl, settings.minResolverCacheTime());
    List<CacheAddress> places = new ArrayList<>();
    for (Candidate one : given) {
      if (handedOutLoad.add(one.address.socketAddress(), load / given.size(), kept, now)) {
        places.add(one.address);
      }
    }
    return places.isEmpty()
        ? SteeringDecision.unanswered(Reason.COLD, Duration.ZERO)
        : new SteeringDecision(places, ttl, reason);
  }

  /** The load at a place that answers given so far still bring, as this instance counts it. */
  public double outstandingLoad(CacheAddress address, Duration now) {
    return out(address, now);
  }
}
