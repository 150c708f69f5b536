package tamarindroute.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Owns the form of FIELDS, name=value joined by commas, both ways. It must never know what a field
 * means.
 */
public final class FieldList {

  private final Map<String, String> values = new LinkedHashMap<>();

  /** Reads a list; empty and a lone dash are none. */
  public static FieldList parse(String text) throws MalformedMessageException {
    FieldList fields = new FieldList();
    if (text.isEmpty() || text.equals("-")) {
      return fields;
    }
    for (String item : text.split(",", -1)) {
      int separator = item.indexOf('=');
      if (separator <= 0) {
        throw new MalformedMessageException("a field without a name or a value");
      }
      if (fields.values.put(item.substring(0, separator), item.substring(separator + 1)) != null) {
        throw new MalformedMessageException("a field told twice");
      }
    }
    return fields;
  }

  /** The value; null where the field is absent. */
  public String text(String name) {
    return values.get(name);
  }

  /** The number, at most so much; the other one where the field is absent. */
  public double number(String name, double defaultValue, double max)
      throws MalformedMessageException {
    String value = values.get(name);
    if (value == null) {
      return defaultValue;
    }
    try {
      // Java's own forms (hexadecimal, 3d, NaN, blanks) are not the protocol's.
      double number =
          value.chars().allMatch(c -> "0123456789.eE+-".indexOf(c) >= 0)
              ? Double.parseDouble(value)
              : -1;
      if (number >= 0 && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below, as for what is no sensible number.
    }
    throw new MalformedMessageException("no number in " + name);
  }

  /** The whole number, at most so much; 0 where the field is absent. */
  public int integer(String name, int max) throws MalformedMessageException {
    double number = number(name, 0, max);
    if (number != Math.rint(number)) {
      throw new MalformedMessageException("no whole number in " + name);
    }
    return (int) number;
  }

  /** Adds a field; none where the value is null. */
  public FieldList with(String name, Object value) {
    if (value != null) {
      values.put(name, value.toString());
    }
    return this;
  }

  /** The list; the text given where it is empty. */
  public String format(String emptyForm) {
    if (values.isEmpty()) {
      return emptyForm;
    }
    StringBuilder text = new StringBuilder();
    values.forEach(
        (name, value) ->
            text.append(text.length() == 0 ? "" : ",").append(name).append('=').append(value));
    return text.toString();
  }
}
