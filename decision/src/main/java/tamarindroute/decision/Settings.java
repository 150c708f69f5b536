package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/** What a gateway is told at its start, as far as the decisions read it. */
public record Settings(
    long seed,
    int zone,
    int gateways,
    int gatewaysInZone,
    List<Integer> hubOf,
    double pace,
    double linkIn,
    boolean direct,
    boolean siblings,
    boolean tellsSources,
    boolean secondCopies,
    boolean recalls,
    Duration longestComeBack,
    int mostTrips,
    ColdStart edgeStart,
    ColdStart parentStart,
    Duration purgeDone,
    Weights weights) {

  /**
   * Transfers at full pace that the location's link for fills carries at once; 0 where that is not
   * told.
   */
  public double linkTransfers() {
    return pace > 0 && linkIn > 0 ? linkIn / pace : 0;
  }

  /** How many ways between hubs lie from this zone to a hub's; hubs stand in a ring. */
  public int hubsAway(int hub) {
    int own = zone < hubOf.size() ? hubOf.get(zone) : hub;
    int ring = hubOf.stream().max(Integer::compare).orElse(0) + 1;
    int steps = Math.abs(own - hub) % ring;
    return Math.min(steps, ring - steps);
  }

  /** What a cache's weight tells. */
  public enum Weights {
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
  public record ColdStart(double from, Duration warmAfter, double multiple, Duration window) {}
}
