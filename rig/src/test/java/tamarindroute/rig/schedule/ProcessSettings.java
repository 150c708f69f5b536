package tamarindroute.rig.schedule;

import java.util.List;
import java.util.OptionalInt;

/**
 * What goes into the configuration of the processes.
 *
 * @param seeds names of the members that others contact first
 * @param seedsTogether whether the seeds start at once, so that none is there before the others
 * @param voters names of the members with a vote
 * @param probe the members' probe interval, as in their settings
 * @param pause the longest pause that members tolerate, as in their settings
 * @param weight the weight of each cache in the list
 * @param gatewayCount among how many gateways a cold cache's work is said to be shared; empty for
 *     the true number
 * @param sharedAddresses whether all gateways get the same addresses of caches, as from one feed;
 *     what a cache receives is then not told apart by its sender
 */
public record ProcessSettings(
    List<String> seeds,
    boolean seedsTogether,
    List<String> voters,
    String probe,
    String pause,
    double weight,
    OptionalInt gatewayCount,
    boolean sharedAddresses) {

  /** What holds where a schedule says nothing. */
  static final ProcessSettings DEFAULTS =
      new ProcessSettings(
          List.of("1"), false, List.of(), "PT0.5S", "PT1S", 40, OptionalInt.empty(), false);

  ProcessSettings withSeeds(List<String> names, boolean together) {
    return new ProcessSettings(
        names, together, voters, probe, pause, weight, gatewayCount, sharedAddresses);
  }

  ProcessSettings withVoters(List<String> names) {
    return new ProcessSettings(
        seeds, seedsTogether, names, probe, pause, weight, gatewayCount, sharedAddresses);
  }

  ProcessSettings withTiming(String probeInterval, String longestPause) {
    return new ProcessSettings(
        seeds,
        seedsTogether,
        voters,
        probeInterval,
        longestPause,
        weight,
        gatewayCount,
        sharedAddresses);
  }

  ProcessSettings withWeight(double cacheWeight) {
    return new ProcessSettings(
        seeds, seedsTogether, voters, probe, pause, cacheWeight, gatewayCount, sharedAddresses);
  }

  ProcessSettings withGatewayCount(int count) {
    return new ProcessSettings(
        seeds, seedsTogether, voters, probe, pause, weight, OptionalInt.of(count), sharedAddresses);
  }

  ProcessSettings withSharedAddresses() {
    return new ProcessSettings(
        seeds, seedsTogether, voters, probe, pause, weight, gatewayCount, true);
  }
}
