package tamarindroute.settings;

import java.util.Map;
import tamarindroute.decision.PolicySettings.WeightMeaning;
import tamarindroute.decision.RequestClass.DeduplicationScope;
import tamarindroute.decision.RequestClass.Idempotency;

/**
 * Keys of the settings that are read, and the keywords among their values with the terms they stand
 * for.
 */
final class SettingsKeys {

  static final String ZONE = "Zone";
  static final String ZONES = "Zones";
  static final String CACHE_KINDS = "Skus";
  static final String GATEWAY_COUNT = "ReplicasOfMe";
  static final String DISCOVERY = "Discovery";
  static final String WEIGHT_MEANING = "Weights";
  static final String REPORT_FIELDS = "Telemetry.Fields";

  static final String CLASSES = "Classes";
  static final String CLASS_COUNT = "Classes.count";
  static final String CLASS_NAME = "Name";
  static final String CLASS_IDEMPOTENCY = "Semantics";
  static final String CLASS_DEDUPLICATION_SCOPE = "Group";
  static final String CLASS_DEDUPLICATION_WINDOW_NANOS = "WindowNs";
  static final String CLASS_LATENCY_OBJECTIVE_NANOS = "GoalTimeNs";
  static final String CLASS_TRANSFER_TIME_FACTOR = "AimStretch";
  static final String CLASS_DEADLINE_NANOS = "DeadlineNs";

  static final String CLASS_NEVER_CACHED = "FamilyInfo.NeverKept";
  static final String CLASS_MAX_AGE_NANOS = "FamilyInfo.MaxAgeNs";
  static final String HUB_BY_ZONE = "FamilyInfo.HubOf";
  static final String GATEWAYS_BY_ZONE = "FamilyInfo.CountByZone";
  static final String INBOUND_LINK_KB_PER_SECOND_BY_ZONE = "FamilyInfo.InletKbPerS";
  static final String TRANSFER_RATE_KB_PER_SECOND = "FamilyInfo.PaceKbPerS";
  static final String PARENT_KIND = "FamilyInfo.MidKind";
  static final String ORIGIN_KIND = "FamilyInfo.StoreKind";
  static final String EDGE_BYPASS_ALLOWED = "FamilyInfo.BypassAllowed";
  static final String SIBLING_FILL = "FamilyInfo.Neighbours";
  static final String REPORTED_DETAILS = "FamilyInfo.Says";
  static final String PURGE_PROPAGATION_NANOS = "FamilyInfo.GoneEverywhereNs";
  static final String PARENT_INITIAL_CAPACITY = "FamilyInfo.ParentStartsAt";
  static final String PARENT_WARM_AFTER_NANOS = "FamilyInfo.UpperColdNs";
  static final String PARENT_OVERLOAD_MULTIPLE = "FamilyInfo.ParentFallMultiple";

  static final String EDGE_INITIAL_CAPACITY = "Obligations.ColdFrom";
  static final String EDGE_WARM_AFTER_NANOS = "Obligations.ColdNs";
  static final String EDGE_OVERLOAD_MULTIPLE = "Obligations.FallMultiple";
  static final String OVERLOAD_WINDOW_NANOS = "Obligations.FallNs";
  static final String SUBSCRIBE_WITHIN_NANOS = "Obligations.MustAskInNs";

  static final String MAX_ATTEMPTS = "Limits.TryLimit";
  static final String MAX_IN_FLIGHT = "Limits.OpenCap";
  static final String MAX_REQUESTS_PER_CONNECTION = "Limits.MaxStreams";
  static final String CONNECT_TIMEOUT_NANOS = "Limits.ConnectTimeoutNs";
  static final String KEEP_ALIVE_NANOS = "Limits.KeepaliveNs";
  static final String HEDGING_ALLOWED = "Limits.SecondCopies";
  static final String CANCEL_ALLOWED = "Limits.Cancel";
  static final String RETRY_AFTER_ALLOWED = "Limits.RetryAfter";
  static final String MAX_RETRY_AFTER_NANOS = "Limits.MaxRetryAfterNs";

  static final String TRUE = "true";
  static final String FALSE = "false";

  /** Counts for an idempotency that is absent or unknown. */
  static final String DEFAULT_IDEMPOTENCY = "side_effect";

  static final Map<String, Idempotency> IDEMPOTENCIES =
      Map.of(
          "pure",
          Idempotency.IDEMPOTENT,
          "token",
          Idempotency.KEYED,
          DEFAULT_IDEMPOTENCY,
          Idempotency.NON_IDEMPOTENT);

  /** Counts for a scope that is absent or unknown. */
  static final String DEFAULT_DEDUPLICATION_SCOPE = "cell";

  static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
      Map.of(
          "all",
          DeduplicationScope.ALL,
          "zone",
          DeduplicationScope.ZONE,
          DEFAULT_DEDUPLICATION_SCOPE,
          DeduplicationScope.CELL);

  static final String DEFAULT_WEIGHT_MEANING = "off";

  static final Map<String, WeightMeaning> WEIGHT_MEANINGS =
      Map.of(
          DEFAULT_WEIGHT_MEANING,
          WeightMeaning.OFF,
          "nominal",
          WeightMeaning.NOMINAL,
          "rough",
          WeightMeaning.ROUGH,
          "live",
          WeightMeaning.LIVE);

  static final String DEFAULT_SIBLING_FILL = "off";

  /** Whether fills from other edges are allowed, by keyword. */
  static final Map<String, Boolean> SIBLING_FILLS =
      Map.of(DEFAULT_SIBLING_FILL, false, "location", true, "any", true);

  static final String DEFAULT_REPORTED_DETAILS = "off";

  /** Whether caches report from where they filled, by keyword. */
  static final Map<String, Boolean> REPORTED_DETAIL_LEVELS =
      Map.of(DEFAULT_REPORTED_DETAILS, false, "hit", false, "all", true);

  static final String DEFAULT_DISCOVERY = "automatic";

  /** The list of caches comes only to those who ask for it. */
  static final String DISCOVERY_BY_SUBSCRIPTION = "subscribe";

  private SettingsKeys() {}

  /** Key of a field of the request class at this index. */
  static String ofClass(int index, String field) {
    return CLASSES + "." + index + "." + field;
  }
}
