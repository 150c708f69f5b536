package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.util.function.Supplier;
import tamarindroute.decision.*;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;

/**
 * Owns the judging of outcomes: to whose account each goes, and what a view's trips have shown so
 * far.
 */
record OutcomeRecorder(CacheTiers tiers, ObjectPopularity popularity, Rules rules) {

  static final Decision WAIT = new Decision.Wait();

  /**
   * A late trip speaks against its cache and source. A further one that can be in time goes beside
   * it, or where that is not allowed, it is recalled once its cache or source is doubted for
   * others' sake.
   */
  Decision onLate(Request request, Attempt attempt, double now, Supplier<Decision> next) {
    CacheState node = tiers.states.get(attempt.cache), source = tiers.states.get(attempt.source);
    double work = tiers.transferTime(request);
    blame(attempt, node, source, true, 0.5, now);
    if (source != node && !attempt.onlyIfCached) {
      source.waited(now - seconds(attempt.sentAt) - work, now);
    }
    boolean further = rules.furtherAllowed(request, now) && Rules.mayRun(request, null, now);
    if (!further || now + 1.2 * work > tiers.agreed(request)) {
      return WAIT;
    }
    if (tiers.settings.hedgingAllowed()) {
      return next.get() instanceof Attempt second ? second : WAIT;
    }
    // What can't be kept has the one origin as its source wherever it goes: only its cache counts.
    double doubt =
        Math.max(
            node.failureEvidence.valueAt(now),
            request.requestClass.cacheable() ? source.failureEvidence.valueAt(now) : 0);
    return tiers.settings.cancelAllowed() && doubt > 3 ? new Decision.Cancel(attempt) : WAIT;
  }

  /**
   * Puts a failure to the account of whoever caused it. The look has just proved the cache, so a
   * fill's failure is its source's, unless sources are told of and this was not; or the origin's
   * behind it.
   */
  private void blame(
      Attempt attempt,
      CacheState node,
      CacheState source,
      boolean silent,
      double weight,
      double now) {
    CacheState parent = node.cache.tier == Cache.Tier.PARENT ? node : source;
    Detail detail = silent ? Detail.UNKNOWN : attempt.outcome.detail();
    if (source == node
        || detail == Detail.UNKNOWN && !silent && tiers.settings.reportsFillSource()) {
      node.judge(weight, now);
      return;
    }
    boolean beyond = parent.cache.tier == Cache.Tier.PARENT && !attempt.onlyIfCached;
    if (beyond && (detail == Detail.UNKNOWN || detail == Detail.ORIGIN_FAILED)) {
      tiers.origins.forEach(origin -> origin.judge(weight / (silent ? 4 : 2), now));
    }
    if (!beyond || detail != Detail.ORIGIN_FAILED) {
      parent.judge(weight, now);
    }
  }

  /** Puts an outcome to the account of the cache or of its source, and to the measures. */
  void recordOutcome(Request request, Attempt attempt, double now) {
    Outcome outcome = attempt.outcome;
    CacheState node = tiers.states.get(attempt.cache), source = tiers.states.get(attempt.source);
    tiers.countInFlight(attempt, -1, now);
    rules.ended().add(1, now);
    switch (outcome.result()) {
      case SERVED -> {
        node.judge(-1, now);
        tiers.statistics(request).ended(tiers.transferTime(request), true);
        if (source == node && node.cache.tier == Cache.Tier.EDGE) {
          node.hit(request, Math.max(1e-6, seconds(outcome.duration()) - tiers.minHitLatency), now);
        }
        if (request.requestClass.cacheable()) {
          noteCopy(request, attempt, node, source, now);
        }
      }
      case MISS -> source.judge(-1, now);
      case FAILED, CONNECTION_LOST -> blame(attempt, node, source, false, 1, now);
      case TIMED_OUT -> blame(attempt, node, source, true, 0.5, now);
      case CONNECT_FAILED -> node.judge(1, now);
      case REJECTED -> {
        rules.swamped().add(1, now);
        if (source != node) {
          blame(attempt, node, source, false, 0.3, now);
        }
      }
      default -> {}
    }
    if (outcome.result() == Result.CONNECT_FAILED || outcome.result() == Result.NOT_SENT) {
      attempt
          .contactedCaches()
          .forEach(
              cache ->
                  tiers.states.get(cache).refund(tiers.coldStartCharge(request), attempt.sentAt));
    }
  }

  /**
   * What an answer tells of copies and waits: a hit moves the marginal and d, a fill moves d or D.
   */
  private void noteCopy(
      Request request, Attempt attempt, CacheState node, CacheState source, double now) {
    Detail detail = attempt.outcome.detail();
    ObjectPopularity.Item item = popularity.item(request, now);
    long key = ObjectPopularity.key(request.objectId, request.part);
    boolean atHome =
        node
            == CacheTiers.home(
                tiers.edges, key, e -> e.usable(tiers.coldStartCharge(request), now));
    double wait = seconds(attempt.outcome.duration()) - tiers.transferTime(request);
    if (detail == Detail.HIT) {
      popularity.noteHit(item.density());
      tiers.minHitLatency = Math.min(Math.max(0.0005, wait), 1.01 * tiers.minHitLatency);
      tiers.hitLatency = atHome ? CacheTiers.toward(tiers.hitLatency, wait) : tiers.hitLatency;
      if (source != node && !attempt.revalidate) {
        source.refund(tiers.coldStartCharge(request), attempt.sentAt);
      }
    } else if (source != node
        && detail != Detail.STALE
        && (detail != Detail.UNKNOWN || request.isKnownMiss(node.cache, node.cache))) {
      source.judge(-1, now);
      double first =
          attempt.outcome.sourceWait() == null ? wait : seconds(attempt.outcome.sourceWait());
      if (source.cache.tier == Cache.Tier.EDGE) {
        tiers.hitLatency = CacheTiers.toward(tiers.hitLatency, first);
      } else if (!attempt.onlyIfCached) {
        tiers.fillLatency = CacheTiers.toward(tiers.fillLatency, first);
        source.waited(first, now);
        boolean beyond =
            detail == Detail.FROM_ORIGIN || request.isKnownMiss(node.cache, source.cache);
        tiers.origins.forEach(origin -> origin.judge(beyond ? -1 : -0.5, now));
      }
    }
    item.heldAt = atHome ? now : item.heldAt;
  }

  /**
   * Whether a trip came back wrong by its source's fault: so told, or where that is not told, taken
   * so.
   */
  private boolean sourceFailed(Attempt attempt) {
    Detail detail = attempt.outcome.detail();
    return attempt.source != attempt.cache
        && !attempt.outcome.result().equals(Result.CONNECT_FAILED)
        && (detail == Detail.UNKNOWN
            ? !tiers.settings.reportsFillSource()
            : detail.compareTo(Detail.SOURCE_REFUSED) >= 0
                && detail != Detail.FILL_CAPACITY_EXHAUSTED);
  }

  /** Whether a trip of this view went wrong by this cache's fault, or is still out there. */
  boolean failedAt(Request request, CacheState node) {
    return request.attempts.stream()
        .anyMatch(
            t ->
                t.cache == node.cache
                    && (t.outcome == null
                        || t.outcome.result() != Result.MISS && !sourceFailed(t)));
  }

  /** Whether this place has been asked in vain to fill this view, or is being asked. */
  boolean askedToFill(Request request, CacheState source) {
    return request.attempts.stream()
        .anyMatch(
            t ->
                t.source == source.cache
                    && !(t.onlyIfCached && source.cache.tier == Cache.Tier.PARENT)
                    && (t.outcome == null
                        || t.outcome.result() == Result.MISS
                        || sourceFailed(t)
                        || t.outcome.result() == Result.CANCELLED
                        || t.outcome.result() == Result.TIMED_OUT));
  }
}
