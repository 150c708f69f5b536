package tamarindroute.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;

/**
 * Owns what the values of a gateway's settings may be: it refuses the first that no gateway could
 * work by, by name and value, and notes words that it does not know. It must never choose a value
 * in another's place: what is absent or unknown counts as SettingsReader says, which is the careful
 * side.
 */
final class SettingsValidator {

  /** Ten years: past any time that is told, and far from where a long of nanoseconds ends. */
  private static final double MAX_DURATION_NANOS = 10 * 365 * 86_400e9;

  /** Classes are numbered by two bytes on the wire. */
  static final int MAX_CLASSES = 65_536;

  /** No rate, size or multiple that is told comes near it. */
  private static final double MAX_NUMBER = 1e12;

  /** A value as it is told in a message. */
  private static final int MAX_QUOTED_LENGTH = 60;

  private final NavigableMap<String, String> values;
  private final List<String> warnings = new ArrayList<>();

  SettingsValidator(NavigableMap<String, String> values) {
    this.values = values;
  }

  /** What is odd and is taken for the careful side, a line each. */
  List<String> validate() throws MalformedSettingsException {
    int zoneCount = distinctNames("Zones");
    int kindCount = distinctNames("Skus");
    index("Zone", 0, "Zones", zoneCount, true);
    integer("ReplicasOfMe", 1, 1_000_000, true);
    int classCount = validateClasses();
    flagList("FamilyInfo.NeverKept", classCount);
    numberList("FamilyInfo.MaxAgeNs", classCount, MAX_DURATION_NANOS, false);
    numberList("FamilyInfo.HubOf", 0, zoneCount - 1, true);
    numberList("FamilyInfo.CountByZone", 0, 1_000_000, true);
    numberList("FamilyInfo.InletKbPerS", 0, MAX_NUMBER, false);
    index("FamilyInfo.MidKind", -1, "Skus", kindCount, false);
    index("FamilyInfo.StoreKind", -1, "Skus", kindCount, false);
    number("FamilyInfo.PaceKbPerS", 0, MAX_NUMBER, false);
    for (String key :
        new String[] {
          "FamilyInfo.GoneEverywhereNs",
          "FamilyInfo.UpperColdNs",
          "Obligations.ColdNs",
          "Obligations.MustAskInNs",
          "Limits.KeepaliveNs",
          "Limits.MaxRetryAfterNs"
        }) {
      number(key, 0, MAX_DURATION_NANOS, false);
    }
    for (String key : new String[] {"Obligations.FallNs", "Limits.ConnectTimeoutNs"}) {
      number(key, 1, MAX_DURATION_NANOS, false);
    }
    for (String key : new String[] {"Obligations.ColdFrom", "FamilyInfo.ParentStartsAt"}) {
      number(key, 0, 1, false);
    }
    for (String key : new String[] {"Obligations.FallMultiple", "FamilyInfo.ParentFallMultiple"}) {
      number(key, Double.MIN_VALUE, MAX_NUMBER, false);
    }
    for (String key : new String[] {"Limits.TryLimit", "Limits.OpenCap", "Limits.MaxStreams"}) {
      integer(key, 1, Integer.MAX_VALUE, false);
    }
    for (String key :
        new String[] {
          "FamilyInfo.BypassAllowed", "Limits.SecondCopies", "Limits.Cancel", "Limits.RetryAfter"
        }) {
      flagList(key, 1);
    }
    keyword("FamilyInfo.Neighbours", "off", "off", "location", "any");
    keyword("Weights", "off", "off", "nominal", "rough", "live");
    keyword("FamilyInfo.Says", "off", "off", "hit", "all");
    return warnings;
  }

  private int validateClasses() throws MalformedSettingsException {
    if (!values.containsKey("Classes.count")) {
      throw new MalformedSettingsException("no Classes");
    }
    int count = (int) number("Classes.count", 1, MAX_CLASSES, true);
    Set<String> names = new HashSet<>();
    for (int i = 0; i < count; i++) {
      String prefix = "Classes." + i + ".";
      required(prefix + "Name");
      if (!names.add(values.get(prefix + "Name"))) {
        warnings.add(
            prefix
                + "Name is "
                + abbreviate(values.get(prefix + "Name"))
                + ", as another's: both count as what is most careful in either");
      }
      number(prefix + "DeadlineNs", 1, MAX_DURATION_NANOS, true);
      number(prefix + "GoalTimeNs", 1, MAX_DURATION_NANOS, true);
      number(prefix + "WindowNs", 0, MAX_DURATION_NANOS, false);
      number(prefix + "AimStretch", 0, MAX_NUMBER, false);
      keyword(prefix + "Semantics", "side_effect", "pure", "token", "side_effect");
      keyword(prefix + "Group", "cell", "all", "zone", "cell");
    }
    return count;
  }

  /**
   * A list of names, none of them empty or told twice: which of the two is meant could not be
   * known.
   */
  private int distinctNames(String key) throws MalformedSettingsException {
    required(key);
    String[] names = values.get(key).split(",", -1);
    Set<String> distinct = new HashSet<>();
    for (String name : names) {
      if (name.isEmpty() || !distinct.add(name)) {
        throw invalid(
            key, name.isEmpty() ? "holds an empty name" : "holds " + abbreviate(name) + " twice");
      }
    }
    return names.length;
  }

  private String required(String key) throws MalformedSettingsException {
    String value = value(key);
    if (value == null) {
      throw new MalformedSettingsException("no " + key);
    }
    return value;
  }

  /** The value; null where it is absent. A list or an object in its place is neither. */
  private String value(String key) throws MalformedSettingsException {
    String value = values.get(key);
    String nextKey = values.higherKey(key + ".");
    if (nextKey != null && nextKey.startsWith(key + ".")) {
      throw invalid(key, "holds more than one value");
    }
    return value == null || value.isEmpty() ? null : value;
  }

  private double number(String key, double min, double max, boolean isRequired)
      throws MalformedSettingsException {
    String value = isRequired ? required(key) : value(key);
    return value == null ? min : number(key, value, min, max);
  }

  private static double number(String key, String value, double min, double max)
      throws MalformedSettingsException {
    double number = SettingsReader.number(key, value);
    if (number < min || number > max) {
      throw invalid(
          key, "is " + abbreviate(value) + (number < min ? ", too little" : ", too much"));
    }
    return number;
  }

  private void integer(String key, int min, int max, boolean isRequired)
      throws MalformedSettingsException {
    double number = number(key, min, max, isRequired);
    if (number != Math.rint(number)) {
      throw invalid(key, "is " + abbreviate(values.get(key)) + ", no whole number");
    }
  }

  private void index(String key, int min, String list, int size, boolean isRequired)
      throws MalformedSettingsException {
    integer(key, min, Integer.MAX_VALUE, isRequired);
    if (value(key) != null && Double.parseDouble(values.get(key)) >= size) {
      throw invalid(key, "is " + abbreviate(values.get(key)) + ", and " + list + " holds " + size);
    }
  }

  /**
   * A list with a number for each, if it is there at all; the first figure is how many there have
   * to be, or 0.
   */
  private void numberList(String key, int count, double max, boolean integersOnly)
      throws MalformedSettingsException {
    String[] items = items(key, count);
    for (String item : items) {
      double number = number(key, item, 0, max);
      if (integersOnly && number != Math.rint(number)) {
        throw invalid(key, "holds " + abbreviate(item) + ", no whole number");
      }
    }
  }

  private void flagList(String key, int count) throws MalformedSettingsException {
    for (String item : items(key, count)) {
      if (!item.equals("true") && !item.equals("false")) {
        throw invalid(key, "holds " + abbreviate(item) + ", not true or false");
      }
    }
  }

  private String[] items(String key, int count) throws MalformedSettingsException {
    String value = value(key);
    String[] items = value == null ? new String[0] : value.split(",", -1);
    if (value != null && items.length < count) {
      throw invalid(key, "holds " + items.length + " of " + count);
    }
    return items;
  }

  /** A word of a few; another is noted, for later platforms may have more of them. */
  private void keyword(String key, String fallback, String... known)
      throws MalformedSettingsException {
    String value = value(key);
    if (value != null && !Arrays.asList(known).contains(value)) {
      warnings.add(key + " is " + abbreviate(value) + ", which is unknown: counts as " + fallback);
    }
  }

  private static MalformedSettingsException invalid(String key, String reason) {
    return new MalformedSettingsException(key + " " + reason);
  }

  /** On one line, and no longer than can be read. */
  static String abbreviate(String value) {
    String line = value.replaceAll("\\p{Cntrl}", "?");
    return line.length() <= MAX_QUOTED_LENGTH ? line : line.substring(0, MAX_QUOTED_LENGTH) + "...";
  }
}
