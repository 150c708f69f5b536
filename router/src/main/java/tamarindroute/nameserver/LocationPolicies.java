package tamarindroute.nameserver;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.PlatformConfiguration;

/** Creates the routing policies of the locations. */
final class LocationPolicies {

  private LocationPolicies() {}

  /** Returns a policy for each zone of the platform's settings, by its index. */
  static Map<Integer, RoutingPolicy> create(
      PlatformConfiguration platform,
      int instances,
      Function<PolicySettings, RoutingPolicy> policyFactory)
      throws IOException {
    List<String> zones = platform.settings().zones();
    PolicySettings common = platform.settings().settings(platform.seed());
    Map<Integer, RoutingPolicy> policies = new HashMap<>();
    for (int zone = 0; zone < Math.max(1, zones.size()); zone++) {
      policies.put(zone, policyFactory.apply(forZone(common, zone, instances)));
    }
    return policies;
  }

  /** Returns the settings of one zone; all instances share what a cold cache can take. */
  private static PolicySettings forZone(PolicySettings common, int zone, int instances) {
    // Without hits to learn weights from, they count as given; where they are off, each is 1.
    PolicySettings.WeightMeaning weightMeaning =
        common.weightMeaning() == PolicySettings.WeightMeaning.OFF
            ? PolicySettings.WeightMeaning.ROUGH
            : common.weightMeaning();
    return new PolicySettings(
        common.seed(),
        zone,
        instances,
        instances,
        common.hubByZone(),
        common.transferRateKbPerSecond(),
        common.inboundLinkKbPerSecond(),
        common.edgeBypassAllowed(),
        common.siblingFillAllowed(),
        common.reportsFillSource(),
        common.hedgingAllowed(),
        common.cancelAllowed(),
        common.maxRetryAfter(),
        common.maxAttempts(),
        common.edgeColdStart(),
        common.parentColdStart(),
        common.purgePropagationTime(),
        weightMeaning);
  }
}
