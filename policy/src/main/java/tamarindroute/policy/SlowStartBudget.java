package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.PolicySettings.ColdStart;
import tamarindroute.decision.QuotaGrant;
import tamarindroute.decision.Request;

/**
 * A token bucket that limits what this gateway sends to a cold cache. The bucket is filled by this
 * gateway's share of the load that overloads the cache. Tokens are seconds of transfer.
 *
 * <p>Where a request costs more than the bucket can hold, requests are admitted at random, with a
 * probability in proportion to the tokens that have accrued. Otherwise gateways that have each
 * saved up the cost of one request would send their requests at the same time.
 */
final class SlowStartBudget {

  /**
   * Share of this gateway's rate at which tokens accrue. Within one overload window 0.65 of the
   * gateway's share accrues and at most 0.35 has been saved up, so that no window exceeds the whole
   * share.
   */
  private static final double ACCRUAL_SHARE = 0.65;

  /** Part of this gateway's share of an overload window that may be saved up. */
  private static final double BURST_SHARE = 0.3;

  /**
   * Part of this gateway's share of an overload window that may be saved up if a single request
   * costs that much.
   */
  private static final double SINGLE_REQUEST_SHARE = 0.35;

  /** Value of the sampling credit before its first use. */
  private static final double NOT_SEEDED = -1;

  private final Cache cache;
  private final PolicySettings settings;
  private final ColdStart coldStart;
  private final CacheWeight weight;
  private final AdaptiveConcurrencyLimit limit;
  private final QuotaGrants quotaGrants;
  private final RandomSequence random;

  /**
   * Seconds of transfer that may be sent now. Negative while more has been sent than has accrued.
   */
  private double tokens;

  private double accruedAt;

  /** When the current process of the cache was first seen, in seconds since the start. */
  private double processSeenAt;

  /**
   * Sum of the admission probabilities since the last admitted request. A request is admitted when
   * the sum reaches 1. It starts at a random value, so that gateways do not admit at the same time.
   */
  private double samplingCredit = NOT_SEEDED;

  private Request sampledRequest;
  private boolean sampleAdmitted;

  SlowStartBudget(
      Cache cache,
      PolicySettings settings,
      CacheWeight weight,
      AdaptiveConcurrencyLimit limit,
      QuotaGrants quotaGrants,
      RandomSequence random) {
    this.cache = cache;
    this.settings = settings;
    this.coldStart = settings.coldStart(cache.tier);
    this.weight = weight;
    this.limit = limit;
    this.quotaGrants = quotaGrants;
    this.random = random;
  }

  /**
   * Empties the bucket because the cache has a new process, which owes nothing for the previous
   * one.
   *
   * @param now seconds since the start of the instance
   */
  void reset(double now) {
    processSeenAt = now;
    accruedAt = now;
    tokens = 0;
    sampleAdmitted = false;
  }

  /**
   * Whether the cache has started so recently that its load is limited. The origin is never cold.
   */
  boolean isCold(double now) {
    return cache.startedAt != null
        && cache.tier != Cache.Tier.ORIGIN
        && now < seconds(cache.startedAt) + seconds(coldStart.warmAfter());
  }

  /**
   * Returns this gateway's even share of the load that overloads the cold cache, in seconds of
   * transfer per second.
   */
  double evenShareRate(double now) {
    double age = Math.max(0, now - seconds(cache.startedAt));
    double initial = coldStart.initialCapacity();
    double warmth = initial + (1 - initial) * age / seconds(coldStart.warmAfter());
    return coldStart.overloadMultiple()
        * warmth
        * weight.size()
        * limit.provenLimit()
        / sharingGateways();
  }

  private int sharingGateways() {
    return settings.gatewaysSharing(cache.tier);
  }

  /**
   * Whether the budget allows an attempt of the request now. If the request costs more than the
   * bucket can hold, admission is sampled once per request.
   */
  boolean admits(PlanningContext context) {
    if (!isCold(context.now())) {
      return true;
    }
    double capacity = accrue(context.cost(), context.now());
    return capacity >= context.cost() ? tokens >= context.cost() : sample(context);
  }

  /** Whether the tokens cover this cost now; always true for a cache that is not cold. */
  boolean covers(double cost, double now) {
    if (!isCold(now)) {
      return true;
    }
    accrue(cost, now);
    return tokens >= cost;
  }

  /** Adds the tokens that have accrued until now, by the quota grant in force. */
  void accrue(double now) {
    if (isCold(now)) {
      accrue(0, now);
    }
  }

  /**
   * Adds the tokens that have accrued and returns the capacity of the bucket for a request of this
   * cost.
   */
  private double accrue(double cost, double now) {
    QuotaGrant grant = quotaGrants.get(cache.tier);
    double rate = evenShareRate(now) * grant.toEvenShares(sharingGateways(), now, accruedAt);
    double windowShare = rate * seconds(coldStart.overloadWindow());
    double capacity =
        Math.max(Math.min(SINGLE_REQUEST_SHARE * windowShare, cost), BURST_SHARE * windowShare);
    tokens = Math.min(capacity, tokens + ACCRUAL_SHARE * rate * (now - accruedAt));
    accruedAt = now;
    return capacity;
  }

  /**
   * Returns whether the request is admitted, which is decided on the first call for it. If it is
   * refused, the tokens that have accrued are forfeited and its probability is added to the credit.
   */
  private boolean sample(PlanningContext context) {
    if (sampledRequest != context.request()) {
      sampledRequest = context.request();
      samplingCredit = samplingCredit < 0 ? random.next() : samplingCredit;
      double probability = Math.max(0, tokens / context.cost());
      sampleAdmitted = samplingCredit + probability >= 1;
      if (!sampleAdmitted) {
        samplingCredit += probability;
        tokens = Math.min(0, tokens);
      }
    }
    return sampleAdmitted;
  }

  /**
   * Pays the cost of an attempt that is sent. A sampled attempt takes all tokens that have accrued.
   */
  void spend(PlanningContext context) {
    if (sampleAdmitted && sampledRequest == context.request()) {
      samplingCredit = Math.max(0, samplingCredit + tokens / context.cost() - 1);
      tokens = 0;
    } else {
      tokens -= context.cost();
    }
    sampleAdmitted = false;
  }

  /**
   * Refunds the cost of an attempt that did not reach the cache. Nothing is refunded if the cache
   * has a new process since the attempt was sent.
   */
  void refund(double cost, Duration sentAt) {
    double sent = seconds(sentAt);
    if (isCold(sent) && sent > processSeenAt) {
      tokens += cost;
    }
  }
}
