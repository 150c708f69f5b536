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
import tamarindroute.dns.Choice.Reason;
import tamarindroute.dns.DnsSettings.Place;

/**
 * Owns the decision who is answered. What a cache is worth comes from the module of its location;
 * homes and the spread over equal caches are the design's ordinary path. What it adds is the
 * account of answers that are still kept: a cold cache is answered only while all that they bring
 * stays within what it bears, which only grows until it starts anew, so that each answer is within
 * the bound for its whole life. Every last resort is decided here.
 */
public final class Steering {

  /** What the list says, as far as names need it. */
  public interface Fleet {

    /** The caches on the list, without those that are gone. */
    List<Cache> caches();

    Place place(Cache cache);

    /** Whether a whole list has come. */
    boolean listed();

    /** How long the feed has said nothing. */
    Duration silent(Duration now);

    /** Whether a probe has found the cache ready lately. */
    boolean proven(Cache cache, Duration now);
  }

  /** The feed's own waits are half as long: past this its silence is a fault. */
  private static final Duration LATE = Duration.ofSeconds(7);

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

  private final DnsSettings.Steer settings;
  private final Fleet fleet;
  private final Map<String, Location> locations = new HashMap<>();
  private final Map<String, RoutingPolicy> modules;
  private final Map<String, Calm> calms = new HashMap<>();

  /** The account in use, and those of settings before whose answers may still be kept. */
  private final Ledger ledger;

  private final List<Ledger> before;

  /**
   * The modules, one a location, by the locations' labels; earlier is whose place this one takes
   * with changed settings, null for none: answers that it gave are still kept.
   */
  public Steering(
      DnsSettings.Steer settings,
      Fleet fleet,
      Map<String, RoutingPolicy> modules,
      Steering earlier,
      Duration now) {
    this.settings = settings;
    this.fleet = fleet;
    this.modules = Map.copyOf(modules);
    for (Location location : settings.locations()) {
      locations.put(location.label(), location);
      calms.put(location.label(), new Calm(settings.leastTtl(), settings.mostTtl()));
    }
    Duration longest = longer(settings.mostTtl(), settings.keptAtLeast());
    ledger = new Ledger(longest.plusSeconds(1));
    before =
        earlier == null
            ? List.of()
            : Stream.concat(Stream.of(earlier.ledger), earlier.before.stream())
                .filter(one -> !one.isEmpty(now))
                .toList();
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /** A cache that may be answered, and what its module holds of it. */
  private record Candidate(Cache cache, Place place, CacheHealth health) {}

  /**
   * Chooses; the answer is taken as given, so ask only when it will be. The load is what one answer
   * brings at the most; fits tells which addresses the question can be answered with.
   */
  public Choice choose(Wish wish, double load, Predicate<Place> fits, Duration now) {
    if (!fleet.listed()) {
      return Choice.nobody(Reason.NO_LIST, Duration.ZERO);
    }
    if (wish instanceof Wish.ById one) {
      return byId(one, fits);
    }
    Location location = wish.location();
    boolean lost = fleet.silent(now).compareTo(settings.staleFor()) > 0;
    boolean late = fleet.silent(now).compareTo(LATE) > 0;
    List<Candidate> all = candidates(wish, location, now);
    Duration ttl =
        late
            ? settings.leastTtl()
            : ttl(
                location,
                now,
                passed(wish) ? candidates(new Wish.AnyOf(location), location, now) : all);
    List<Candidate> known =
        lost ? all.stream().filter(c -> fleet.proven(c.cache, now)).toList() : all;
    if (known.isEmpty() && lost && !all.isEmpty()) {
      return Choice.nobody(Reason.FEED_LOST, Duration.ZERO);
    }
    if (!known.isEmpty() && known.stream().noneMatch(c -> fits.test(c.place))) {
      return Choice.nobody(Reason.NO_SUCH_FAMILY, ttl);
    }
    known = known.stream().filter(c -> fits.test(c.place)).toList();
    List<Candidate> usable = known.stream().filter(c -> usable(c, load, now)).toList();
    if (!usable.isEmpty()) {
      Candidate first = wish instanceof Wish.HomeOf ? home(usable) : leastBusy(usable, load, now);
      Reason reason =
          late
              ? Reason.LAST_KNOWN
              : wish instanceof Wish.HomeOf && first != known.get(0)
                  ? Reason.NEXT_HOME
                  : Reason.ORDINARY;
      return give(first, usable, load, ttl, reason, now);
    }
    for (String label : location.neighbours()) {
      Location neighbour = locations.get(label);
      List<Candidate> there =
          candidates(wish.at(neighbour), neighbour, now).stream()
              .filter(
                  c ->
                      fits.test(c.place)
                          && usable(c, load, now)
                          && (!lost || fleet.proven(c.cache, now)))
              .toList();
      if (!there.isEmpty()) {
        Candidate first = wish instanceof Wish.HomeOf ? home(there) : leastBusy(there, load, now);
        return give(first, List.of(first), load, settings.leastTtl(), Reason.NEIGHBOUR, now);
      }
    }
    return leastBad(known, load, now);
  }

  /**
   * Nobody is in order: one that is judged bad is better than none, one that drains or bears no
   * more is not.
   */
  private Choice leastBad(List<Candidate> known, double load, Duration now) {
    List<Candidate> ready = known.stream().filter(c -> c.health.ready()).toList();
    Candidate least =
        ready.stream()
            .filter(c -> bears(c, load, now))
            .min(Comparator.comparingDouble(c -> c.health.failureEvidence()))
            .orElse(null);
    if (least != null) {
      return give(least, List.of(least), load, settings.leastTtl(), Reason.LEAST_BAD, now);
    }
    return Choice.nobody(ready.isEmpty() ? Reason.NONE_READY : Reason.COLD, Duration.ZERO);
  }

  /**
   * The address of a cache that an answer named before: not steered, so nothing is counted for it
   * again.
   */
  private Choice byId(Wish.ById wish, Predicate<Place> fits) {
    for (Cache cache : fleet.caches()) {
      Place place = fleet.place(cache);
      if (place.id().equalsIgnoreCase(wish.id())
          && cache.availability == Cache.Availability.READY) {
        return fits.test(place)
            ? new Choice(List.of(place), settings.leastTtl(), Reason.ORDINARY)
            : Choice.nobody(Reason.NO_SUCH_FAMILY, settings.leastTtl());
      }
    }
    return Choice.nobody(Reason.NO_SUCH_CACHE, settings.leastTtl());
  }

  /** Who serves this wish at this location, for parts in the order of the design's hashing. */
  private List<Candidate> candidates(Wish wish, Location location, Duration now) {
    RoutingPolicy module = modules.get(location.label());
    List<Cache> caches;
    if (passed(wish)) {
      // What can't be kept runs at the origin where it may be reached straight, as a gateway's
      // views do.
      caches = fleet.caches().stream().filter(cache -> cache.tier == Cache.Tier.ORIGIN).toList();
    } else {
      caches = module.rankedCaches(wish instanceof Wish.HomeOf home ? home.part() : 0);
    }
    List<Candidate> candidates = new ArrayList<>();
    for (Cache cache : caches) {
      CacheHealth health =
          cache.availability == Cache.Availability.GONE ? null : module.cacheHealth(cache, now);
      if (health != null) {
        candidates.add(new Candidate(cache, fleet.place(cache), health));
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
      state += one.place.hashCode() * 0x9e3779b97f4a7c15L;
      unsettled |= !one.health.ready() || one.health.cold() || one.health.ejected();
    }
    return calms.get(location.label()).ttl(state, unsettled, now);
  }

  /** Whether this wish goes past the edges. */
  private boolean passed(Wish wish) {
    return wish instanceof Wish.ForProfile profile
        && !profile.requestClass().cacheable()
        && settings.direct();
  }

  private boolean usable(Candidate one, double load, Duration now) {
    return one.health.ready() && !one.health.ejected() && bears(one, load, now);
  }

  /**
   * Whether all that is steered there, and this, stays within what it bears; a warm one bears all.
   */
  private boolean bears(Candidate one, double load, Duration now) {
    return !one.health.cold() || out(one.place, now) + load <= one.health.maxConcurrentTransfers();
  }

  private double out(Place place, Duration now) {
    double out = ledger.out(place.address(), now);
    for (Ledger one : before) {
      out += one.out(place.address(), now);
    }
    return out;
  }

  /** The first by hashing, unless it is full while another has cores to spare. */
  private static Candidate home(List<Candidate> usable) {
    Candidate spare =
        usable.stream().filter(c -> c.health.cpuUtilization() < BUSY).findFirst().orElse(null);
    return usable.get(0).health.cpuUtilization() < FULL || spare == null ? usable.get(0) : spare;
  }

  /**
   * Among those that serve alike: the one with the least out for its weight, as hot objects are
   * spread.
   */
  private Candidate leastBusy(List<Candidate> usable, double load, Duration now) {
    Candidate best = null;
    double least = Double.POSITIVE_INFINITY;
    for (Candidate one : usable) {
      double part = (out(one.place, now) + load) / share(one.health);
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
  private Choice give(
      Candidate first,
      List<Candidate> usable,
      double load,
      Duration ttl,
      Reason reason,
      Duration now) {
    List<Candidate> given = new ArrayList<>(List.of(first));
    List<Candidate> left = new ArrayList<>(usable);
    left.removeIf(c -> c == first || c.health.cold());
    while (!first.health.cold() && given.size() < settings.records() && !left.isEmpty()) {
      Candidate next = leastBusy(left, load, now);
      given.add(next);
      left.remove(next);
    }
    Duration kept = longer(ttl, settings.keptAtLeast());
    List<Place> places = new ArrayList<>();
    for (Candidate one : given) {
      if (ledger.give(one.place.address(), load / given.size(), kept, now)) {
        places.add(one.place);
      }
    }
    return places.isEmpty()
        ? Choice.nobody(Reason.COLD, Duration.ZERO)
        : new Choice(places, ttl, reason);
  }

  /** The load at a place that answers given so far still bring, as this instance counts it. */
  public double steered(Place place, Duration now) {
    return out(place, now);
  }
}
