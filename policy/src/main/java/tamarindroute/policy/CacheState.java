package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import java.util.Objects;
import tamarindroute.decision.*;
import tamarindroute.numeric.DecayingValue;
import tamarindroute.numeric.Hashing;

/**
 * Owns what this gateway knows of one cache from its own trips: measures, cold share, sequential
 * test.
 */
final class CacheState {

  final Cache cache;
  private final CacheTiers tiers;
  private final PolicySettings.ColdStart start;
  private final long hashSeed;
  private Duration startedAt;

  /**
   * 3 s even out some tens of views; waits and slowness are forgotten in 10 s, to be tried again.
   */
  final DecayingValue inFlight = new DecayingValue(3, 0),
      cpuUtilization = new DecayingValue(4, 1),
      failureEvidence = new DecayingValue(20, 0);

  final DecayingValue fillLatency = new DecayingValue(10, 0);
  private final DecayingValue slowness = new DecayingValue(10, 0);

  /**
   * The weight that places objects, the size that bounds what is sent, what the others have out
   * there.
   */
  private double hashWeight = 1, others, othersAt = -1e9;

  double size = 1, allowance, score;
  boolean ejected, sampled;
  private double triedAt, wait, allowanceAt;
  int hubDistance;
  private Request drawnFor;

  /** The odds added up toward the next view by lot, from a place of this gateway's own. */
  private double samplingCredit = -1, toldAt;

  CacheState(Cache cache, CacheTiers tiers) {
    this.cache = cache;
    this.tiers = tiers;
    this.hashSeed = Hashing.mix(cache.stableId);
    this.start =
        cache.tier == Cache.Tier.PARENT
            ? tiers.settings.parentColdStart()
            : tiers.settings.edgeColdStart();
  }

  void score(long key) {
    score = -Math.log(Hashing.fraction(Hashing.mix(key ^ hashSeed))) / hashWeight;
  }

  /** A process that has just started owes nothing of its former self's. */
  void onEndpoints(double now) {
    boolean same = Objects.equals(startedAt, cache.startedAt);
    double weight = Math.max(1e-6, cache.weight);
    switch (tiers.settings.weightMeaning()) {
      case OFF -> {}
      // It shrinks with the load: that must neither move objects nor bound the cache a second time.
      case LIVE -> size = same ? Math.max(size, weight) : weight;
      default -> hashWeight = size = weight;
    }
    if (!same) {
      startedAt = cache.startedAt;
      toldAt = allowanceAt = now;
      allowance = 0;
      failureEvidence.reset(0);
      sampled = ejected = false;
    }
  }

  boolean isCold(double now) {
    return cache.startedAt != null
        && cache.tier != Cache.Tier.ORIGIN
        && now < seconds(cache.startedAt) + seconds(start.warmAfter());
  }

  /** This instance's even share of the work a second that pushes a cold cache over. */
  double rate(double now) {
    double age = Math.max(0, now - seconds(cache.startedAt));
    double warmth =
        start.initialCapacity() + (1 - start.initialCapacity()) * age / seconds(start.warmAfter());
    return start.overloadMultiple()
        * warmth
        * size
        * tiers.concurrencyLimit.surely(tiers.weightsConfigured)
        / sharers();
  }

  /**
   * Whether a cold cache may get this much more work. Of this gateway's share 0.65 flows in and 0.3
   * may wait, or one view if within 0.35: no window has more than the whole. Where less than a view
   * may wait, it goes by lot at odds of what flowed in, lest gateways that each saved one up come
   * together.
   */
  boolean bears(double work, double now) {
    if (!isCold(now)) {
      return true;
    }
    QuotaGrant grant = tiers.quotaGrants.getOrDefault(cache.tier, QuotaGrant.NONE);
    double rate = rate(now) * grant.toEvenShares(sharers(), now, allowanceAt);
    double whole = rate * seconds(start.overloadWindow());
    double most = Math.max(Math.min(0.35 * whole, work), 0.3 * whole);
    allowance = Math.min(most, allowance + 0.65 * rate * (now - allowanceAt));
    allowanceAt = now;
    if (most >= work || tiers.currentRequest == null) {
      return allowance >= work;
    }
    if (drawnFor != tiers.currentRequest) {
      drawnFor = tiers.currentRequest;
      samplingCredit = samplingCredit < 0 ? tiers.nextRandom() : samplingCredit;
      double odds = Math.max(0, allowance / work);
      sampled = samplingCredit + odds >= 1;
      samplingCredit += sampled ? 0 : odds;
      allowance = sampled ? allowance : Math.min(0, allowance);
    }
    return sampled;
  }

  void spend(double work) {
    boolean drawn = sampled && drawnFor == tiers.currentRequest;
    samplingCredit = drawn ? Math.max(0, samplingCredit + allowance / work - 1) : samplingCredit;
    allowance = drawn ? 0 : allowance - work;
    sampled = false;
  }

  /**
   * A trip that did not get here gives back what it took, but not to a process that was told of
   * since.
   */
  void refund(double work, Duration sent) {
    allowance += isCold(seconds(sent)) && seconds(sent) > toldAt ? work : 0;
  }

  /**
   * The sequential test: the log of how much better outcomes fit a bad cache, which fails 4 in 10,
   * than a good one, which fails 1 in 50. Guards against caches that fail fast, hang or are gone.
   */
  void judge(double weight, double now) {
    if (weight > 0) {
      failureEvidence.add(Math.min(9 - failureEvidence.valueAt(now), 3 * weight), now);
      if (ejected || failureEvidence.lastValue() >= 6) {
        wait = ejected ? Math.min(4, wait * 2) : 1;
        ejected = true;
        triedAt = now;
      }
    } else {
      failureEvidence.add(
          Math.max(-failureEvidence.valueAt(now), (ejected ? 4 : 1) * 0.5 * weight), now);
      wait = 0.25;
      ejected &= failureEvidence.lastValue() >= 3;
    }
  }

  private int sharers() {
    return cache.tier == Cache.Tier.PARENT
        ? tiers.settings.gatewayCount()
        : tiers.settings.zoneGatewayCount();
  }

  /**
   * The transfers a unit that one more would meet: as if all sent alike, or more by its own fresh
   * word.
   */
  double concurrency(double now) {
    double met = Math.max((sharers() - 1) * inFlight.valueAt(now), now < othersAt + 2 ? others : 0);
    return cache.tier == Cache.Tier.ORIGIN ? 0 : (inFlight.rest() + met + 1) / size;
  }

  /**
   * How many times longer than alone a transfer takes there: by its crowd and its hits beyond that.
   */
  double stretch(double now) {
    double crowd =
        cpuUtilization.valueAt(now) < 0.7 ? 1 : tiers.concurrencyLimit.stretch(concurrency(now));
    return crowd * Math.exp(Math.max(0, slowness.valueAt(now)));
  }

  /**
   * A hit is slow by what edges bear, and beyond that by its cache; in logarithms, as sizes
   * scatter.
   */
  void hit(Request request, double took, double now) {
    double work = tiers.transferTime(request), met = concurrency(now), expected = stretch(now);
    double beyond = took / work / tiers.concurrencyLimit.stretch(met);
    slowness.blendToward(Math.log(Math.max(0.05, Math.min(20, beyond))), 0.2, now);
    if (!isCold(now)) {
      tiers.concurrencyLimit.sample(met, took / work, tiers.isSizeKnown(request));
    }
    tiers.statistics(request).hit(took, work * expected);
    if (!tiers.isSizeKnown(request)) {
      tiers.statistics(request).transfer(took / expected);
    }
  }

  void onLoadReport(LoadReport report, double now) {
    if (!Double.isNaN(report.cpuUtilization())) {
      cpuUtilization.blendToward(report.cpuUtilization(), 1, now);
    }
    if (!Double.isNaN(report.outstandingRequests())) {
      others = Math.max(0, report.outstandingRequests() - inFlight.rest());
      othersAt = now;
    }
  }

  void waited(double sample, double now) {
    fillLatency.blendToward(
        Math.min(sample, 4 * Math.max(tiers.fillLatency, fillLatency.valueAt(now))), 0.2, now);
  }

  boolean usable(double work, double now) {
    return cache.isReady() && !ejected && bears(work, now);
  }

  /** Whether a barred cache is due for a try: with a view that may run again, now and then. */
  boolean trial(Request request, double now) {
    boolean due =
        ejected
            && cache.isReady()
            && now >= triedAt + wait
            && bears(tiers.coldStartCharge(request), now)
            && request.requestClass.idempotency() == RequestClass.Idempotency.IDEMPOTENT;
    triedAt = due ? now : triedAt;
    return due;
  }
}
