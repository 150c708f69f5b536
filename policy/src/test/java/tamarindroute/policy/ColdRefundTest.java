package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Load;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Settings;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;

/**
 * What a gateway's trips took of a cold cache's bound comes back if they never got there, and in no
 * other case.
 */
class ColdRefundTest {

  private static final Settings.ColdStart START = new Settings.ColdStart(0.2, at(20), 3, at(2));

  private final Cache edge = cache(1, Cache.Tier.EDGE);
  private final Cache parent = cache(3, Cache.Tier.PARENT);
  private final Cache origin = cache(7, Cache.Tier.ORIGIN);
  private final List<View> out = new ArrayList<>();
  private Brain brain;
  private long objects;

  private static Duration at(double seconds) {
    return Duration.ofNanos(Math.round(seconds * 1e9));
  }

  private static Cache cache(long mark, Cache.Tier tier) {
    Cache cache = new Cache(mark);
    cache.tier = tier;
    cache.weight = 20;
    return cache;
  }

  private static Profile profile(Duration fresh) {
    return new Profile(
        Profile.Repeat.REISSUABLE, Profile.Group.ALL, Duration.ZERO, at(0.1), 20, true, fresh);
  }

  private void listed(boolean direct, Cache... caches) {
    brain =
        new Brain(
            new Settings(
                5,
                0,
                1,
                1,
                List.of(0),
                1000,
                1e6,
                direct,
                true,
                true,
                false,
                true,
                null,
                8,
                START,
                START,
                at(6),
                Settings.Weights.ROUGH));
    brain.listed(List.of(caches), at(10));
  }

  /** How many views went to the cache, or had it as their source, before it bore no more. */
  private int sent(Cache to, Duration fresh, double now) {
    out.clear();
    brain.loaded(edge, new Load(0.1, Double.NaN), at(now));
    for (int i = 0; i < 500; i++) {
      View view = new View(profile(fresh), ++objects, 0, 1, 100, at(now), at(now + 9));
      if (brain.place(view, at(now)) instanceof Trip trip
          && (trip.cache == to || trip.source == to)) {
        trip.sent = at(now);
        view.trips.add(trip);
        out.add(view);
      }
    }
    return out.size();
  }

  private void end(Result result, Detail detail, double now) {
    for (View view : out) {
      Trip trip = view.trips.get(0);
      trip.outcome = new Outcome(result, detail, at(0.1), null, true);
      brain.after(view, trip, at(now));
    }
  }

  /**
   * An unreached cache is also judged bad; the only one, it is tried all the same, within its
   * bound.
   */
  @ParameterizedTest
  @EnumSource(
      value = Result.class,
      names = {"NOT_SENT", "UNREACHED"})
  void tripsThatNeverLeftGiveBack(Result result) {
    parent.upSince = at(10);
    edge.upSince = at(10);
    listed(false, edge, parent, origin);
    int first = sent(edge, Duration.ZERO, 15);
    assertThat(first).isEqualTo(144);
    assertThat(sent(edge, Duration.ZERO, 15)).isZero();
    // The same modules with the first ones out.
    listed(false, edge, parent, origin);
    assertThat(sent(edge, Duration.ZERO, 15)).isEqualTo(first);
    end(result, Detail.UNTOLD, 15);
    assertThat(brain.regard(edge, at(15)).barred()).isEqualTo(result == Result.UNREACHED);
    assertThat(sent(edge, Duration.ZERO, 15)).isEqualTo(first);
  }

  @Test
  void otherEndingsGiveNothingBack() {
    edge.upSince = at(10);
    listed(false, edge, parent, origin);
    sent(edge, Duration.ZERO, 15);
    end(Result.RECALLED, Detail.UNTOLD, 15);
    assertThat(sent(edge, Duration.ZERO, 15)).isZero();
  }

  /**
   * What the former process never got is not there for the next, which has had nothing flow in yet.
   */
  @Test
  void aProcessThatStartedSinceGetsNothingOfIt() {
    edge.upSince = at(10);
    listed(false, edge, parent, origin);
    assertThat(sent(edge, Duration.ZERO, 15)).isPositive();
    edge.upSince = at(14.9);
    brain.listed(List.of(edge, parent, origin), at(15));
    end(Result.NOT_SENT, Detail.UNTOLD, 15);
    assertThat(sent(edge, Duration.ZERO, 15)).isZero();
  }

  /** A hit at the edge asked nothing of the parent; one that is renewed behind did. */
  @Test
  void aFillThatWasNotNeededGivesBackUnlessItsCopyIsRenewed() {
    parent.upSince = at(10);
    edge.upSince = at(10);
    listed(false, edge, parent);
    edge.upSince = null;
    brain.listed(List.of(edge, parent), at(10));
    edge.upSince = at(1);
    brain.listed(List.of(edge, parent), at(10));
    int first = sent(parent, at(8), 15);
    assertThat(first).isPositive();
    end(Result.HONOURED, Detail.HIT, 15);
    assertThat(sent(parent, at(8), 15)).as("renewed").isZero();
    listed(false, edge, parent);
    assertThat(sent(parent, Duration.ZERO, 15)).isEqualTo(first);
    end(Result.HONOURED, Detail.HIT, 15);
    edge.weight = 1000;
    assertThat(sent(parent, Duration.ZERO, 15)).as("plain").isPositive();
  }

  /** A view that went straight to a parent was there, whatever it found. */
  @Test
  void aHitAtTheParentItselfGivesNothingBack() {
    parent.upSince = at(10);
    listed(true, parent);
    assertThat(sent(parent, Duration.ZERO, 15)).isPositive();
    end(Result.HONOURED, Detail.HIT, 15);
    assertThat(sent(parent, Duration.ZERO, 15)).isZero();
  }
}
