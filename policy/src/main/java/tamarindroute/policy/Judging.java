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
record Judging(Caches all, Popularity popularity, Rules rules) {

  static final Answer NOT_YET = new Answer.NotYet();

  /**
   * A late trip speaks against its cache and source. A further one that can be in time goes beside
   * it, or where that is not allowed, it is recalled once its cache or source is doubted for
   * others' sake.
   */
  Answer overdue(View view, Trip trip, double now, Supplier<Answer> next) {
    Node node = all.nodes.get(trip.cache), source = all.nodes.get(trip.source);
    double work = all.work(view);
    blame(trip, node, source, true, 0.5, now);
    if (source != node && !trip.onlyHeld) {
      source.waited(now - seconds(trip.sent) - work, now);
    }
    boolean further = rules.furtherAllowed(view, now) && Rules.mayRun(view, null, now);
    if (!further || now + 1.2 * work > all.agreed(view)) {
      return NOT_YET;
    }
    if (all.settings.secondCopies()) {
      return next.get() instanceof Trip second ? second : NOT_YET;
    }
    // What can't be kept has the one origin as its source wherever it goes: only its cache counts.
    double doubt = Math.max(node.doubt.read(now), view.profile.kept() ? source.doubt.read(now) : 0);
    return all.settings.recalls() && doubt > 3 ? new Answer.Recall(trip) : NOT_YET;
  }

  /**
   * Puts a failure to the account of whoever caused it. The look has just proved the cache, so a
   * fill's failure is its source's, unless sources are told of and this was not; or the origin's
   * behind it.
   */
  private void blame(Trip trip, Node node, Node source, boolean silent, double weight, double now) {
    Node parent = node.cache.tier == Cache.Tier.PARENT ? node : source;
    Detail detail = silent ? Detail.UNTOLD : trip.outcome.detail();
    if (source == node || detail == Detail.UNTOLD && !silent && all.settings.tellsSources()) {
      node.judge(weight, now);
      return;
    }
    boolean beyond = parent.cache.tier == Cache.Tier.PARENT && !trip.onlyHeld;
    if (beyond && (detail == Detail.UNTOLD || detail == Detail.ORIGIN_FAILED)) {
      all.origins.forEach(origin -> origin.judge(weight / (silent ? 4 : 2), now));
    }
    if (!beyond || detail != Detail.ORIGIN_FAILED) {
      parent.judge(weight, now);
    }
  }

  /** Puts an outcome to the account of the cache or of its source, and to the measures. */
  void note(View view, Trip trip, double now) {
    Outcome outcome = trip.outcome;
    Node node = all.nodes.get(trip.cache), source = all.nodes.get(trip.source);
    all.count(trip, -1, now);
    rules.ended().add(1, now);
    switch (outcome.result()) {
      case HONOURED -> {
        node.judge(-1, now);
        all.measures(view).ended(all.work(view), true);
        if (source == node && node.cache.tier == Cache.Tier.EDGE) {
          node.hit(view, Math.max(1e-6, seconds(outcome.took()) - all.leastNear), now);
        }
        if (view.profile.kept()) {
          noteCopy(view, trip, node, source, now);
        }
      }
      case MISSED -> source.judge(-1, now);
      case ERRED, BROKEN -> blame(trip, node, source, false, 1, now);
      case TIMED_OUT -> blame(trip, node, source, true, 0.5, now);
      case UNREACHED -> node.judge(1, now);
      case TURNED_AWAY -> {
        rules.swamped().add(1, now);
        if (source != node) {
          blame(trip, node, source, false, 0.3, now);
        }
      }
      default -> {}
    }
    if (outcome.result() == Result.UNREACHED || outcome.result() == Result.NOT_SENT) {
      trip.reached().forEach(cache -> all.nodes.get(cache).refund(all.charge(view), trip.sent));
    }
  }

  /**
   * What an answer tells of copies and waits: a hit moves the marginal and d, a fill moves d or D.
   */
  private void noteCopy(View view, Trip trip, Node node, Node source, double now) {
    Detail detail = trip.outcome.detail();
    Popularity.Item item = popularity.item(view, now);
    long key = Popularity.key(view.object, view.part);
    boolean atHome = node == Caches.home(all.edges, key, e -> e.usable(all.charge(view), now));
    double wait = seconds(trip.outcome.took()) - all.work(view);
    if (detail == Detail.HIT) {
      popularity.noteHit(item.density());
      all.leastNear = Math.min(Math.max(0.0005, wait), 1.01 * all.leastNear);
      all.near = atHome ? Caches.toward(all.near, wait) : all.near;
      if (source != node && !trip.renew) {
        source.refund(all.charge(view), trip.sent);
      }
    } else if (source != node
        && detail != Detail.OLD
        && (detail != Detail.UNTOLD || view.missedAt(node.cache, node.cache))) {
      source.judge(-1, now);
      double first = trip.outcome.sourceWait() == null ? wait : seconds(trip.outcome.sourceWait());
      if (source.cache.tier == Cache.Tier.EDGE) {
        all.near = Caches.toward(all.near, first);
      } else if (!trip.onlyHeld) {
        all.far = Caches.toward(all.far, first);
        source.waited(first, now);
        boolean beyond = detail == Detail.FROM_ORIGIN || view.missedAt(node.cache, source.cache);
        all.origins.forEach(origin -> origin.judge(beyond ? -1 : -0.5, now));
      }
    }
    item.heldAt = atHome ? now : item.heldAt;
  }

  /**
   * Whether a trip came back wrong by its source's fault: so told, or where that is not told, taken
   * so.
   */
  private boolean sourceFailed(Trip trip) {
    Detail detail = trip.outcome.detail();
    return trip.source != trip.cache
        && !trip.outcome.result().equals(Result.UNREACHED)
        && (detail == Detail.UNTOLD
            ? !all.settings.tellsSources()
            : detail.compareTo(Detail.SOURCE_REFUSED) >= 0 && detail != Detail.NO_ROOM_FOR_FILL);
  }

  /** Whether a trip of this view went wrong by this cache's fault, or is still out there. */
  boolean failedAt(View view, Node node) {
    return view.trips.stream()
        .anyMatch(
            t ->
                t.cache == node.cache
                    && (t.outcome == null
                        || t.outcome.result() != Result.MISSED && !sourceFailed(t)));
  }

  /** Whether this place has been asked in vain to fill this view, or is being asked. */
  boolean askedToFill(View view, Node source) {
    return view.trips.stream()
        .anyMatch(
            t ->
                t.source == source.cache
                    && !(t.onlyHeld && source.cache.tier == Cache.Tier.PARENT)
                    && (t.outcome == null
                        || t.outcome.result() == Result.MISSED
                        || sourceFailed(t)
                        || t.outcome.result() == Result.RECALLED
                        || t.outcome.result() == Result.TIMED_OUT));
  }
}
