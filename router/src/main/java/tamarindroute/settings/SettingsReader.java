package tamarindroute.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Settings;

/**
 * Decodes what an instance is born with, for every host alike; keys that nobody reads are skipped.
 * A host hands over names with their values, as the simulator's lines spell them.
 */
public final class SettingsReader {

  /**
   * A time that a connection may take to come up, where none is told: no platform so far gave
   * another.
   */
  private static final Duration CONNECT_WITHIN = Duration.ofMillis(400);

  /**
   * For how long a cold cache bears what is too much, where that is not told: the least of the
   * platform's.
   */
  private static final Duration FALLS_AFTER = Duration.ofSeconds(1);

  /**
   * How long caches may hold on to what was purged, where that is not told: ten times what is
   * usual.
   */
  private static final Duration PURGE_DONE = Duration.ofSeconds(60);

  private final NavigableMap<String, String> values;

  public SettingsReader(Map<String, String> values) {
    this.values = new TreeMap<>(values);
  }

  /**
   * Refuses what no gateway could work by, with the key's name and value; tells what is odd and
   * counts as the careful side. A host that is told by lines of the simulator's has no need of it.
   */
  public List<String> check() throws MalformedSettingsException {
    return new SettingsCheck(values).check();
  }

  /** From lines of the form name=value. */
  public static SettingsReader ofLines(String text) throws MalformedSettingsException {
    Map<String, String> values = new TreeMap<>();
    for (String line : text.split("\n")) {
      int equals = line.indexOf('=');
      if (equals < 0 && !line.isBlank()) {
        throw new MalformedSettingsException("a settings line without '=': " + line);
      }
      if (equals > 0) {
        values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
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
  public static String plain(String text) {
    return text.replace(' ', '_').replace(',', '_');
  }

  /** A value as a message tells it: on one line, and no longer than can be read. */
  public static String told(String value) {
    return SettingsCheck.told(value);
  }

  private String text(String key, String absent) {
    String value = values.get(key);
    return value == null || value.isEmpty() ? absent : value;
  }

  private double number(String key, double absent) throws MalformedSettingsException {
    String value = text(key, null);
    return value == null ? absent : number(key, value);
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
        "the setting " + key + " is no number: " + SettingsCheck.told(value));
  }

  private Duration span(String key) throws MalformedSettingsException {
    return span(key, Duration.ZERO);
  }

  private Duration span(String key, Duration absent) throws MalformedSettingsException {
    return text(key, null) == null ? absent : Duration.ofNanos((long) number(key, 0));
  }

  private boolean truth(String key) {
    return text(key, "false").equals("true");
  }

  private List<String> list(String key) {
    String value = text(key, null);
    return value == null ? List.of() : Arrays.asList(value.split(","));
  }

  private String item(String key, int place, String absent) {
    List<String> items = list(key);
    return place >= 0 && place < items.size() ? items.get(place) : absent;
  }

  private double itemNumber(String key, int place) throws MalformedSettingsException {
    return number(key, item(key, place, "0"));
  }

  private int classes() throws MalformedSettingsException {
    return (int) Math.min(SettingsCheck.MOST_CLASSES, number("Classes.count", 0));
  }

  public List<Profile> profiles() throws MalformedSettingsException {
    List<Profile> profiles = new ArrayList<>();
    int count = classes();
    for (int i = 0; i < count; i++) {
      String at = "Classes." + i + ".";
      // Where it is not told what is never kept, a class is not whose repeat would do something.
      String neverKept = String.valueOf(!text(at + "Semantics", "side_effect").equals("pure"));
      profiles.add(
          new Profile(
              switch (text(at + "Semantics", "side_effect")) {
                case "pure" -> Profile.Repeat.REISSUABLE;
                case "token" -> Profile.Repeat.NUMBERED;
                default -> Profile.Repeat.AT_MOST_ONCE;
              },
              switch (text(at + "Group", "cell")) {
                case "all" -> Profile.Group.ALL;
                case "zone" -> Profile.Group.ZONE;
                default -> Profile.Group.CELL;
              },
              span(at + "WindowNs"),
              span(at + "GoalTimeNs"),
              number(at + "AimStretch", 0),
              !item("FamilyInfo.NeverKept", i, neverKept).equals("true"),
              Duration.ofNanos((long) itemNumber("FamilyInfo.MaxAgeNs", i))));
    }
    return profiles;
  }

  /**
   * The profiles by their names as the lines spell them. Two of one name can't be told apart in a
   * request: each counts as what is most careful in either, lest an effect happen twice.
   */
  public Map<String, Profile> profilesByName() throws MalformedSettingsException {
    Map<String, Profile> byName = new LinkedHashMap<>();
    List<Profile> profiles = profiles();
    List<String> names = profileNames();
    for (int i = 0; i < names.size(); i++) {
      byName.merge(names.get(i), profiles.get(i), SettingsReader::careful);
    }
    return byName;
  }

  private static Profile careful(Profile one, Profile other) {
    return new Profile(
        one.repeat().compareTo(other.repeat()) > 0 ? one.repeat() : other.repeat(),
        one.group().compareTo(other.group()) > 0 ? one.group() : other.group(),
        shorter(one.window(), other.window()),
        shorter(one.agreedTime(), other.agreedTime()),
        Math.min(one.stretch(), other.stretch()),
        one.kept() && other.kept(),
        one.fresh().isZero()
            ? other.fresh()
            : other.fresh().isZero() ? one.fresh() : shorter(one.fresh(), other.fresh()));
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  public Settings settings(long seed) throws MalformedSettingsException {
    int zone = (int) number("Zone", 0);
    List<Integer> hubOf = new ArrayList<>();
    for (int i = 0; i < list("FamilyInfo.HubOf").size(); i++) {
      hubOf.add((int) itemNumber("FamilyInfo.HubOf", i));
    }
    int gateways = Math.max(1, (int) number("ReplicasOfMe", 1));
    int inZone = (int) itemNumber("FamilyInfo.CountByZone", zone);
    return new Settings(
        seed,
        zone,
        gateways,
        inZone > 0 ? inZone : gateways,
        hubOf,
        number("FamilyInfo.PaceKbPerS", 0),
        itemNumber("FamilyInfo.InletKbPerS", zone),
        truth("FamilyInfo.BypassAllowed"),
        // A word that is unknown allows nothing: a source that is not allowed is a fault.
        List.of("location", "any").contains(text("FamilyInfo.Neighbours", "off")),
        text("FamilyInfo.Says", "off").equals("all"),
        truth("Limits.SecondCopies"),
        truth("Limits.Cancel"),
        truth("Limits.RetryAfter") ? span("Limits.MaxRetryAfterNs", null) : null,
        Math.max(1, (int) number("Limits.TryLimit", 1)),
        new Settings.ColdStart(
            number("Obligations.ColdFrom", 1),
            span("Obligations.ColdNs"),
            number("Obligations.FallMultiple", 1),
            span("Obligations.FallNs", FALLS_AFTER)),
        new Settings.ColdStart(
            number("FamilyInfo.ParentStartsAt", 1),
            span("FamilyInfo.UpperColdNs"),
            number("FamilyInfo.ParentFallMultiple", 1),
            span("Obligations.FallNs", FALLS_AFTER)),
        span("FamilyInfo.GoneEverywhereNs", PURGE_DONE),
        weights());
  }

  /** A word that is absent or unknown tells nothing of a cache's size. */
  private Settings.Weights weights() {
    return switch (text("Weights", "off")) {
      case "nominal" -> Settings.Weights.NOMINAL;
      case "rough" -> Settings.Weights.ROUGH;
      case "live" -> Settings.Weights.LIVE;
      default -> Settings.Weights.OFF;
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

  public boolean mustAskForList() {
    return text("Discovery", "automatic").equals("subscribe");
  }

  public Duration mustAskWithin() throws MalformedSettingsException {
    return span("Obligations.MustAskInNs");
  }

  /** The profiles' names, in their order. */
  public List<String> profileNames() throws MalformedSettingsException {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < classes(); i++) {
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
  public int mostInHand() throws MalformedSettingsException {
    return (int) number("Limits.OpenCap", Integer.MAX_VALUE);
  }

  public Duration connectWithin() throws MalformedSettingsException {
    return span("Limits.ConnectTimeoutNs", CONNECT_WITHIN);
  }

  public Duration keepIdle() throws MalformedSettingsException {
    return span("Limits.KeepaliveNs");
  }

  /** The requests that one connection to a cache carries. */
  public int mostOnConnection() throws MalformedSettingsException {
    return (int) number("Limits.MaxStreams", Integer.MAX_VALUE);
  }

  /** The longest that a client waits, over all profiles. */
  public Duration longestCutOff() throws MalformedSettingsException {
    Duration longest = Duration.ZERO;
    for (int i = 0; i < classes(); i++) {
      Duration one = span("Classes." + i + ".DeadlineNs");
      longest = one.compareTo(longest) > 0 ? one : longest;
    }
    return longest;
  }
}
