package tamarindroute.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Values of settings by their keys, with typed access. A list is one value with commas between its
 * items. An empty value counts as absent.
 */
final class SettingsValues {

  private static final String NUMBER_CHARACTERS = "0123456789.eE+-";

  private final NavigableMap<String, String> valuesByKey;

  SettingsValues(Map<String, String> valuesByKey) {
    this.valuesByKey = Collections.unmodifiableNavigableMap(new TreeMap<>(valuesByKey));
  }

  /** All values by their keys. */
  NavigableMap<String, String> byKey() {
    return valuesByKey;
  }

  String text(String key, String defaultValue) {
    String value = valuesByKey.get(key);
    return value == null || value.isEmpty() ? defaultValue : value;
  }

  double number(String key, double defaultValue) throws MalformedSettingsException {
    String value = text(key, null);
    return value == null ? defaultValue : parseNumber(key, value);
  }

  /** The number without its fraction. */
  int integer(String key, int defaultValue) throws MalformedSettingsException {
    return (int) number(key, defaultValue);
  }

  /** A duration that is given in nanoseconds. */
  Duration duration(String key, Duration defaultValue) throws MalformedSettingsException {
    String value = text(key, null);
    return value == null ? defaultValue : Duration.ofNanos((long) parseNumber(key, value));
  }

  /** Whether the value is true; an absent one is not. */
  boolean flag(String key) {
    return SettingsKeys.TRUE.equals(text(key, null));
  }

  /** The term that a keyword stands for; that of the default keyword if it is absent or unknown. */
  <T> T keyword(String key, String defaultKeyword, Map<String, T> termsByKeyword) {
    T term = termsByKeyword.get(text(key, defaultKeyword));
    return term == null ? termsByKeyword.get(defaultKeyword) : term;
  }

  List<String> list(String key) {
    String value = text(key, null);
    return value == null ? List.of() : Arrays.asList(value.split(","));
  }

  /** The item at an index of a list, counted from 0. */
  String item(String key, int index, String defaultValue) {
    List<String> items = list(key);
    return index >= 0 && index < items.size() ? items.get(index) : defaultValue;
  }

  /** The number at an index of a list; 0 if it is absent. */
  double itemNumber(String key, int index) throws MalformedSettingsException {
    return parseNumber(key, item(key, index, "0"));
  }

  /**
   * Parses a decimal number. Forms that only Java knows (hexadecimal, 3d, NaN, blanks) are refused,
   * and what no double can hold.
   */
  static double parseNumber(String key, String value) throws MalformedSettingsException {
    try {
      boolean decimal = value.chars().allMatch(c -> NUMBER_CHARACTERS.indexOf(c) >= 0);
      double number = decimal ? Double.parseDouble(value) : Double.NaN;
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Refused below, as any other text that is not a number.
    }
    throw new MalformedSettingsException(key, value, "a number");
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SettingsValues values && valuesByKey.equals(values.valuesByKey);
  }

  @Override
  public int hashCode() {
    return valuesByKey.hashCode();
  }
}
