package tamarindroute.policy;

import tamarindroute.decision.PolicySettings;

/**
 * The measurements and counters that the components of one policy share, and the construction of
 * these components.
 *
 * @param settings the settings of the gateway
 * @param random the pseudo-random numbers of the policy
 * @param quotaGrants the latest quota grant of each tier
 * @param limit the concurrency limit per unit of size, common to all caches
 * @param tiers the caches of the endpoint list with their state
 * @param transferTimes expected transfer times by request class
 * @param latencies mean waits for hits and fills in the location
 * @param popularity the popularity of recently requested objects
 * @param ratioTest the test that decides whether an object is hot
 * @param purges recent purges
 * @param inFlight the attempts in flight
 * @param retries the limit on retries, with recent rejections
 */
record SharedState(
    PolicySettings settings,
    RandomSequence random,
    QuotaGrants quotaGrants,
    AdaptiveConcurrencyLimit limit,
    CacheTiers tiers,
    TransferTimes transferTimes,
    LatencyEstimates latencies,
    ObjectPopularity popularity,
    RatioTest ratioTest,
    PurgeTracker purges,
    InFlightTracker inFlight,
    RetryPolicy retries) {

  /** Returns the state of a policy that has handled no request. */
  static SharedState create(PolicySettings settings) {
    RandomSequence random = new RandomSequence(settings.seed());
    QuotaGrants quotaGrants = new QuotaGrants();
    AdaptiveConcurrencyLimit limit = AdaptiveConcurrencyLimit.of(settings.weightMeaning());
    CacheTiers tiers = new CacheTiers(settings, limit, quotaGrants, random);
    LatencyEstimates latencies = new LatencyEstimates();
    ObjectPopularity popularity = new ObjectPopularity();
    return new SharedState(
        settings,
        random,
        quotaGrants,
        limit,
        tiers,
        new TransferTimes(settings),
        latencies,
        popularity,
        new RatioTest(settings, tiers, latencies, popularity),
        new PurgeTracker(settings.purgePropagationTime()),
        new InFlightTracker(settings, tiers),
        new RetryPolicy());
  }

  /** Returns a new planner of attempts. */
  AttemptPlanner newPlanner() {
    AttemptHistory history = new AttemptHistory(settings.reportsFillSource());
    LatencyObjective objective = new LatencyObjective(transferTimes);
    AttemptFactory attempts = new AttemptFactory(purges, transferTimes, latencies);
    FillSourceSelector sources = new FillSourceSelector(tiers, history, objective);
    LocationCapacity capacity = new LocationCapacity(settings, tiers, limit);
    FillAdmission admission = new FillAdmission(objective, inFlight, capacity, latencies);
    boolean bypassAllowed = settings.edgeBypassAllowed();
    CacheableRequestPlanner cacheable =
        new CacheableRequestPlanner(
            bypassAllowed,
            new ObjectPlacement(tiers, popularity, ratioTest, purges),
            new EdgeSelector(bypassAllowed, history),
            new EdgeFillPlanner(tiers, sources, admission, attempts),
            new BypassPlanner(tiers, sources, admission, objective, attempts),
            objective,
            history,
            attempts);
    UncacheableRequestPlanner uncacheable =
        new UncacheableRequestPlanner(bypassAllowed, tiers, sources, history, attempts);
    RejectionPolicy rejections = new RejectionPolicy(settings.maxRetryAfter(), random);
    return new AttemptPlanner(
        settings.maxAttempts(),
        tiers,
        transferTimes,
        retries,
        inFlight,
        cacheable,
        uncacheable,
        rejections);
  }

  /** Returns a new policy for late attempts. */
  LateAttemptPolicy newLateAttemptPolicy(FailureAttribution failures, AttemptPlanner planner) {
    return new LateAttemptPolicy(
        settings, tiers, transferTimes, latencies, retries, failures, planner);
  }

  /** Returns a new recorder of outcomes. */
  OutcomeRecorder newOutcomeRecorder(FailureAttribution failures) {
    CopyRecorder copies = new CopyRecorder(tiers, transferTimes, popularity, ratioTest, latencies);
    return new OutcomeRecorder(
        tiers, transferTimes, latencies, inFlight, retries, failures, copies);
  }
}
