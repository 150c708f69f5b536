package tamarindroute.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.decision.PolicySettings;

/** Decodes what a routing policy reads of the settings. */
final class PolicySettingsReader {

  /**
   * How long a cold cache bears an overload, where the settings don't say: the platform's shortest.
   */
  private static final Duration DEFAULT_OVERLOAD_WINDOW = Duration.ofSeconds(1);

  /**
   * How long caches may hold on to what was purged, where the settings don't say: ten times the
   * usual.
   */
  private static final Duration DEFAULT_PURGE_PROPAGATION = Duration.ofSeconds(60);

  private final SettingsValues values;

  PolicySettingsReader(SettingsValues values) {
    this.values = values;
  }

  /**
   * Decodes the settings.
   *
   * @param seed passed on as it is
   */
  PolicySettings read(long seed) throws MalformedSettingsException {
    int zone = values.integer(SettingsKeys.ZONE, 0);
    int gatewayCount = Math.max(1, values.integer(SettingsKeys.GATEWAY_COUNT, 1));
    int zoneGatewayCount = (int) values.itemNumber(SettingsKeys.GATEWAYS_BY_ZONE, zone);
    return new PolicySettings(
        seed,
        zone,
        gatewayCount,
        zoneGatewayCount > 0 ? zoneGatewayCount : gatewayCount,
        hubByZone(),
        values.number(SettingsKeys.TRANSFER_RATE_KB_PER_SECOND, 0),
        values.itemNumber(SettingsKeys.INBOUND_LINK_KB_PER_SECOND_BY_ZONE, zone),
        values.flag(SettingsKeys.EDGE_BYPASS_ALLOWED),
        siblingFillAllowed(),
        reportsFillSource(),
        values.flag(SettingsKeys.HEDGING_ALLOWED),
        values.flag(SettingsKeys.CANCEL_ALLOWED),
        maxRetryAfter(),
        Math.max(1, values.integer(SettingsKeys.MAX_ATTEMPTS, 1)),
        edgeColdStart(),
        parentColdStart(),
        values.duration(SettingsKeys.PURGE_PROPAGATION_NANOS, DEFAULT_PURGE_PROPAGATION),
        weightMeaning());
  }

  private List<Integer> hubByZone() throws MalformedSettingsException {
    List<Integer> hubByZone = new ArrayList<>();
    for (String hub : values.list(SettingsKeys.HUB_BY_ZONE)) {
      hubByZone.add((int) SettingsValues.parseNumber(SettingsKeys.HUB_BY_ZONE, hub));
    }
    return hubByZone;
  }

  private boolean siblingFillAllowed() {
    return values.keyword(
        SettingsKeys.SIBLING_FILL, SettingsKeys.DEFAULT_SIBLING_FILL, SettingsKeys.SIBLING_FILLS);
  }

  private boolean reportsFillSource() {
    return values.keyword(
        SettingsKeys.REPORTED_DETAILS,
        SettingsKeys.DEFAULT_REPORTED_DETAILS,
        SettingsKeys.REPORTED_DETAIL_LEVELS);
  }

  /** Null where no advice is allowed or its bound is absent. */
  private Duration maxRetryAfter() throws MalformedSettingsException {
    if (!values.flag(SettingsKeys.RETRY_AFTER_ALLOWED)) {
      return null;
    }
    return values.duration(SettingsKeys.MAX_RETRY_AFTER_NANOS, null);
  }

  private PolicySettings.ColdStart edgeColdStart() throws MalformedSettingsException {
    return coldStart(
        SettingsKeys.EDGE_INITIAL_CAPACITY,
        SettingsKeys.EDGE_WARM_AFTER_NANOS,
        SettingsKeys.EDGE_OVERLOAD_MULTIPLE);
  }

  private PolicySettings.ColdStart parentColdStart() throws MalformedSettingsException {
    return coldStart(
        SettingsKeys.PARENT_INITIAL_CAPACITY,
        SettingsKeys.PARENT_WARM_AFTER_NANOS,
        SettingsKeys.PARENT_OVERLOAD_MULTIPLE);
  }

  private PolicySettings.ColdStart coldStart(
      String initialCapacityKey, String warmAfterKey, String overloadMultipleKey)
      throws MalformedSettingsException {
    return new PolicySettings.ColdStart(
        values.number(initialCapacityKey, 1),
        values.duration(warmAfterKey, Duration.ZERO),
        values.number(overloadMultipleKey, 1),
        values.duration(SettingsKeys.OVERLOAD_WINDOW_NANOS, DEFAULT_OVERLOAD_WINDOW));
  }

  private PolicySettings.WeightMeaning weightMeaning() {
    return values.keyword(
        SettingsKeys.WEIGHT_MEANING,
        SettingsKeys.DEFAULT_WEIGHT_MEANING,
        SettingsKeys.WEIGHT_MEANINGS);
  }
}
