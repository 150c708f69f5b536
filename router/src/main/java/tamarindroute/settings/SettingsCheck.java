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
final class SettingsCheck {

  /** Ten years: past any time that is told, and far from where a long of nanoseconds ends. */
  private static final double LONGEST = 10 * 365 * 86_400e9;

  /** Classes are numbered by two bytes on the wire. */
  static final int MOST_CLASSES = 65_536;

  /** No rate, size or multiple that is told comes near it. */
  private static final double MOST = 1e12;

  /** A value as it is told in a message. */
  private static final int TOLD = 60;

  private final NavigableMap<String, String> values;
  private final List<String> notes = new ArrayList<>();

  SettingsCheck(NavigableMap<String, String> values) {
    this.values = values;
  }

  /** What is odd and is taken for the careful side, a line each. */
  List<String> check() throws MalformedSettingsException {
    int zones = names("Zones");
    int kinds = names("Skus");
    place("Zone", 0, "Zones", zones, true);
    whole("ReplicasOfMe", 1, 1_000_000, true);
    int classes = classes();
    truths("FamilyInfo.NeverKept", classes);
    numbers("FamilyInfo.MaxAgeNs", classes, LONGEST, false);
    numbers("FamilyInfo.HubOf", 0, zones - 1, true);
    numbers("FamilyInfo.CountByZone", 0, 1_000_000, true);
    numbers("FamilyInfo.InletKbPerS", 0, MOST, false);
    place("FamilyInfo.MidKind", -1, "Skus", kinds, false);
    place("FamilyInfo.StoreKind", -1, "Skus", kinds, false);
    number("FamilyInfo.PaceKbPerS", 0, MOST, false);
    for (String key :
        new String[] {
          "FamilyInfo.GoneEverywhereNs",
          "FamilyInfo.UpperColdNs",
          "Obligations.ColdNs",
          "Obligations.MustAskInNs",
          "Limits.KeepaliveNs",
          "Limits.MaxRetryAfterNs"
        }) {
      number(key, 0, LONGEST, false);
    }
    for (String key : new String[] {"Obligations.FallNs", "Limits.ConnectTimeoutNs"}) {
      number(key, 1, LONGEST, false);
    }
    for (String key : new String[] {"Obligations.ColdFrom", "FamilyInfo.ParentStartsAt"}) {
      number(key, 0, 1, false);
    }
    for (String key : new String[] {"Obligations.FallMultiple", "FamilyInfo.ParentFallMultiple"}) {
      number(key, Double.MIN_VALUE, MOST, false);
    }
    for (String key : new String[] {"Limits.TryLimit", "Limits.OpenCap", "Limits.MaxStreams"}) {
      whole(key, 1, Integer.MAX_VALUE, false);
    }
    for (String key :
        new String[] {
          "FamilyInfo.BypassAllowed", "Limits.SecondCopies", "Limits.Cancel", "Limits.RetryAfter"
        }) {
      truths(key, 1);
    }
    word("FamilyInfo.Neighbours", "off", "off", "location", "any");
    word("Weights", "off", "off", "nominal", "rough", "live");
    word("FamilyInfo.Says", "off", "off", "hit", "all");
    return notes;
  }

  private int classes() throws MalformedSettingsException {
    if (!values.containsKey("Classes.count")) {
      throw new MalformedSettingsException("no Classes");
    }
    int count = (int) number("Classes.count", 1, MOST_CLASSES, true);
    Set<String> names = new HashSet<>();
    for (int i = 0; i < count; i++) {
      String at = "Classes." + i + ".";
      needed(at + "Name");
      if (!names.add(values.get(at + "Name"))) {
        notes.add(
            at
                + "Name is "
                + told(values.get(at + "Name"))
                + ", as another's: both count as what is most careful in either");
      }
      number(at + "DeadlineNs", 1, LONGEST, true);
      number(at + "GoalTimeNs", 1, LONGEST, true);
      number(at + "WindowNs", 0, LONGEST, false);
      number(at + "AimStretch", 0, MOST, false);
      word(at + "Semantics", "side_effect", "pure", "token", "side_effect");
      word(at + "Group", "cell", "all", "zone", "cell");
    }
    return count;
  }

  /**
   * A list of names, none of them empty or told twice: which of the two is meant could not be
   * known.
   */
  private int names(String key) throws MalformedSettingsException {
    needed(key);
    String[] names = values.get(key).split(",", -1);
    Set<String> different = new HashSet<>();
    for (String name : names) {
      if (name.isEmpty() || !different.add(name)) {
        throw refused(
            key, name.isEmpty() ? "holds an empty name" : "holds " + told(name) + " twice");
      }
    }
    return names.length;
  }

  private String needed(String key) throws MalformedSettingsException {
    String value = value(key);
    if (value == null) {
      throw new MalformedSettingsException("no " + key);
    }
    return value;
  }

  /** The value; null where it is absent. A list or an object in its place is neither. */
  private String value(String key) throws MalformedSettingsException {
    String value = values.get(key);
    String next = values.higherKey(key + ".");
    if (next != null && next.startsWith(key + ".")) {
      throw refused(key, "holds more than one value");
    }
    return value == null || value.isEmpty() ? null : value;
  }

  private double number(String key, double least, double most, boolean needed)
      throws MalformedSettingsException {
    String value = needed ? needed(key) : value(key);
    return value == null ? least : number(key, value, least, most);
  }

  private static double number(String key, String value, double least, double most)
      throws MalformedSettingsException {
    double number = SettingsReader.number(key, value);
    if (number < least || number > most) {
      throw refused(key, "is " + told(value) + (number < least ? ", too little" : ", too much"));
    }
    return number;
  }

  private void whole(String key, int least, int most, boolean needed)
      throws MalformedSettingsException {
    double number = number(key, least, most, needed);
    if (number != Math.rint(number)) {
      throw refused(key, "is " + told(values.get(key)) + ", no whole number");
    }
  }

  private void place(String key, int least, String list, int size, boolean needed)
      throws MalformedSettingsException {
    whole(key, least, Integer.MAX_VALUE, needed);
    if (value(key) != null && Double.parseDouble(values.get(key)) >= size) {
      throw refused(key, "is " + told(values.get(key)) + ", and " + list + " holds " + size);
    }
  }

  /**
   * A list with a number for each, if it is there at all; the first figure is how many there have
   * to be, or 0.
   */
  private void numbers(String key, int count, double most, boolean whole)
      throws MalformedSettingsException {
    String[] items = items(key, count);
    for (String item : items) {
      double number = number(key, item, 0, most);
      if (whole && number != Math.rint(number)) {
        throw refused(key, "holds " + told(item) + ", no whole number");
      }
    }
  }

  private void truths(String key, int count) throws MalformedSettingsException {
    for (String item : items(key, count)) {
      if (!item.equals("true") && !item.equals("false")) {
        throw refused(key, "holds " + told(item) + ", not true or false");
      }
    }
  }

  private String[] items(String key, int count) throws MalformedSettingsException {
    String value = value(key);
    String[] items = value == null ? new String[0] : value.split(",", -1);
    if (value != null && items.length < count) {
      throw refused(key, "holds " + items.length + " of " + count);
    }
    return items;
  }

  /** A word of a few; another is noted, for later platforms may have more of them. */
  private void word(String key, String careful, String... known) throws MalformedSettingsException {
    String value = value(key);
    if (value != null && !Arrays.asList(known).contains(value)) {
      notes.add(key + " is " + told(value) + ", which is unknown: counts as " + careful);
    }
  }

  private static MalformedSettingsException refused(String key, String why) {
    return new MalformedSettingsException(key + " " + why);
  }

  /** On one line, and no longer than can be read. */
  static String told(String value) {
    String line = value.replaceAll("\\p{Cntrl}", "?");
    return line.length() <= TOLD ? line : line.substring(0, TOLD) + "...";
  }
}
