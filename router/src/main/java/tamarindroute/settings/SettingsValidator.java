package tamarindroute.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import tamarindroute.protocol.QuotedValue;

/**
 * Refuses settings by which no gateway could work, with the key and the value of the first such
 * one, and collects warnings of keywords that are unknown.
 */
final class SettingsValidator {

  /** Classes are numbered by two bytes on the simulator's wire. */
  static final int MAX_CLASSES = 65_536;

  /**
   * Ten years: past any duration in use, and far from the largest number of nanoseconds that a long
   * holds.
   */
  private static final double MAX_DURATION_NANOS = 10 * 365 * 86_400e9;

  /** Past any rate, size or multiple in use. */
  private static final double MAX_NUMBER = 1e12;

  private static final int MAX_COUNT = 1_000_000;
  private static final double ABOVE_ZERO = Double.MIN_VALUE;

  private final NavigableMap<String, String> valuesByKey;
  private final List<String> warnings = new ArrayList<>();

  SettingsValidator(NavigableMap<String, String> valuesByKey) {
    this.valuesByKey = valuesByKey;
  }

  /**
   * Validates all settings that are read.
   *
   * @return the warnings, one line each
   */
  List<String> validate() throws MalformedSettingsException {
    int zoneCount = validateNames(SettingsKeys.ZONES);
    int kindCount = validateNames(SettingsKeys.CACHE_KINDS);
    required(SettingsKeys.ZONE);
    validateIndex(SettingsKeys.ZONE, 0, SettingsKeys.ZONES, zoneCount);
    required(SettingsKeys.GATEWAY_COUNT);
    validateInteger(SettingsKeys.GATEWAY_COUNT, 1, MAX_COUNT);
    validateClasses();
    validateZoneLists(zoneCount);
    validateIndex(SettingsKeys.PARENT_KIND, -1, SettingsKeys.CACHE_KINDS, kindCount);
    validateIndex(SettingsKeys.ORIGIN_KIND, -1, SettingsKeys.CACHE_KINDS, kindCount);
    validateNumbers();
    validateFlags();
    validateKeywords();
    return warnings;
  }

  private void validateClasses() throws MalformedSettingsException {
    int classCount = classCount();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < classCount; i++) {
      validateClassName(i, names);
      validateClassNumbers(i);
      validateKeyword(
          SettingsKeys.ofClass(i, SettingsKeys.CLASS_IDEMPOTENCY),
          SettingsKeys.DEFAULT_IDEMPOTENCY,
          SettingsKeys.IDEMPOTENCIES.keySet());
      validateKeyword(
          SettingsKeys.ofClass(i, SettingsKeys.CLASS_DEDUPLICATION_SCOPE),
          SettingsKeys.DEFAULT_DEDUPLICATION_SCOPE,
          SettingsKeys.DEDUPLICATION_SCOPES.keySet());
    }
    validateFlagList(SettingsKeys.CLASS_NEVER_CACHED, classCount);
    for (String item : items(SettingsKeys.CLASS_MAX_AGE_NANOS, classCount)) {
      number(SettingsKeys.CLASS_MAX_AGE_NANOS, item, 0, MAX_DURATION_NANOS);
    }
  }

  private int classCount() throws MalformedSettingsException {
    if (!valuesByKey.containsKey(SettingsKeys.CLASS_COUNT)) {
      throw MalformedSettingsException.missing(SettingsKeys.CLASSES);
    }
    String value = required(SettingsKeys.CLASS_COUNT);
    return (int) number(SettingsKeys.CLASS_COUNT, value, 1, MAX_CLASSES);
  }

  private void validateClassName(int index, Set<String> names) throws MalformedSettingsException {
    String key = SettingsKeys.ofClass(index, SettingsKeys.CLASS_NAME);
    String name = required(key);
    if (!names.add(name)) {
      warnings.add(
          key
              + " is "
              + QuotedValue.abbreviate(name)
              + ", the name of another class too: both take the strictest values of the two");
    }
  }

  private void validateClassNumbers(int index) throws MalformedSettingsException {
    String deadline = SettingsKeys.ofClass(index, SettingsKeys.CLASS_DEADLINE_NANOS);
    required(deadline);
    validateNumber(deadline, 1, MAX_DURATION_NANOS);
    String objective = SettingsKeys.ofClass(index, SettingsKeys.CLASS_LATENCY_OBJECTIVE_NANOS);
    required(objective);
    validateNumber(objective, 1, MAX_DURATION_NANOS);
    validateNumber(
        SettingsKeys.ofClass(index, SettingsKeys.CLASS_DEDUPLICATION_WINDOW_NANOS),
        0,
        MAX_DURATION_NANOS);
    validateNumber(
        SettingsKeys.ofClass(index, SettingsKeys.CLASS_TRANSFER_TIME_FACTOR), 0, MAX_NUMBER);
  }

  private void validateZoneLists(int zoneCount) throws MalformedSettingsException {
    validateIntegerList(SettingsKeys.HUB_BY_ZONE, zoneCount - 1);
    validateIntegerList(SettingsKeys.GATEWAYS_BY_ZONE, MAX_COUNT);
    for (String item : items(SettingsKeys.INBOUND_LINK_KB_PER_SECOND_BY_ZONE, 0)) {
      number(SettingsKeys.INBOUND_LINK_KB_PER_SECOND_BY_ZONE, item, 0, MAX_NUMBER);
    }
  }

  private void validateNumbers() throws MalformedSettingsException {
    validateNumber(SettingsKeys.TRANSFER_RATE_KB_PER_SECOND, 0, MAX_NUMBER);
    validateNumber(SettingsKeys.PURGE_PROPAGATION_NANOS, 0, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.PARENT_WARM_AFTER_NANOS, 0, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.EDGE_WARM_AFTER_NANOS, 0, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.SUBSCRIBE_WITHIN_NANOS, 0, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.KEEP_ALIVE_NANOS, 0, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.MAX_RETRY_AFTER_NANOS, 0, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.OVERLOAD_WINDOW_NANOS, 1, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.CONNECT_TIMEOUT_NANOS, 1, MAX_DURATION_NANOS);
    validateNumber(SettingsKeys.EDGE_INITIAL_CAPACITY, 0, 1);
    validateNumber(SettingsKeys.PARENT_INITIAL_CAPACITY, 0, 1);
    validateNumber(SettingsKeys.EDGE_OVERLOAD_MULTIPLE, ABOVE_ZERO, MAX_NUMBER);
    validateNumber(SettingsKeys.PARENT_OVERLOAD_MULTIPLE, ABOVE_ZERO, MAX_NUMBER);
    validateInteger(SettingsKeys.MAX_ATTEMPTS, 1, Integer.MAX_VALUE);
    validateInteger(SettingsKeys.MAX_IN_FLIGHT, 1, Integer.MAX_VALUE);
    validateInteger(SettingsKeys.MAX_REQUESTS_PER_CONNECTION, 1, Integer.MAX_VALUE);
  }

  private void validateFlags() throws MalformedSettingsException {
    validateFlagList(SettingsKeys.EDGE_BYPASS_ALLOWED, 1);
    validateFlagList(SettingsKeys.HEDGING_ALLOWED, 1);
    validateFlagList(SettingsKeys.CANCEL_ALLOWED, 1);
    validateFlagList(SettingsKeys.RETRY_AFTER_ALLOWED, 1);
  }

  private void validateKeywords() throws MalformedSettingsException {
    validateKeyword(
        SettingsKeys.SIBLING_FILL,
        SettingsKeys.DEFAULT_SIBLING_FILL,
        SettingsKeys.SIBLING_FILLS.keySet());
    validateKeyword(
        SettingsKeys.WEIGHT_MEANING,
        SettingsKeys.DEFAULT_WEIGHT_MEANING,
        SettingsKeys.WEIGHT_MEANINGS.keySet());
    validateKeyword(
        SettingsKeys.REPORTED_DETAILS,
        SettingsKeys.DEFAULT_REPORTED_DETAILS,
        SettingsKeys.REPORTED_DETAIL_LEVELS.keySet());
  }

  /** Validates a list of names, none empty or given twice, and returns how many there are. */
  private int validateNames(String key) throws MalformedSettingsException {
    String[] names = required(key).split(",", -1);
    Set<String> distinct = new HashSet<>();
    for (String name : names) {
      if (name.isEmpty()) {
        throw new MalformedSettingsException(key + " holds an empty name");
      }
      if (!distinct.add(name)) {
        throw new MalformedSettingsException(
            key + " holds " + QuotedValue.abbreviate(name) + " twice, allowed: different names");
      }
    }
    return names.length;
  }

  /** The value of a key that has to be there. */
  private String required(String key) throws MalformedSettingsException {
    String value = value(key);
    if (value == null) {
      throw MalformedSettingsException.missing(key);
    }
    return value;
  }

  /** The value; null if it is absent or empty. A list or an object in its place is refused. */
  private String value(String key) throws MalformedSettingsException {
    String value = valuesByKey.get(key);
    String nextKey = valuesByKey.higherKey(key + ".");
    if (nextKey != null && nextKey.startsWith(key + ".")) {
      throw new MalformedSettingsException(key + " holds more than one value, allowed: one");
    }
    return value == null || value.isEmpty() ? null : value;
  }

  private void validateNumber(String key, double min, double max)
      throws MalformedSettingsException {
    String value = value(key);
    if (value != null) {
      number(key, value, min, max);
    }
  }

  private static double number(String key, String value, double min, double max)
      throws MalformedSettingsException {
    double number = SettingsValues.parseNumber(key, value);
    if (number < min || number > max) {
      throw new MalformedSettingsException(key, value, "a number " + range(min, max));
    }
    return number;
  }

  private void validateInteger(String key, int min, int max) throws MalformedSettingsException {
    String value = value(key);
    if (value != null) {
      integer(key, value, min, max);
    }
  }

  private static int integer(String key, String value, int min, int max)
      throws MalformedSettingsException {
    double number = SettingsValues.parseNumber(key, value);
    if (number < min || number > max || number != Math.rint(number)) {
      throw new MalformedSettingsException(key, value, "a whole number " + range(min, max));
    }
    return (int) number;
  }

  private static String range(double min, double max) {
    return (min == ABOVE_ZERO ? "above 0" : "from " + readable(min)) + " to " + readable(max);
  }

  /** Whole numbers without a fraction. */
  private static String readable(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  /** Validates an index of a list that has so many items; absent is allowed. */
  private void validateIndex(String key, int min, String listKey, int listSize)
      throws MalformedSettingsException {
    String value = value(key);
    if (value != null && integer(key, value, min, Integer.MAX_VALUE) >= listSize) {
      throw new MalformedSettingsException(
          key, value, "an index of " + listKey + ", " + range(min, listSize - 1));
    }
  }

  private void validateIntegerList(String key, int max) throws MalformedSettingsException {
    for (String item : items(key, 0)) {
      integer(key, item, 0, max);
    }
  }

  /** Validates a list of true and false with so many items at least; absent is allowed. */
  private void validateFlagList(String key, int minCount) throws MalformedSettingsException {
    for (String item : items(key, minCount)) {
      if (!item.equals(SettingsKeys.TRUE) && !item.equals(SettingsKeys.FALSE)) {
        throw new MalformedSettingsException(
            key, item, SettingsKeys.TRUE + " or " + SettingsKeys.FALSE);
      }
    }
  }

  /** The items of a list; none if it is absent. */
  private String[] items(String key, int minCount) throws MalformedSettingsException {
    String value = value(key);
    if (value == null) {
      return new String[0];
    }
    String[] items = value.split(",", -1);
    if (items.length < minCount) {
      throw new MalformedSettingsException(
          key + " holds " + items.length + " of " + minCount + " values that are required");
    }
    return items;
  }

  /** Warns of a keyword that is unknown, as a later platform's may be. */
  private void validateKeyword(String key, String defaultKeyword, Set<String> known)
      throws MalformedSettingsException {
    String value = value(key);
    if (value != null && !known.contains(value)) {
      warnings.add(
          key
              + " is "
              + QuotedValue.abbreviate(value)
              + ", which is unknown: counts as "
              + defaultKeyword);
    }
  }
}
