package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.*;
import static tamarindroute.policy.CacheTiers.*;

import java.time.Duration;
import java.util.*;
import java.util.function.Predicate;
import tamarindroute.decision.*;

/**
 * Owns the choice of a view's next trip: kept, straight or passed on, and where it is filled from.
 */
record AttemptPlanner(
    CacheTiers tiers, ObjectPopularity popularity, Rules rules, OutcomeRecorder outcomeRecorder) {

  Decision next(Request request, double now) {
    boolean over =
        request.attempts.size() >= tiers.settings.maxAttempts()
            || seconds(request.deadline) - now < 0.002;
    Attempt attempt =
        over || !rules.furtherAllowed(request, now) || !Rules.mayRun(request, null, now)
            ? null
            : request.requestClass.cacheable()
                ? planCacheable(request, now)
                : planUncacheable(request, now);
    if (attempt == null) {
      if (request.outstandingAttempt() == null) {
        tiers.statistics(request).ended(tiers.transferTime(request), false);
      }
      return rules.giveUp(request);
    }
    tiers.countInFlight(attempt, 1, now);
    attempt
        .contactedCaches()
        .forEach(cache -> tiers.states.get(cache).spend(tiers.coldStartCharge(request)));
    return attempt;
  }

  /**
   * Whether a view sent now would be back within this share of its agreed time; or, if it is its
   * size's turn, before its client is gone.
   */
  private boolean inTime(Request request, double wait, double crowding, double share, double now) {
    double arrived = seconds(request.arrivalTime);
    double end = arrived + share * (tiers.agreed(request) - arrived),
        work = tiers.transferTime(request);
    return now + wait + work * crowding
        < (tiers.statistics(request).owed(work) ? seconds(request.deadline) : end);
  }

  /**
   * The ordinary path: a hot object at the least busy edge, any other at its hashed cache. A look
   * goes first: a hit needs no source, and a miss is known before its fill, the next leg, takes a
   * place.
   */
  private Attempt planCacheable(Request request, double now) {
    ObjectPopularity.Item item = popularity.item(request, now);
    List<CacheState> order =
        rank(tiers.edges, ObjectPopularity.key(request.objectId, request.part));
    double charge = tiers.coldStartCharge(request);
    boolean hot = popularity.hot(item, tiers), first = request.attempts.isEmpty();
    CacheState home = first(order, edge -> edge.usable(charge, now));
    Predicate<CacheState> fit =
        edge -> !outcomeRecorder.failedAt(request, edge) && Rules.inGroup(request, edge);
    Predicate<CacheState> usable = fit.and(edge -> edge.usable(charge, now));
    CacheState node = first(order, usable.or(fit.and(edge -> first && edge.trial(request, now))));
    // After a purge every copy is gone at once: the hashed cache fetches it first, only then the
    // others.
    if (node != null && !node.ejected && hot && item.heldAt > rules.purgedAt(request)) {
      node = leastBusy(order, usable, now);
    }
    // Where only caches judged bad are left, one is better than none. What a crowded one can't end
    // in time
    // is refused: at the next cache it would be a miss, and its fill burdens links and tiers above.
    Predicate<CacheState> last = fit.and(edge -> edge.cache.isReady() && edge.bears(charge, now));
    CacheState chosen =
        node != null || tiers.settings.edgeBypassAllowed() ? node : first(order, last);
    double crowded = chosen == null ? 0 : chosen.stretch(now);
    if (chosen == null || !inTime(request, 0, crowded, 0.8, now)) {
      return tiers.settings.edgeBypassAllowed() && (first || chosen == null)
          ? planBypass(request, now)
          : null;
    }
    int rank = hot ? 2 : 1;
    // A cold cache is empty, and a look would be counted against it as a whole view.
    if (!request.isKnownMiss(chosen.cache, chosen.cache) && !chosen.isCold(now)) {
      return edgeAttempt(request, chosen, chosen, rank, false, now);
    }
    if (hot && home != null && home != chosen && !outcomeRecorder.askedToFill(request, home)) {
      return edgeAttempt(request, chosen, home, rank, true, now);
    }
    // Waiting for a slow tier above must not take places from hits. What a parent holds comes
    // quickly.
    CacheState shut = first(tiers.origins, origin -> origin.ejected);
    boolean slow =
        shut != null
            || tiers.parents.stream()
                .noneMatch(
                    parent ->
                        parent.cache.isReady()
                            && inTime(request, parent.fillLatency.valueAt(now), crowded, 1, now));
    CacheState source = source(request, slow, now);
    if (source == null) {
      return null;
    }
    boolean late = slow || !inTime(request, source.fillLatency.valueAt(now), crowded, 1, now);
    long asked = request.attempts.stream().filter(t -> t.onlyIfCached).count();
    Predicate<CacheState> unasked =
        p ->
            !outcomeRecorder.askedToFill(request, p) && !request.isKnownMiss(chosen.cache, p.cache);
    CacheState holder =
        !late || asked >= 3
            ? null
            : first(
                parents(request, false), unasked.and(p -> p == source || p.usable(charge, now)));
    if (holder != null) {
      return edgeAttempt(request, chosen, holder, rank, true, now);
    }
    double crowding = Math.max(crowded, tiers.fleetFillsInFlight(now) / tiers.fillCapacity());
    boolean full =
        late
            ? tiers.fleetFillsInFlight(now) > 0.55 * tiers.edgeCapacity()
            : !inTime(
                request,
                Math.min(tiers.fillLatency, source.fillLatency.valueAt(now)),
                crowding,
                0.8,
                now);
    return full || shut != null && shut != source && !shut.trial(request, now)
        ? null
        : edgeAttempt(request, chosen, source, rank, false, now);
  }

  private Attempt edgeAttempt(
      Request request, CacheState node, CacheState source, int rank, boolean onlyHeld, double now) {
    return new Attempt(
        node.cache,
        source.cache,
        rank,
        rules.oldest(request, now),
        onlyHeld,
        !request.requestClass.maxAge().isZero(),
        due(request, node, now));
  }

  private static CacheState leastBusy(
      List<CacheState> among, Predicate<CacheState> fit, double now) {
    Comparator<CacheState> byCrowd = Comparator.comparingDouble(node -> node.concurrency(now));
    return among.stream().filter(fit).min(byCrowd).orElse(null);
  }

  /** When a trip is late: past what nine in ten take in such a crowd, and three far waits. */
  private Duration due(Request request, CacheState node, double now) {
    double sending =
        tiers.statistics(request).spread * tiers.transferTime(request) * node.stretch(now);
    return request.requestClass.idempotency() == RequestClass.Idempotency.NON_IDEMPOTENT
        ? null
        : toDuration(now + sending + Math.max(0.1, 3 * tiers.fillLatency));
  }

  /**
   * The hashed parents, the nearest hub's first; while the tier above is slow, those of all hubs
   * alike, so that all gateways ask the same one and it asks the origin once.
   */
  private List<CacheState> parents(Request request, boolean slow) {
    List<CacheState> order =
        rank(tiers.parents, ObjectPopularity.key(request.objectId, request.part));
    order.sort(Comparator.comparingInt(parent -> slow ? 0 : parent.hubDistance));
    return order;
  }

  /**
   * A miss is filled from the hashed parent, if that is quick enough just now, else from the
   * origin.
   */
  private CacheState source(Request request, boolean slow, double now) {
    Predicate<CacheState> fit =
        p ->
            !outcomeRecorder.askedToFill(request, p)
                && (p.usable(tiers.coldStartCharge(request), now) || p.trial(request, now));
    Predicate<CacheState> quick = p -> inTime(request, p.fillLatency.valueAt(now), 1, 0.7, now);
    CacheState parent = first(parents(request, slow), fit.and(quick));
    parent = parent != null ? parent : first(parents(request, true), fit);
    return parent != null
        ? parent
        : first(
            tiers.origins,
            origin ->
                origin.cache.isReady()
                    && !outcomeRecorder.askedToFill(request, origin)
                    && (!origin.ejected || origin.trial(request, now)));
  }

  /**
   * Past the edges, where that is allowed and none of them can be used, or the chosen one is
   * crowded.
   */
  private Attempt planBypass(Request request, double now) {
    boolean full =
        tiers.fleetFillsInFlight(now) > tiers.edgeCapacity()
            && tiers.edges.stream().anyMatch(e -> e.cache.isReady());
    CacheState source = full ? null : source(request, false, now);
    if (source == null
        || !Rules.inGroup(request, source)
        || !inTime(request, source.fillLatency.valueAt(now), source.stretch(now), 0.8, now)) {
      return null;
    }
    CacheState origin = first(tiers.origins, o -> o.cache.isReady());
    return new Attempt(
        source.cache,
        (origin == null ? source : origin).cache,
        0,
        rules.oldest(request, now),
        false,
        false,
        due(request, source, now));
  }

  /**
   * What cannot be kept runs at the origin: straight where that is allowed, else through an edge.
   */
  private Attempt planUncacheable(Request request, double now) {
    CacheState origin = first(tiers.origins, n -> n.cache.isReady());
    if (origin != null && tiers.settings.edgeBypassAllowed()) {
      return new Attempt(origin.cache, origin.cache, 0, null, false, false, null);
    }
    CacheState node =
        leastBusy(
            tiers.edges,
            edge ->
                edge.usable(tiers.coldStartCharge(request), now)
                    && !outcomeRecorder.failedAt(request, edge)
                    && Rules.inGroup(request, edge),
            now);
    CacheState source = origin != null ? origin : source(request, false, now);
    return node == null || source == null
        ? null
        : new Attempt(node.cache, source.cache, 0, null, false, false, due(request, node, now));
  }
}
