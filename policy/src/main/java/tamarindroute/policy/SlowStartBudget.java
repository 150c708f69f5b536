package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.PolicySettings.ColdStart;
import tamarindroute.decision.QuotaGrant;
import tamarindroute.decision.Request;

/**
 * A token bucket that limits the load that this gateway sends to a cold cache, which is a cache
 * that has started recently and has not yet reached its full capacity. One token is one second of
 * transfer. Tokens accrue in proportion to this gateway's share of the smallest load that would
 * overload the cache. The load is measured over the overload window of {@link ColdStart}.
 *
 * <p>If a request costs more than the bucket can hold, it is admitted with a probability of the
 * accrued tokens divided by its cost. If such requests were admitted as soon as the tokens cover
 * their cost, gateways that have saved up for the same time would send their requests at the same
 * time.
 */
final class SlowStartBudget {

  /**
   * Rate at which tokens accrue, as a share of the rate that this gateway may send. Over one
   * overload window, 0.65 of the load that the gateway may send accrues, and at most 0.35 of it was
   * saved up before. The two together never exceed the load that the gateway may send in a window.
   */
  private static final double ACCRUAL_SHARE = 0.65;

  /**
   * Largest number of tokens that may be saved up, as a share of the load that this gateway may
   * send in one overload window.
   */
  private static final double BURST_SHARE = 0.3;

  /**
   * Largest number of tokens that may be saved up for a single request that costs more than {@link
   * #BURST_SHARE} allows, as a share of the same load.
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

  /** When tokens were last added, in seconds since the start of the instance. */
  private double accruedAt;

  /**
   * When the current process of the cache was first seen, in seconds since the start of the
   * instance.
   */
  private double processSeenAt;

  /**
   * Sum of the admission probabilities since the last admitted request. A request is admitted when
   * the sum reaches 1. It starts at a random value, so that gateways do not admit at the same time.
   */
  private double samplingCredit = NOT_SEEDED;

  /** The last request that was sampled; null before the first one. */
  private Request sampledRequest;

  /** Whether the sampled request was admitted and has not been sent yet. */
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
   * Sets the tokens to 0 because the cache has a new process. Load that was sent to the previous
   * process does not reduce the budget of the new one.
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
   * Returns the rate that overloads the cold cache at its present capacity, divided evenly among
   * the gateways that send to it. The unit is seconds of transfer per second.
   */
  double evenShareRate(double now) {
    double age = Math.max(0, now - seconds(cache.startedAt));
    double initial = coldStart.initialCapacity();
    double warmth = initial + (1 - initial) * age / seconds(coldStart.warmAfter());
    return coldStart.overloadMultiple()
        * warmth
        * weight.size()
        * limit.provenLimit()
        / sharingGatewayCount();
  }

  private int sharingGatewayCount() {
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

  /**
   * Whether there are enough tokens for this cost now, without sampling. Always true for a cache
   * that is not cold.
   */
  boolean covers(double cost, double now) {
    if (!isCold(now)) {
      return true;
    }
    accrue(cost, now);
    return tokens >= cost;
  }

  /** Adds the tokens that have accrued until now at the rate of the current quota grant. */
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
    double rate = evenShareRate(now) * grant.toEvenShares(sharingGatewayCount(), now, accruedAt);
    double windowShare = rate * seconds(coldStart.overloadWindow());
    double capacity =
        Math.max(Math.min(SINGLE_REQUEST_SHARE * windowShare, cost), BURST_SHARE * windowShare);
    tokens = Math.min(capacity, tokens + ACCRUAL_SHARE * rate * (now - accruedAt));
    accruedAt = now;
    return capacity;
  }

  /**
   * Whether the request is admitted. The first call for a request decides, and later calls return
   * the same result. If the request is not admitted, the accrued tokens are discarded and its
   * admission probability is added to {@link #samplingCredit}.
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
   * Subtracts the cost of an attempt that is sent. An attempt that was admitted by sampling uses up
   * all accrued tokens instead.
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
