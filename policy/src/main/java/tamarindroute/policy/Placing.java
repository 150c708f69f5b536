package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.*;
import static tamarindroute.policy.Caches.*;

import java.time.Duration;
import java.util.*;
import java.util.function.Predicate;
import tamarindroute.decision.*;

/**
 * Owns the choice of a view's next trip: kept, straight or passed on, and where it is filled from.
 */
record Placing(Caches all, Popularity popularity, Rules rules, Judging judging) {

  Answer next(View view, double now) {
    boolean over =
        view.trips.size() >= all.settings.mostTrips() || seconds(view.cutOff) - now < 0.002;
    Trip trip =
        over || !rules.furtherAllowed(view, now) || !Rules.mayRun(view, null, now)
            ? null
            : view.profile.kept() ? keptTrip(view, now) : passedTrip(view, now);
    if (trip == null) {
      if (view.out() == null) {
        all.measures(view).ended(all.work(view), false);
      }
      return rules.giveUp(view);
    }
    all.count(trip, 1, now);
    trip.reached().forEach(cache -> all.nodes.get(cache).spend(all.charge(view)));
    return trip;
  }

  /**
   * Whether a view sent now would be back within this share of its agreed time; or, if it is its
   * size's turn, before its client is gone.
   */
  private boolean inTime(View view, double wait, double crowding, double share, double now) {
    double arrived = seconds(view.arrived);
    double end = arrived + share * (all.agreed(view) - arrived), work = all.work(view);
    return now + wait + work * crowding
        < (all.measures(view).owed(work) ? seconds(view.cutOff) : end);
  }

  /**
   * The ordinary path: a hot object at the least busy edge, any other at its hashed cache. A look
   * goes first: a hit needs no source, and a miss is known before its fill, the next leg, takes a
   * place.
   */
  private Trip keptTrip(View view, double now) {
    Popularity.Item item = popularity.item(view, now);
    List<Node> order = ranked(all.edges, Popularity.key(view.object, view.part));
    double charge = all.charge(view);
    boolean hot = popularity.hot(item, all), first = view.trips.isEmpty();
    Node home = first(order, edge -> edge.usable(charge, now));
    Predicate<Node> fit = edge -> !judging.failedAt(view, edge) && Rules.inGroup(view, edge);
    Predicate<Node> usable = fit.and(edge -> edge.usable(charge, now));
    Node node = first(order, usable.or(fit.and(edge -> first && edge.trial(view, now))));
    // After a purge every copy is gone at once: the hashed cache fetches it first, only then the
    // others.
    if (node != null && !node.barred && hot && item.heldAt > rules.purgedAt(view)) {
      node = leastBusy(order, usable, now);
    }
    // Where only caches judged bad are left, one is better than none. What a crowded one can't end
    // in time
    // is refused: at the next cache it would be a miss, and its fill burdens links and tiers above.
    Predicate<Node> last = fit.and(edge -> edge.cache.ready() && edge.bears(charge, now));
    Node chosen = node != null || all.settings.direct() ? node : first(order, last);
    double crowded = chosen == null ? 0 : chosen.stretch(now);
    if (chosen == null || !inTime(view, 0, crowded, 0.8, now)) {
      return all.settings.direct() && (first || chosen == null) ? straightTrip(view, now) : null;
    }
    int rank = hot ? 2 : 1;
    // A cold cache is empty, and a look would be counted against it as a whole view.
    if (!view.missedAt(chosen.cache, chosen.cache) && !chosen.cold(now)) {
      return edgeTrip(view, chosen, chosen, rank, false, now);
    }
    if (hot && home != null && home != chosen && !judging.askedToFill(view, home)) {
      return edgeTrip(view, chosen, home, rank, true, now);
    }
    // Waiting for a slow tier above must not take places from hits. What a parent holds comes
    // quickly.
    Node shut = first(all.origins, origin -> origin.barred);
    boolean slow =
        shut != null
            || all.parents.stream()
                .noneMatch(
                    parent ->
                        parent.cache.ready()
                            && inTime(view, parent.fillWait.read(now), crowded, 1, now));
    Node source = source(view, slow, now);
    if (source == null) {
      return null;
    }
    boolean late = slow || !inTime(view, source.fillWait.read(now), crowded, 1, now);
    long asked = view.trips.stream().filter(t -> t.onlyHeld).count();
    Predicate<Node> unasked =
        p -> !judging.askedToFill(view, p) && !view.missedAt(chosen.cache, p.cache);
    Node holder =
        !late || asked >= 3
            ? null
            : first(parents(view, false), unasked.and(p -> p == source || p.usable(charge, now)));
    if (holder != null) {
      return edgeTrip(view, chosen, holder, rank, true, now);
    }
    double crowding = Math.max(crowded, all.fillsOut(now) / all.linkPlaces());
    boolean full =
        late
            ? all.fillsOut(now) > 0.55 * all.places()
            : !inTime(view, Math.min(all.far, source.fillWait.read(now)), crowding, 0.8, now);
    return full || shut != null && shut != source && !shut.trial(view, now)
        ? null
        : edgeTrip(view, chosen, source, rank, false, now);
  }

  private Trip edgeTrip(View view, Node node, Node source, int rank, boolean onlyHeld, double now) {
    return new Trip(
        node.cache,
        source.cache,
        rank,
        rules.oldest(view, now),
        onlyHeld,
        !view.profile.fresh().isZero(),
        due(view, node, now));
  }

  private static Node leastBusy(List<Node> among, Predicate<Node> fit, double now) {
    Comparator<Node> byCrowd = Comparator.comparingDouble(node -> node.concurrency(now));
    return among.stream().filter(fit).min(byCrowd).orElse(null);
  }

  /** When a trip is late: past what nine in ten take in such a crowd, and three far waits. */
  private Duration due(View view, Node node, double now) {
    double sending = all.measures(view).spread * all.work(view) * node.stretch(now);
    return view.profile.repeat() == Profile.Repeat.AT_MOST_ONCE
        ? null
        : span(now + sending + Math.max(0.1, 3 * all.far));
  }

  /**
   * The hashed parents, the nearest hub's first; while the tier above is slow, those of all hubs
   * alike, so that all gateways ask the same one and it asks the origin once.
   */
  private List<Node> parents(View view, boolean slow) {
    List<Node> order = ranked(all.parents, Popularity.key(view.object, view.part));
    order.sort(Comparator.comparingInt(parent -> slow ? 0 : parent.hubsAway));
    return order;
  }

  /**
   * A miss is filled from the hashed parent, if that is quick enough just now, else from the
   * origin.
   */
  private Node source(View view, boolean slow, double now) {
    Predicate<Node> fit =
        p ->
            !judging.askedToFill(view, p)
                && (p.usable(all.charge(view), now) || p.trial(view, now));
    Predicate<Node> quick = p -> inTime(view, p.fillWait.read(now), 1, 0.7, now);
    Node parent = first(parents(view, slow), fit.and(quick));
    parent = parent != null ? parent : first(parents(view, true), fit);
    return parent != null
        ? parent
        : first(
            all.origins,
            origin ->
                origin.cache.ready()
                    && !judging.askedToFill(view, origin)
                    && (!origin.barred || origin.trial(view, now)));
  }

  /**
   * Past the edges, where that is allowed and none of them can be used, or the chosen one is
   * crowded.
   */
  private Trip straightTrip(View view, double now) {
    boolean full =
        all.fillsOut(now) > all.places() && all.edges.stream().anyMatch(e -> e.cache.ready());
    Node source = full ? null : source(view, false, now);
    if (source == null
        || !Rules.inGroup(view, source)
        || !inTime(view, source.fillWait.read(now), source.stretch(now), 0.8, now)) {
      return null;
    }
    Node origin = first(all.origins, o -> o.cache.ready());
    return new Trip(
        source.cache,
        (origin == null ? source : origin).cache,
        0,
        rules.oldest(view, now),
        false,
        false,
        due(view, source, now));
  }

  /**
   * What cannot be kept runs at the origin: straight where that is allowed, else through an edge.
   */
  private Trip passedTrip(View view, double now) {
    Node origin = first(all.origins, n -> n.cache.ready());
    if (origin != null && all.settings.direct()) {
      return new Trip(origin.cache, origin.cache, 0, null, false, false, null);
    }
    Node node =
        leastBusy(
            all.edges,
            edge ->
                edge.usable(all.charge(view), now)
                    && !judging.failedAt(view, edge)
                    && Rules.inGroup(view, edge),
            now);
    Node source = origin != null ? origin : source(view, false, now);
    return node == null || source == null
        ? null
        : new Trip(node.cache, source.cache, 0, null, false, false, due(view, node, now));
  }
}
