package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/** What a gateway is told at its start, as far as the decisions read it. */
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
   * Transfers at full pace that the location's link for fills carries at once; 0 where that is not
   * told.
   */
  public double inboundLinkCapacity() {
    return transferRateKbPerSecond > 0 && inboundLinkKbPerSecond > 0
        ? inboundLinkKbPerSecond / transferRateKbPerSecond
        : 0;
  }

  /** How many ways between hubs lie from this zone to a hub's; hubs stand in a ring. */
  public int hubDistance(int hub) {
    int ownHub = zone < hubByZone.size() ? hubByZone.get(zone) : hub;
    int hubCount = hubByZone.stream().max(Integer::compare).orElse(0) + 1;
    int steps = Math.abs(ownHub - hub) % hubCount;
    return Math.min(steps, hubCount - steps);
  }

  /** What a cache's weight tells. */
  public enum WeightMeaning {
    /** Nothing: it is 1 for every cache. */
    OFF,
    /** The registered size, whatever the machine bears just now. */
    NOMINAL,
    /** About the size. */
    ROUGH,
    /** The size, divided by one more than the requests that each core had some time ago. */
    LIVE
  }

  /**
   * What a cache can do at its start, when it is warm, and how many times that for how long pushes
   * it over.
   */
  public record ColdStart(
      double initialCapacity,
      Duration warmAfter,
      double overloadMultiple,
      Duration overloadWindow) {}
}
