package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.*;

import java.util.*;
import java.util.function.Predicate;
import tamarindroute.decision.*;
import tamarindroute.numeric.Decaying;
import tamarindroute.numeric.Hashing;

/**
 * Owns the caches in their tiers, their order for a key, and what is measured over all: waits,
 * fills.
 */
final class Caches {

  /** What is borne where nothing is told: more than is asked, until it is seen to queue. */
  private static final double UNKNOWN = 1e6;

  final Settings settings;
  final boolean weighed;
  final Map<Cache.Tier, DealtShare> dealt = new EnumMap<>(Cache.Tier.class);
  final Map<Cache, Node> nodes = new IdentityHashMap<>();
  List<Node> edges = List.of(), parents = List.of(), origins = List.of();
  final Capacity capacity;
  private long draws;

  /** The view for which a place is sought just now; null while outcomes are noted. */
  View asking;

  /**
   * The waits d (hits, siblings' copies) and D (fills from above) of the design page; hits' least
   * wait.
   */
  double near = 0.005, far = 0.05, leastNear = 0.005;

  private final Decaying fills = new Decaying(3, 0);
  private final Map<Profile, ClassMeasures> classes = new IdentityHashMap<>();

  Caches(Settings settings) {
    this.settings = settings;
    weighed = settings.weights() != Settings.Weights.OFF;
    capacity = weighed ? new Capacity(1, 2) : new Capacity(UNKNOWN, 1);
  }

  double chance() {
    return Hashing.draw(settings.seed(), draws++);
  }

  void listed(List<Cache> caches, double now) {
    nodes.keySet().retainAll(Set.copyOf(caches));
    caches.forEach(cache -> nodes.computeIfAbsent(cache, c -> new Node(c, this)).listed(now));
    edges =
        caches.stream()
            .filter(c -> c.tier == Cache.Tier.EDGE && c.zone == settings.zone())
            .map(nodes::get)
            .toList();
    parents = caches.stream().filter(c -> c.tier == Cache.Tier.PARENT).map(nodes::get).toList();
    parents.forEach(parent -> parent.hubsAway = settings.hubsAway(parent.cache.zone));
    origins = caches.stream().filter(c -> c.tier == Cache.Tier.ORIGIN).map(nodes::get).toList();
  }

  /**
   * Weighted rendezvous hashing: all gateways rank alike, and a change moves only its own share.
   */
  static List<Node> ranked(List<Node> among, long key) {
    List<Node> ranked = new ArrayList<>(among);
    ranked.forEach(node -> node.score(key));
    ranked.sort(Comparator.comparingDouble(node -> node.score));
    return ranked;
  }

  /** The first of the ranked that fits, without ranking a long list whole. */
  static Node home(List<Node> among, long key, Predicate<Node> fit) {
    among.forEach(node -> node.score(key));
    return among.stream()
        .filter(fit)
        .min(Comparator.comparingDouble(node -> node.score))
        .orElse(null);
  }

  static Node first(List<Node> order, Predicate<Node> fit) {
    return order.stream().filter(fit).findFirst().orElse(null);
  }

  ClassMeasures measures(View view) {
    return classes.computeIfAbsent(view.profile, p -> new ClassMeasures(seconds(p.agreedTime())));
  }

  boolean sized(View view) {
    return view.kilobytes > 0 && settings.pace() > 0;
  }

  /** How long a view's transfer takes alone: by its size, if it is told, else its class's mean. */
  double work(View view) {
    return sized(view) ? view.kilobytes / settings.pace() : measures(view).mean;
  }

  double agreed(View view) {
    return seconds(view.wanted(span(work(view))));
  }

  /**
   * What a trip costs a cold cache, as the rule counts: by class, or the largest hardly ever got
   * in.
   */
  double charge(View view) {
    return measures(view).mean;
  }

  static double toward(double mean, double sample) {
    return mean + 0.05 * (Math.max(0.0005, Math.min(sample, 4 * mean)) - mean);
  }

  /** A fill takes about half the place of a hit at its cache, since it waits before it sends. */
  void count(Trip trip, int change, double now) {
    boolean look =
        trip.cache.tier == Cache.Tier.EDGE && (trip.source == trip.cache || trip.onlyHeld);
    nodes.get(trip.cache).inHand.shift(look ? change : 0.5 * change, now);
    fills.shift(look ? 0 : change, now);
  }

  /** The fills that all gateways have out, and one more. */
  double fillsOut(double now) {
    return fills.rest() + (settings.gatewaysInZone() - 1) * fills.read(now) + 1;
  }

  /** The fills that the location's link bears; untold, it is 0.45 of what its edges bear. */
  double linkPlaces() {
    return settings.linkTransfers() > 0 ? settings.linkTransfers() : 0.45 * places();
  }

  double places() {
    return capacity.limit()
        * edges.stream().filter(e -> e.cache.ready()).mapToDouble(e -> e.size).sum();
  }
}
