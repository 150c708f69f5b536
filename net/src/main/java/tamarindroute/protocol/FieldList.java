package tamarindroute.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * List of {@code name=value} fields joined by commas, in the order in which they were added. What
 * the fields mean is for the codec of each protocol to know.
 */
public final class FieldList {

  private static final String EMPTY = "-";
  private static final String NUMBER_CHARACTERS = "0123456789.eE+-";
  private static final double NOT_A_NUMBER = -1;

  private final Map<String, String> valuesByName = new LinkedHashMap<>();

  /**
   * Parses a list. An empty text and a lone dash are lists without fields.
   *
   * @throws MalformedMessageException if an item has no name or no equals sign, or a name comes
   *     twice
   */
  public static FieldList parse(String text) throws MalformedMessageException {
    FieldList fields = new FieldList();
    if (text.isEmpty() || text.equals(EMPTY)) {
      return fields;
    }
    for (String item : text.split(",", -1)) {
      fields.parseItem(item);
    }
    return fields;
  }

  private void parseItem(String item) throws MalformedMessageException {
    int separator = item.indexOf('=');
    if (separator <= 0) {
      throw new MalformedMessageException("field", item, "name=value");
    }
    String name = item.substring(0, separator);
    if (valuesByName.put(name, item.substring(separator + 1)) != null) {
      throw new MalformedMessageException(
          "field " + QuotedValue.abbreviate(name) + " is given twice, allowed: once");
    }
  }

  /** The value of a field; null if it is absent. */
  public String text(String name) {
    return valuesByName.get(name);
  }

  /**
   * The number in a field, from 0 to a maximum.
   *
   * @throws MalformedMessageException if the value is no such number
   */
  public double number(String name, double defaultValue, double max)
      throws MalformedMessageException {
    String value = valuesByName.get(name);
    if (value == null) {
      return defaultValue;
    }
    double number = parseNumber(value);
    if (number < 0 || number > max) {
      throw new MalformedMessageException(name, value, "a number from 0 to " + max);
    }
    return number;
  }

  /** Forms that only Java knows (hexadecimal, 3d, NaN, blanks) are not the protocols'. */
  private static double parseNumber(String value) {
    if (!value.chars().allMatch(c -> NUMBER_CHARACTERS.indexOf(c) >= 0)) {
      return NOT_A_NUMBER;
    }
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      return NOT_A_NUMBER;
    }
  }

  /**
   * The whole number in a field, from 0 to a maximum; 0 if the field is absent.
   *
   * @throws MalformedMessageException if the value is no such number
   */
  public int integer(String name, int max) throws MalformedMessageException {
    double number = number(name, 0, max);
    if (number != Math.rint(number)) {
      throw new MalformedMessageException(name, text(name), "a whole number from 0 to " + max);
    }
    return (int) number;
  }

  /** Adds a field; a null value adds none. */
  public FieldList with(String name, Object value) {
    if (value != null) {
      valuesByName.put(name, value.toString());
    }
    return this;
  }

  /**
   * Formats the list.
   *
   * @param emptyForm what stands for a list without fields
   */
  public String format(String emptyForm) {
    if (valuesByName.isEmpty()) {
      return emptyForm;
    }
    StringBuilder text = new StringBuilder();
    valuesByName.forEach(
        (name, value) -> {
          if (text.length() > 0) {
            text.append(',');
          }
          text.append(name).append('=').append(value);
        });
    return text.toString();
  }
}
