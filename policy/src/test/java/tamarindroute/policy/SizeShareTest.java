package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Settings;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;

/**
 * The answered share of a class by size: the tenth with the largest objects and the next fifth
 * against the whole class, in a small world with one module, three edges whose links are shared by
 * their transfers, and a parent behind them. An answer counts in time or late. On quiet days at
 * least two thirds of the class's share, on others half.
 */
class SizeShareTest {

  private static final double STEP = 0.004;
  private static final double MEAN = 0.1;

  /** A transfer under way; the time left before its first byte, then the work left. */
  private static final class Under {
    final View view;
    final Trip trip;
    double wait;
    double work;

    Under(View view, Trip trip, double wait, double work) {
      this.view = view;
      this.trip = trip;
      this.wait = wait;
      this.work = work;
    }
  }

  private final Profile profile =
      new Profile(
          Profile.Repeat.REISSUABLE,
          Profile.Group.ALL,
          Duration.ZERO,
          at(0.5),
          1.6,
          true,
          Duration.ZERO);
  private final Random dice = new Random(5);
  private final List<Under> out = new ArrayList<>();
  private final Map<Cache, Set<Long>> holds = new HashMap<>();
  private final Map<Cache, Double> speed = new HashMap<>();
  private final List<View> views = new ArrayList<>();
  private final Set<View> open = new HashSet<>();
  private final Set<View> answered = new HashSet<>();
  private double far = 0.05;
  private Brain brain;

  private static Duration at(double seconds) {
    return Duration.ofNanos(Math.round(seconds * 1e9));
  }

  private static Cache cache(long mark, Cache.Tier tier, double weight) {
    Cache cache = new Cache(mark);
    cache.tier = tier;
    cache.weight = weight;
    return cache;
  }

  private void follow(View view, Answer answer, double now) {
    if (answer instanceof Trip trip) {
      trip.sent = at(now);
      view.trips.add(trip);
      boolean held = holds.get(trip.cache).contains(view.object);
      if (!held && trip.source == trip.cache) {
        out.add(new Under(view, trip, 0.005, 0));
      } else {
        out.add(
            new Under(
                view,
                trip,
                held ? 0.005 : trip.source.tier == Cache.Tier.EDGE ? 0.01 : far,
                view.kilobytes / 1000));
      }
    } else if (answer instanceof Answer.Recall recall) {
      out.removeIf(under -> under.trip == recall.trip());
      end(view, recall.trip(), Result.RECALLED, Detail.UNTOLD, now);
    } else if (answer instanceof Answer.Dismissal || answer instanceof Answer.Termination) {
      open.remove(view);
    }
  }

  private void end(View view, Trip trip, Result result, Detail detail, double now) {
    boolean over = result == Result.HONOURED;
    if (over) {
      answered.add(view);
      open.remove(view);
    }
    boolean fill = detail == Detail.FILLED;
    trip.outcome =
        new Outcome(result, detail, at(now).minus(trip.sent), fill ? at(far) : null, over);
    follow(view, brain.after(view, trip, at(now)), now);
  }

  private void step(double now) {
    Map<Cache, Integer> crowd = new HashMap<>();
    out.forEach(under -> crowd.merge(under.trip.cache, under.wait <= 0 ? 1 : 0, Integer::sum));
    for (Under under : List.copyOf(out)) {
      Cache cache = under.trip.cache;
      if (under.wait > 0) {
        under.wait -= STEP;
      } else {
        under.work -= STEP * speed.get(cache) * Math.min(1, cache.weight / crowd.get(cache));
      }
      if (under.wait <= 0 && under.work <= 0 && out.remove(under)) {
        boolean held = holds.get(cache).contains(under.view.object);
        if (under.trip.source == cache && !held) {
          end(under.view, under.trip, Result.MISSED, Detail.UNTOLD, now);
        } else {
          holds.get(cache).add(under.view.object);
          end(under.view, under.trip, Result.HONOURED, held ? Detail.HIT : Detail.FILLED, now);
        }
      } else if (now > under.view.cutOff.toNanos() * 1e-9 && out.remove(under)) {
        end(under.view, under.trip, Result.TIMED_OUT, Detail.UNTOLD, now);
      }
    }
    for (View view : List.copyOf(open)) {
      view.trips.stream()
          .filter(
              t ->
                  t.outcome == null
                      && t.due != null
                      && t.due.compareTo(at(now)) <= 0
                      && t.due.compareTo(at(now - STEP)) > 0)
          .findFirst()
          .ifPresent(late -> follow(view, brain.place(view, at(now)), now));
    }
  }

  private static double share(List<View> of, Set<View> answered) {
    return (double) of.stream().filter(answered::contains).count() / of.size();
  }

  @ParameterizedTest
  @CsvSource({
    "quiet, 0.7, 1.3, 0.667",
    "quiet, 0.9, 1.0, 0.667",
    "quiet, 0.9, 1.3, 0.667",
    "quiet, 1.0, 1.0, 0.667",
    "quiet, 1.0, 1.3, 0.667",
    "short, 1.1, 1.3, 0.5",
    "short, 1.4, 1.0, 0.5",
    "short, 1.4, 1.3, 0.5",
    "slow, 0.8, 1.3, 0.5",
    "slow, 1.0, 1.0, 0.5",
    "far, 0.9, 1.3, 0.5",
    "cold, 0.9, 1.3, 0.5",
    "cold, 0.9, 0.8, 0.5"
  })
  void theLargestAreNotStarved(String day, double load, double sigma, double least) {
    Settings.ColdStart start = new Settings.ColdStart(0.2, at(17), 3, at(2));
    brain =
        new Brain(
            new Settings(
                11,
                0,
                1,
                1,
                List.of(0),
                1000,
                30_000,
                false,
                true,
                true,
                false,
                true,
                at(0.5),
                8,
                start,
                start,
                at(6),
                Settings.Weights.ROUGH));
    List<Cache> caches =
        List.of(
            cache(1, Cache.Tier.EDGE, 10),
            cache(2, Cache.Tier.EDGE, 10),
            cache(3, Cache.Tier.EDGE, 10),
            cache(4, Cache.Tier.PARENT, 40),
            cache(5, Cache.Tier.ORIGIN, 10));
    caches.forEach(c -> holds.put(c, new HashSet<>()));
    caches.forEach(c -> speed.put(c, 1.0));
    brain.listed(caches, at(0));
    double perSecond = load * 30 / MEAN, next = 0;
    long fresh = 1000;
    for (double now = 0; now < 40; now += STEP) {
      if (now > 8 && now < 8 + STEP && !day.equals("quiet")) {
        speed.put(caches.get(0), day.equals("slow") ? 0.2 : 1);
        far = day.equals("far") ? 0.5 : far;
        if (day.equals("cold")) {
          for (Cache cache : caches.subList(0, 3)) {
            cache.upSince = at(now);
            holds.get(cache).clear();
          }
          brain.listed(caches, at(now));
        }
      }
      for (; next < now; next -= Math.log(dice.nextDouble()) / perSecond) {
        long object = dice.nextInt(4) > 0 ? dice.nextInt(400) : ++fresh;
        double size =
            MEAN * Math.exp(sigma * new Random(object * 31 + 7).nextGaussian() - sigma * sigma / 2);
        View view = new View(profile, object, 0, 1, 1000 * size, at(now), at(now + 3));
        views.add(view);
        open.add(view);
        follow(view, brain.place(view, at(now)), now);
      }
      step(now);
    }
    views.removeIf(view -> view.arrived.toSeconds() < 8 || view.arrived.toSeconds() > 35);
    views.sort(Comparator.comparingDouble(view -> -view.kilobytes));
    double all = share(views, answered);
    double largest = share(views.subList(0, views.size() / 10), answered);
    double large = share(views.subList(views.size() / 10, views.size() * 3 / 10), answered);
    assertThat(Math.min(largest, large) / all).isGreaterThan(least);
    assertThat(all).isGreaterThan(0.6);
  }
}
