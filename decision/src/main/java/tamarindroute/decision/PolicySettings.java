package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/**
 * The settings of a gateway that its routing policy reads.
 *
 * @param seed seed of the policy's pseudo-random numbers
 * @param zone index of the gateway's own zone
 * @param gatewayCount gateways in all zones
 * @param zoneGatewayCount gateways in the own zone
 * @param hubByZone the hub of each zone; hubs form a ring
 * @param transferRateKbPerSecond rate of one undisturbed transfer, in kB/s; 0 if unknown
 * @param inboundLinkKbPerSecond rate of the location's link for fills, in kB/s; 0 if unknown
 * @param edgeBypassAllowed whether requests may go to parents and the origin directly
 * @param siblingFillAllowed whether an edge may be filled from another edge
 * @param reportsFillSource whether caches report where an answer came from
 * @param hedgingAllowed whether a second attempt may be sent while the first is outstanding
 * @param cancelAllowed whether outstanding attempts may be cancelled
 * @param maxRetryAfter longest retry delay that may be advised; null if none may be
 * @param maxAttempts attempts per request
 * @param edgeColdStart capacity of a restarted edge
 * @param parentColdStart capacity of a restarted parent
 * @param purgePropagationTime time within which a purge reaches all caches
 * @param weightMeaning what the weights of caches say
 */
public record PolicySettings(
    long seed,
    int zone,
    int gatewayCount,
    int zoneGatewayCount,
    List<Integer> hubByZone,
    double transferRateKbPerSecond,
    double inboundLinkKbPerSecond,
    boolean edgeBypassAllowed,
    boolean siblingFillAllowed,
    boolean reportsFillSource,
    boolean hedgingAllowed,
    boolean cancelAllowed,
    Duration maxRetryAfter,
    int maxAttempts,
    ColdStart edgeColdStart,
    ColdStart parentColdStart,
    Duration purgePropagationTime,
    WeightMeaning weightMeaning) {

  /**
   * Returns how many undisturbed transfers the location's link for fills carries at once; 0 if
   * unknown.
   */
  public double inboundLinkCapacity() {
    return transferRateKbPerSecond > 0 && inboundLinkKbPerSecond > 0
        ? inboundLinkKbPerSecond / transferRateKbPerSecond
        : 0;
  }

  /** Returns the hops along the ring of hubs from the own zone to a hub. */
  public int hubDistance(int hub) {
    int ownHub = zone < hubByZone.size() ? hubByZone.get(zone) : hub;
    int hubCount = hubByZone.stream().max(Integer::compare).orElse(0) + 1;
    int steps = Math.abs(ownHub - hub) % hubCount;
    return Math.min(steps, hubCount - steps);
  }

  /**
   * Returns how many gateways send to each cache of a tier: parents serve all zones, edges their
   * own.
   */
  public int gatewaysSharing(Cache.Tier tier) {
    return tier == Cache.Tier.PARENT ? gatewayCount : zoneGatewayCount;
  }

  /** Returns the cold start of caches of a tier; the origin's is not used. */
  public ColdStart coldStart(Cache.Tier tier) {
    return tier == Cache.Tier.PARENT ? parentColdStart : edgeColdStart;
  }

  /** What {@link Cache#weight} says. */
  public enum WeightMeaning {
    /** Nothing: it is 1 for every cache. */
    OFF,
    /** The registered size, whatever the machine can take at the moment. */
    NOMINAL,
    /** Approximately the size. */
    ROUGH,
    /** The size divided by one more than the requests that each core had some time ago. */
    LIVE
  }

  /**
   * The capacity of a cache after its start, and the load that would overload it.
   *
   * @param initialCapacity share of the full capacity right after the start, 0 to 1
   * @param warmAfter time until the full capacity is reached, linearly
   * @param overloadMultiple multiple of the current capacity that overloads a cold cache
   * @param overloadWindow how long that load has to last
   */
  public record ColdStart(
      double initialCapacity,
      Duration warmAfter,
      double overloadMultiple,
      Duration overloadWindow) {}
}
