package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import java.util.*;
import tamarindroute.decision.*;

/**
 * All decisions of one gateway, called by the interface Decisions. On the ordinary path
 * (docs/design.md) the ratio test makes an object hot; hot ones are spread over the edges, others
 * keep one hashed cache.
 */
public final class Brain implements Decisions {

  private final Caches all;
  private final Judging judging;
  private final Placing placing;

  public Brain(Settings settings) {
    all = new Caches(settings);
    judging = new Judging(all, new Popularity(), new Rules(all));
    placing = new Placing(all, judging.popularity(), judging.rules(), judging);
  }

  @Override
  public void purged(Purge purge, Duration now) {
    judging.rules().purged(purge, seconds(now));
  }

  @Override
  public void listed(List<Cache> list, Duration now) {
    all.listed(list, seconds(now));
  }

  @Override
  public void loaded(Cache cache, Load load, Duration now) {
    Optional.ofNullable(all.nodes.get(cache)).ifPresent(node -> node.loaded(load, seconds(now)));
  }

  /**
   * What had flowed in by now came by the part before: savings must not follow the part to and fro.
   */
  @Override
  public void dealt(Cache.Tier tier, double part, Duration until, Duration now) {
    all.nodes.values().stream()
        .filter(n -> n.cache.tier == tier)
        .forEach(n -> n.bears(0, seconds(now)));
    all.dealt.put(tier, new DealtShare(Math.max(0, Math.min(1, part)), seconds(until)));
  }

  @Override
  public Regard regard(Cache cache, Duration at) {
    Node node = all.nodes.get(cache);
    double now = seconds(at);
    return node == null
        ? null
        : new Regard(
            node.cache.ready(),
            node.cold(now),
            node.barred,
            node.doubt.read(now),
            node.cold(now) ? 0.7 * node.rate(now) : Double.POSITIVE_INFINITY,
            node.told.read(now),
            cache.weight);
  }

  @Override
  public List<Cache> homes(long object) {
    return Caches.ranked(all.edges, Popularity.key(object, 0)).stream().map(n -> n.cache).toList();
  }

  /** Probes are told as views' outcomes are: silence speaks half as loud as a refusal. */
  @Override
  public void probed(Cache cache, Outcome.Result result, Duration now) {
    double weight =
        switch (result) {
          case HONOURED -> -1;
          case ERRED, BROKEN, UNREACHED -> 1;
          case TIMED_OUT -> 0.5;
          default -> 0;
        };
    Optional.ofNullable(all.nodes.get(cache))
        .filter(n -> weight != 0)
        .ifPresent(n -> n.judge(weight, seconds(now)));
  }

  @Override
  public Answer place(View view, Duration at) {
    double now = seconds(at);
    all.asking = view;
    if (view.trips.isEmpty()) {
      if (all.sized(view)) {
        all.measures(view).transfer(all.work(view));
      }
      if (view.profile.kept()) {
        judging.popularity().item(view, now).count++;
      }
      return placing.next(view, now);
    }
    Trip late = view.trips.stream().filter(t -> t.lateAt(at)).findFirst().orElse(null);
    return late == null
        ? Judging.NOT_YET
        : judging.overdue(view, late, now, () -> placing.next(view, now));
  }

  @Override
  public boolean mayStillGo(View view, Trip trip, Duration now) {
    return judging.rules().mayStillGo(view, trip, seconds(now));
  }

  @Override
  public Duration patience(View view, Duration now) {
    return view.nextDue(now);
  }

  @Override
  public Answer after(View view, Trip trip, Duration now) {
    all.asking = null;
    judging.note(view, trip, seconds(now));
    all.asking = view;
    Trip out = view.out();
    if (out != null && trip.outcome.closed() && all.settings.recalls()) {
      return new Answer.Recall(out);
    }
    return out != null || trip.outcome.closed()
        ? Judging.NOT_YET
        : placing.next(view, seconds(now));
  }
}
