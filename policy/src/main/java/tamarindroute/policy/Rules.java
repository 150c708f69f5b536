package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.*;

import java.time.Duration;
import java.util.*;
import tamarindroute.decision.*;
import tamarindroute.decision.Profile.Repeat;
import tamarindroute.numeric.Decaying;

/**
 * Owns what guards the rules: no effect twice, no copy from before a purge, few tries, how to give
 * up. Its purges tell when objects (by a Long) and groups (by an Integer) were last purged.
 */
record Rules(Caches all, Map<Object, Double> purges, Decaying ended, Decaying swamped) {

  Rules(Caches all) {
    this(all, new LinkedHashMap<>(), new Decaying(3, 0), new Decaying(3, 0));
  }

  void purged(Purge purge, double now) {
    purges.values().removeIf(made -> now - made > purgesBind());
    Object purged = purge.object() == null ? (Object) purge.group() : purge.object();
    purges.merge(purged, seconds(purge.made()), Math::max);
  }

  /** When this view's object was last purged; far in the past if not lately. */
  double purgedAt(View view) {
    return Math.max(purges.getOrDefault(view.object, -1e9), purges.getOrDefault(view.group, -1e9));
  }

  /**
   * The oldest copy that will do, at the source too: none from before a purge or past its fresh
   * time.
   */
  Duration oldest(View view, double now) {
    double since = now - purgedAt(view), fresh = seconds(view.profile.fresh());
    return since > purgesBind() || fresh > 0 && fresh < since ? null : span(Math.max(0, since));
  }

  /**
   * The time in which all caches forget by themselves, twice over for fills that were under way.
   */
  private double purgesBind() {
    return 2 * seconds(all.settings.purgeDone());
  }

  /**
   * None while over a tenth of the latest were turned away, else two; legs after a miss don't
   * count.
   */
  boolean furtherAllowed(View view, double now) {
    return view.tries() <= (swamped.read(now) > 1 + 0.1 * ended.read(now) ? 0 : 2);
  }

  /** No effect twice: a numbered view goes out again only in the first half of its window. */
  static boolean mayRun(View view, Trip but, double now) {
    Trip ran = view.mayHaveRun(but);
    return ran == null
        || view.profile.repeat() == Repeat.REISSUABLE
        || view.profile.repeat() == Repeat.NUMBERED
            && now - seconds(ran.sent) < 0.5 * seconds(view.profile.window());
  }

  /** What was told since a trip was decided, and the time that passed, bind it like a new one. */
  boolean mayStillGo(View view, Trip trip, double now) {
    Duration oldest = view.profile.kept() ? oldest(view, now) : null;
    return trip.cache.ready()
        && trip.source.ready()
        && Objects.equals(trip.cache.upSince, trip.cacheUpSince)
        && Objects.equals(trip.source.upSince, trip.sourceUpSince)
        && (oldest == null || trip.oldest != null && trip.oldest.compareTo(oldest) <= 0)
        && seconds(view.cutOff) - now >= 0.002
        && mayRun(view, trip, now);
  }

  static boolean inGroup(View view, Node node) {
    Trip ran = view.mayHaveRun(null);
    return ran == null
        || view.profile.repeat() == Repeat.REISSUABLE
        || view.profile.group().joins(ran.cache, node.cache);
  }

  /** The final answer, at once; the advice is spread so that not all come back together. */
  Answer giveUp(View view) {
    boolean harmless =
        view.mayHaveRun(null) == null
            || view.profile.repeat() == Repeat.REISSUABLE
            || view.profile.repeat() == Repeat.NUMBERED
                && view.profile.group() == Profile.Group.ALL;
    Duration most = all.settings.longestComeBack();
    return !harmless
        ? new Answer.Termination()
        : new Answer.Dismissal(
            most == null ? null : span(seconds(most) * (0.5 + 0.5 * all.chance())));
  }
}
