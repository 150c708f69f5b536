package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.PolicySettings.ColdStart;
import tamarindroute.decision.QuotaGrant;
import tamarindroute.decision.Request;

/**
 * A token bucket that limits what this gateway sends to a cold cache to its share of what overloads
 * the cache. Tokens are seconds of transfer. Where a request costs more than the bucket may ever
 * hold, requests are admitted at random in proportion to what has accrued, so that gateways which
 * each saved up one request do not send them at the same time.
 */
final class SlowStartBudget {

  /** Share of the rate that accrues. */
  private static final double ACCRUAL_SHARE = 0.65;

  /** Share of an overload window that may be saved up. */
  private static final double BURST_SHARE = 0.3;

  /** Share of an overload window that may be saved up if one request needs it. */
  private static final double SINGLE_REQUEST_SHARE = 0.35;

  private static final double NOT_SEEDED = -1;

  private final Cache cache;
  private final PolicySettings settings;
  private final ColdStart coldStart;
  private final CacheWeight weight;
  private final AdaptiveConcurrencyLimit limit;
  private final QuotaGrants quotaGrants;
  private final RandomSequence random;
  private double tokens;
  private double accruedAt;
  private double processSeenAt;

  /**
   * Sum of the admission probabilities since the last sampled request; a request is admitted at
   * each whole number.
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

  /** Empties the bucket for a new process of the cache. */
  void reset(double now) {
    processSeenAt = now;
    accruedAt = now;
    tokens = 0;
    sampleAdmitted = false;
  }

  /** Whether the cache has started recently enough to be limited. */
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
    return coldStart.overloadMultiple() * warmth * weight.size() * limit.provenLimit() / sharers();
  }

  private int sharers() {
    return settings.gatewaysSharing(cache.tier);
  }

  /**
   * Whether the request may be sent there now; samples once per request where it costs more than
   * the bucket holds.
   */
  boolean admits(PlanningContext context) {
    if (!isCold(context.now())) {
      return true;
    }
    double capacity = accrue(context.cost(), context.now());
    return capacity >= context.cost() ? tokens >= context.cost() : sample(context);
  }

  /** Whether the bucket covers this cost now. */
  boolean covers(double cost, double now) {
    if (!isCold(now)) {
      return true;
    }
    accrue(cost, now);
    return tokens >= cost;
  }

  /** Brings the bucket up to date by the grant that holds now. */
  void accrue(double now) {
    if (isCold(now)) {
      accrue(0, now);
    }
  }

  /** Returns the capacity of the bucket for a request of this cost. */
  private double accrue(double cost, double now) {
    QuotaGrant grant = quotaGrants.get(cache.tier);
    double rate = evenShareRate(now) * grant.toEvenShares(sharers(), now, accruedAt);
    double windowShare = rate * seconds(coldStart.overloadWindow());
    double capacity =
        Math.max(Math.min(SINGLE_REQUEST_SHARE * windowShare, cost), BURST_SHARE * windowShare);
    tokens = Math.min(capacity, tokens + ACCRUAL_SHARE * rate * (now - accruedAt));
    accruedAt = now;
    return capacity;
  }

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

  /** Takes the cost of an attempt that is sent; a sampled one takes all that has accrued. */
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
   * Returns the cost of an attempt that did not reach the cache, unless its process has changed
   * since.
   */
  void refund(double cost, Duration sentAt) {
    double sent = seconds(sentAt);
    if (isCold(sent) && sent > processSeenAt) {
      tokens += cost;
    }
  }
}
