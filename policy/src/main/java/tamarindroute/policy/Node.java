package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import java.util.Objects;
import tamarindroute.decision.*;
import tamarindroute.numeric.Decaying;
import tamarindroute.numeric.Hashing;

/**
 * Owns what this gateway knows of one cache from its own trips: measures, cold share, sequential
 * test.
 */
final class Node {

  final Cache cache;
  private final Caches all;
  private final Settings.ColdStart start;
  private final long stirred;
  private Duration upSince;

  /**
   * 3 s even out some tens of views; waits and slowness are forgotten in 10 s, to be tried again.
   */
  final Decaying inHand = new Decaying(3, 0),
      told = new Decaying(4, 1),
      doubt = new Decaying(20, 0);

  final Decaying fillWait = new Decaying(10, 0);
  private final Decaying slowness = new Decaying(10, 0);

  /**
   * The weight that places objects, the size that bounds what is sent, what the others have out
   * there.
   */
  private double hashWeight = 1, others, othersAt = -1e9;

  double size = 1, allowance, score;
  boolean barred, won;
  private double triedAt, wait, allowanceAt;
  int hubsAway;
  private View drawnFor;

  /** The odds added up toward the next view by lot, from a place of this gateway's own. */
  private double luck = -1, toldAt;

  Node(Cache cache, Caches all) {
    this.cache = cache;
    this.all = all;
    this.stirred = Hashing.mix(cache.mark);
    this.start =
        cache.tier == Cache.Tier.PARENT ? all.settings.parentStart() : all.settings.edgeStart();
  }

  void score(long key) {
    score = -Math.log(Hashing.fraction(Hashing.mix(key ^ stirred))) / hashWeight;
  }

  /** A process that has just started owes nothing of its former self's. */
  void listed(double now) {
    boolean same = Objects.equals(upSince, cache.upSince);
    double weight = Math.max(1e-6, cache.weight);
    switch (all.settings.weights()) {
      case OFF -> {}
      // It shrinks with the load: that must neither move objects nor bound the cache a second time.
      case LIVE -> size = same ? Math.max(size, weight) : weight;
      default -> hashWeight = size = weight;
    }
    if (!same) {
      upSince = cache.upSince;
      toldAt = allowanceAt = now;
      allowance = doubt.value = 0;
      won = barred = false;
    }
  }

  boolean cold(double now) {
    return cache.upSince != null
        && cache.tier != Cache.Tier.ORIGIN
        && now < seconds(cache.upSince) + seconds(start.warmAfter());
  }

  /** This instance's even share of the work a second that pushes a cold cache over. */
  double rate(double now) {
    double age = Math.max(0, now - seconds(cache.upSince));
    double warmth = start.from() + (1 - start.from()) * age / seconds(start.warmAfter());
    return start.multiple() * warmth * size * all.capacity.surely(all.weighed) / sharers();
  }

  /**
   * Whether a cold cache may get this much more work. Of this gateway's share 0.65 flows in and 0.3
   * may wait, or one view if within 0.35: no window has more than the whole. Where less than a view
   * may wait, it goes by lot at odds of what flowed in, lest gateways that each saved one up come
   * together.
   */
  boolean bears(double work, double now) {
    if (!cold(now)) {
      return true;
    }
    DealtShare dealt = all.dealt.getOrDefault(cache.tier, DealtShare.NONE);
    double rate = rate(now) * dealt.evenShares(sharers(), now, allowanceAt);
    double whole = rate * seconds(start.window());
    double most = Math.max(Math.min(0.35 * whole, work), 0.3 * whole);
    allowance = Math.min(most, allowance + 0.65 * rate * (now - allowanceAt));
    allowanceAt = now;
    if (most >= work || all.asking == null) {
      return allowance >= work;
    }
    if (drawnFor != all.asking) {
      drawnFor = all.asking;
      luck = luck < 0 ? all.chance() : luck;
      double odds = Math.max(0, allowance / work);
      won = luck + odds >= 1;
      luck += won ? 0 : odds;
      allowance = won ? allowance : Math.min(0, allowance);
    }
    return won;
  }

  void spend(double work) {
    boolean drawn = won && drawnFor == all.asking;
    luck = drawn ? Math.max(0, luck + allowance / work - 1) : luck;
    allowance = drawn ? 0 : allowance - work;
    won = false;
  }

  /**
   * A trip that did not get here gives back what it took, but not to a process that was told of
   * since.
   */
  void refund(double work, Duration sent) {
    allowance += cold(seconds(sent)) && seconds(sent) > toldAt ? work : 0;
  }

  /**
   * The sequential test: the log of how much better outcomes fit a bad cache, which fails 4 in 10,
   * than a good one, which fails 1 in 50. Guards against caches that fail fast, hang or are gone.
   */
  void judge(double weight, double now) {
    if (weight > 0) {
      doubt.add(Math.min(9 - doubt.read(now), 3 * weight), now);
      if (barred || doubt.value >= 6) {
        wait = barred ? Math.min(4, wait * 2) : 1;
        barred = true;
        triedAt = now;
      }
    } else {
      doubt.add(Math.max(-doubt.read(now), (barred ? 4 : 1) * 0.5 * weight), now);
      wait = 0.25;
      barred &= doubt.value >= 3;
    }
  }

  private int sharers() {
    return cache.tier == Cache.Tier.PARENT
        ? all.settings.gateways()
        : all.settings.gatewaysInZone();
  }

  /**
   * The transfers a unit that one more would meet: as if all sent alike, or more by its own fresh
   * word.
   */
  double concurrency(double now) {
    double met = Math.max((sharers() - 1) * inHand.read(now), now < othersAt + 2 ? others : 0);
    return cache.tier == Cache.Tier.ORIGIN ? 0 : (inHand.rest() + met + 1) / size;
  }

  /**
   * How many times longer than alone a transfer takes there: by its crowd and its hits beyond that.
   */
  double stretch(double now) {
    double crowd = told.read(now) < 0.7 ? 1 : all.capacity.stretch(concurrency(now));
    return crowd * Math.exp(Math.max(0, slowness.read(now)));
  }

  /**
   * A hit is slow by what edges bear, and beyond that by its cache; in logarithms, as sizes
   * scatter.
   */
  void hit(View view, double took, double now) {
    double work = all.work(view), met = concurrency(now), expected = stretch(now);
    double beyond = took / work / all.capacity.stretch(met);
    slowness.blend(Math.log(Math.max(0.05, Math.min(20, beyond))), 0.2, now);
    if (!cold(now)) {
      all.capacity.sample(met, took / work, all.sized(view));
    }
    all.measures(view).hit(took, work * expected);
    if (!all.sized(view)) {
      all.measures(view).transfer(took / expected);
    }
  }

  void loaded(Load load, double now) {
    if (!Double.isNaN(load.busy())) {
      told.blend(load.busy(), 1, now);
    }
    if (!Double.isNaN(load.outstanding())) {
      others = Math.max(0, load.outstanding() - inHand.rest());
      othersAt = now;
    }
  }

  void waited(double sample, double now) {
    fillWait.blend(Math.min(sample, 4 * Math.max(all.far, fillWait.read(now))), 0.2, now);
  }

  boolean usable(double work, double now) {
    return cache.ready() && !barred && bears(work, now);
  }

  /** Whether a barred cache is due for a try: with a view that may run again, now and then. */
  boolean trial(View view, double now) {
    boolean due =
        barred
            && cache.ready()
            && now >= triedAt + wait
            && bears(all.charge(view), now)
            && view.profile.repeat() == Profile.Repeat.REISSUABLE;
    triedAt = due ? now : triedAt;
    return due;
  }
}
