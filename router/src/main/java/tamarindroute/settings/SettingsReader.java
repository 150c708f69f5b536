package tamarindroute.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;

/**
 * Decodes what an instance is born with, for every host alike; keys that nobody reads are skipped.
 * A host hands over names with their values, as the simulator's lines spell them.
 */
public final class SettingsReader {

  /**
   * A time that a connection may take to come up, where none is told: no platform so far gave
   * another.
   */
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * For how long a cold cache bears what is too much, where that is not told: the least of the
   * platform's.
   */
  private static final Duration DEFAULT_OVERLOAD_WINDOW = Duration.ofSeconds(1);

  /**
   * How long caches may hold on to what was purged, where that is not told: ten times what is
   * usual.
   */
  private static final Duration DEFAULT_PURGE_HORIZON = Duration.ofSeconds(60);

  private final NavigableMap<String, String> values;

  public SettingsReader(Map<String, String> values) {
    this.values = new TreeMap<>(values);
  }

  /**
   * Refuses what no gateway could work by, with the key's name and value; tells what is odd and
   * counts as the careful side. A host that is told by lines of the simulator's has no need of it.
   */
  public List<String> validate() throws MalformedSettingsException {
    return new SettingsValidator(values).validate();
  }

  /** From lines of the form name=value. */
  public static SettingsReader ofLines(String text) throws MalformedSettingsException {
    Map<String, String> values = new TreeMap<>();
    for (String line : text.split("\n")) {
      int separator = line.indexOf('=');
      if (separator < 0 && !line.isBlank()) {
        throw new MalformedSettingsException("a settings line without '=': " + line);
      }
      if (separator > 0) {
        values.put(line.substring(0, separator).strip(), line.substring(separator + 1).strip());
      }
    }
    return new SettingsReader(values);
  }

  /** Whether the other one was told the same. */
  @Override
  public boolean equals(Object other) {
    return other instanceof SettingsReader reader && values.equals(reader.values);
  }

  @Override
  public int hashCode() {
    return values.hashCode();
  }

  /** A name or value as the lines spell it, where spaces and commas have another use. */
  public static String normalizeName(String text) {
    return text.replace(' ', '_').replace(',', '_');
  }

  /** A value as a message tells it: on one line, and no longer than can be read. */
  public static String abbreviate(String value) {
    return SettingsValidator.abbreviate(value);
  }

  private String text(String key, String defaultValue) {
    String value = values.get(key);
    return value == null || value.isEmpty() ? defaultValue : value;
  }

  private double number(String key, double defaultValue) throws MalformedSettingsException {
    String value = text(key, null);
    return value == null ? defaultValue : number(key, value);
  }

  /**
   * Java's own forms (hexadecimal, 3d, NaN, blanks) are not the platform's, nor is what no double
   * can hold.
   */
  static double number(String key, String value) throws MalformedSettingsException {
    try {
      double number =
          value.chars().allMatch(c -> "0123456789.eE+-".indexOf(c) >= 0)
              ? Double.parseDouble(value)
              : Double.NaN;
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below, as for what is no sensible number.
    }
    throw new MalformedSettingsException(
        "the setting " + key + " is no number: " + SettingsValidator.abbreviate(value));
  }

  private Duration duration(String key) throws MalformedSettingsException {
    return duration(key, Duration.ZERO);
  }

  private Duration duration(String key, Duration defaultValue) throws MalformedSettingsException {
    return text(key, null) == null ? defaultValue : Duration.ofNanos((long) number(key, 0));
  }

  private boolean flag(String key) {
    return text(key, "false").equals("true");
  }

  private List<String> list(String key) {
    String value = text(key, null);
    return value == null ? List.of() : Arrays.asList(value.split(","));
  }

  private String item(String key, int index, String defaultValue) {
    List<String> items = list(key);
    return index >= 0 && index < items.size() ? items.get(index) : defaultValue;
  }

  private double itemNumber(String key, int index) throws MalformedSettingsException {
    return number(key, item(key, index, "0"));
  }

  private int classCount() throws MalformedSettingsException {
    return (int) Math.min(SettingsValidator.MAX_CLASSES, number("Classes.count", 0));
  }

  public List<RequestClass> requestClasses() throws MalformedSettingsException {
    List<RequestClass> requestClasses = new ArrayList<>();
    int count = classCount();
    for (int i = 0; i < count; i++) {
      String prefix = "Classes." + i + ".";
      // Where it is not told what is never kept, a class is not whose repeat would do something.
      String neverCachedDefault =
          String.valueOf(!text(prefix + "Semantics", "side_effect").equals("pure"));
      requestClasses.add(
          new RequestClass(
              switch (text(prefix + "Semantics", "side_effect")) {
                case "pure" -> RequestClass.Idempotency.IDEMPOTENT;
                case "token" -> RequestClass.Idempotency.KEYED;
                default -> RequestClass.Idempotency.NON_IDEMPOTENT;
              },
              switch (text(prefix + "Group", "cell")) {
                case "all" -> RequestClass.DeduplicationScope.ALL;
                case "zone" -> RequestClass.DeduplicationScope.ZONE;
                default -> RequestClass.DeduplicationScope.CELL;
              },
              duration(prefix + "WindowNs"),
              duration(prefix + "GoalTimeNs"),
              number(prefix + "AimStretch", 0),
              !item("FamilyInfo.NeverKept", i, neverCachedDefault).equals("true"),
              Duration.ofNanos((long) itemNumber("FamilyInfo.MaxAgeNs", i))));
    }
    return requestClasses;
  }

  /**
   * The profiles by their names as the lines spell them. Two of one name can't be told apart in a
   * request: each counts as what is most careful in either, lest an effect happen twice.
   */
  public Map<String, RequestClass> requestClassesByName() throws MalformedSettingsException {
    Map<String, RequestClass> byName = new LinkedHashMap<>();
    List<RequestClass> requestClasses = requestClasses();
    List<String> names = requestClassNames();
    for (int i = 0; i < names.size(); i++) {
      byName.merge(names.get(i), requestClasses.get(i), SettingsReader::strictestOf);
    }
    return byName;
  }

  private static RequestClass strictestOf(RequestClass one, RequestClass other) {
    return new RequestClass(
        one.idempotency().compareTo(other.idempotency()) > 0
            ? one.idempotency()
            : other.idempotency(),
        one.deduplicationScope().compareTo(other.deduplicationScope()) > 0
            ? one.deduplicationScope()
            : other.deduplicationScope(),
        shorterOf(one.deduplicationWindow(), other.deduplicationWindow()),
        shorterOf(one.latencyObjective(), other.latencyObjective()),
        Math.min(one.transferTimeFactor(), other.transferTimeFactor()),
        one.cacheable() && other.cacheable(),
        one.maxAge().isZero()
            ? other.maxAge()
            : other.maxAge().isZero() ? one.maxAge() : shorterOf(one.maxAge(), other.maxAge()));
  }

  private static Duration shorterOf(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  public PolicySettings settings(long seed) throws MalformedSettingsException {
    int zone = (int) number("Zone", 0);
    List<Integer> hubOf = new ArrayList<>();
    for (int i = 0; i < list("FamilyInfo.HubOf").size(); i++) {
      hubOf.add((int) itemNumber("FamilyInfo.HubOf", i));
    }
    int gateways = Math.max(1, (int) number("ReplicasOfMe", 1));
    int gatewaysInZone = (int) itemNumber("FamilyInfo.CountByZone", zone);
    return new PolicySettings(
        seed,
        zone,
        gateways,
        gatewaysInZone > 0 ? gatewaysInZone : gateways,
        hubOf,
        number("FamilyInfo.PaceKbPerS", 0),
        itemNumber("FamilyInfo.InletKbPerS", zone),
        flag("FamilyInfo.BypassAllowed"),
        // A word that is unknown allows nothing: a source that is not allowed is a fault.
        List.of("location", "any").contains(text("FamilyInfo.Neighbours", "off")),
        text("FamilyInfo.Says", "off").equals("all"),
        flag("Limits.SecondCopies"),
        flag("Limits.Cancel"),
        flag("Limits.RetryAfter") ? duration("Limits.MaxRetryAfterNs", null) : null,
        Math.max(1, (int) number("Limits.TryLimit", 1)),
        new PolicySettings.ColdStart(
            number("Obligations.ColdFrom", 1),
            duration("Obligations.ColdNs"),
            number("Obligations.FallMultiple", 1),
            duration("Obligations.FallNs", DEFAULT_OVERLOAD_WINDOW)),
        new PolicySettings.ColdStart(
            number("FamilyInfo.ParentStartsAt", 1),
            duration("FamilyInfo.UpperColdNs"),
            number("FamilyInfo.ParentFallMultiple", 1),
            duration("Obligations.FallNs", DEFAULT_OVERLOAD_WINDOW)),
        duration("FamilyInfo.GoneEverywhereNs", DEFAULT_PURGE_HORIZON),
        weights());
  }

  /** A word that is absent or unknown tells nothing of a cache's size. */
  private PolicySettings.WeightMeaning weights() {
    return switch (text("Weights", "off")) {
      case "nominal" -> PolicySettings.WeightMeaning.NOMINAL;
      case "rough" -> PolicySettings.WeightMeaning.ROUGH;
      case "live" -> PolicySettings.WeightMeaning.LIVE;
      default -> PolicySettings.WeightMeaning.OFF;
    };
  }

  /** The kind of machine that the parents are of; -1 where there are none. */
  public int parentKind() throws MalformedSettingsException {
    return (int) number("FamilyInfo.MidKind", -1);
  }

  /** The kind of machine that the origin is of; -1 where there is none. */
  public int originKind() throws MalformedSettingsException {
    return (int) number("FamilyInfo.StoreKind", -1);
  }

  public List<String> reportFields() {
    return list("Telemetry.Fields");
  }

  public boolean mustSubscribe() {
    return text("Discovery", "automatic").equals("subscribe");
  }

  public Duration subscribeWithin() throws MalformedSettingsException {
    return duration("Obligations.MustAskInNs");
  }

  /** The profiles' names, in their order. */
  public List<String> requestClassNames() throws MalformedSettingsException {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < classCount(); i++) {
      names.add(text("Classes." + i + ".Name", ""));
    }
    return names;
  }

  public List<String> zones() {
    return list("Zones");
  }

  /** The kinds of machine, in their order. */
  public List<String> kinds() {
    return list("Skus");
  }

  /** The views that a gateway may have in hand. */
  public int maxInFlight() throws MalformedSettingsException {
    return (int) number("Limits.OpenCap", Integer.MAX_VALUE);
  }

  public Duration connectTimeout() throws MalformedSettingsException {
    return duration("Limits.ConnectTimeoutNs", DEFAULT_CONNECT_TIMEOUT);
  }

  public Duration keepAlive() throws MalformedSettingsException {
    return duration("Limits.KeepaliveNs");
  }

  /** The requests that one connection to a cache carries. */
  public int maxRequestsPerConnection() throws MalformedSettingsException {
    return (int) number("Limits.MaxStreams", Integer.MAX_VALUE);
  }

  /** The longest that a client waits, over all profiles. */
  public Duration longestDeadline() throws MalformedSettingsException {
    Duration longest = Duration.ZERO;
    for (int i = 0; i < classCount(); i++) {
      Duration one = duration("Classes." + i + ".DeadlineNs");
      longest = one.compareTo(longest) > 0 ? one : longest;
    }
    return longest;
  }
}
