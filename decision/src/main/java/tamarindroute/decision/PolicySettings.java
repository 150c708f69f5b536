package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/**
 * The settings of a gateway that its routing policy reads.
 *
 * @param seed seed of the policy's pseudo-random numbers
 * @param zone index of the gateway's own zone
 * @param gatewayCount number of gateways in all zones
 * @param zoneGatewayCount number of gateways in the gateway's own zone
 * @param hubByZone index of the hub of each zone, in the order of zones. Hubs form a ring
 * @param transferRateKbPerSecond rate of a transfer on an idle cache, in kB/s; 0 if unknown
 * @param inboundLinkKbPerSecond rate of the location's link for fills, in kB/s; 0 if unknown
 * @param edgeBypassAllowed whether requests may be sent to parents and the origin directly
 * @param siblingFillAllowed whether an edge may be filled from another edge
 * @param reportsFillSource whether caches report where an answer came from
 * @param hedgingAllowed whether a second attempt may be sent while the first is outstanding
 * @param cancelAllowed whether outstanding attempts may be cancelled
 * @param maxRetryAfter longest retry delay that may be advised to clients; null if none may be
 *     advised
 * @param maxAttempts largest number of attempts per request
 * @param edgeColdStart capacity of an edge after a restart
 * @param parentColdStart capacity of a parent after a restart
 * @param purgePropagationTime time within which a purge reaches all caches
 * @param weightMeaning how the weights of caches are to be interpreted
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
   * Returns the number of transfers that the location's link for fills carries at once without
   * slowing each other down; 0 if unknown.
   */
  public double inboundLinkCapacity() {
    return transferRateKbPerSecond > 0 && inboundLinkKbPerSecond > 0
        ? inboundLinkKbPerSecond / transferRateKbPerSecond
        : 0;
  }

  /** Returns the hops along the ring of hubs from the hub of the gateway's zone to another hub. */
  public int hubDistance(int hub) {
    int ownHub = zone < hubByZone.size() ? hubByZone.get(zone) : hub;
    int hubCount = hubByZone.stream().max(Integer::compare).orElse(0) + 1;
    int steps = Math.abs(ownHub - hub) % hubCount;
    return Math.min(steps, hubCount - steps);
  }

  /**
   * Returns the number of gateways that send to each cache of a tier. Parents serve the gateways of
   * all zones, edges those of their own zone.
   */
  public int gatewaysSharing(Cache.Tier tier) {
    return tier == Cache.Tier.PARENT ? gatewayCount : zoneGatewayCount;
  }

  /** Returns the cold start of caches of a tier. The value for the origin is not used. */
  public ColdStart coldStart(Cache.Tier tier) {
    return tier == Cache.Tier.PARENT ? parentColdStart : edgeColdStart;
  }

  /** How {@link Cache#weight} is to be interpreted. */
  public enum WeightMeaning {
    /** The weight is 1 for every cache and carries no information. */
    OFF,
    /** The registered size, independent of the current load of the machine. */
    NOMINAL,
    /** The approximate size. */
    ROUGH,
    /** The size divided by one more than the number of requests per core, as of some time ago. */
    LIVE
  }

  /**
   * The capacity of a cache after its start, and the load that overloads it.
   *
   * @param initialCapacity share of the full capacity right after the start, 0 to 1
   * @param warmAfter time until the full capacity is reached. The capacity grows linearly
   * @param overloadMultiple multiple of the current capacity that overloads a cold cache
   * @param overloadWindow duration of that load after which the cache is overloaded
   */
  public record ColdStart(
      double initialCapacity,
      Duration warmAfter,
      double overloadMultiple,
      Duration overloadWindow) {}
}
