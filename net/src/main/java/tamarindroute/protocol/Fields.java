package tamarindroute.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Owns the form of FIELDS, name=value joined by commas, both ways. It must never know what a field
 * means.
 */
public final class Fields {

  private final Map<String, String> values = new LinkedHashMap<>();

  /** Reads a list; empty and a lone dash are none. */
  public static Fields read(String text) throws MalformedException {
    Fields fields = new Fields();
    if (text.isEmpty() || text.equals("-")) {
      return fields;
    }
    for (String item : text.split(",", -1)) {
      int equals = item.indexOf('=');
      if (equals <= 0) {
        throw new MalformedException("a field without a name or a value");
      }
      if (fields.values.put(item.substring(0, equals), item.substring(equals + 1)) != null) {
        throw new MalformedException("a field told twice");
      }
    }
    return fields;
  }

  /** The value; null where the field is absent. */
  public String text(String name) {
    return values.get(name);
  }

  /** The number, at most so much; the other one where the field is absent. */
  public double number(String name, double absent, double most) throws MalformedException {
    String value = values.get(name);
    if (value == null) {
      return absent;
    }
    try {
      // Java's own forms (hexadecimal, 3d, NaN, blanks) are not the protocol's.
      double number =
          value.chars().allMatch(c -> "0123456789.eE+-".indexOf(c) >= 0)
              ? Double.parseDouble(value)
              : -1;
      if (number >= 0 && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below, as for what is no sensible number.
    }
    throw new MalformedException("no number in " + name);
  }

  /** The whole number, at most so much; 0 where the field is absent. */
  public int whole(String name, int most) throws MalformedException {
    double number = number(name, 0, most);
    if (number != Math.rint(number)) {
      throw new MalformedException("no whole number in " + name);
    }
    return (int) number;
  }

  /** Adds a field; none where the value is null. */
  public Fields with(String name, Object value) {
    if (value != null) {
      values.put(name, value.toString());
    }
    return this;
  }

  /** The list; the text given where it is empty. */
  public String write(String none) {
    if (values.isEmpty()) {
      return none;
    }
    StringBuilder text = new StringBuilder();
    values.forEach(
        (name, value) ->
            text.append(text.length() == 0 ? "" : ",").append(name).append('=').append(value));
    return text.toString();
  }
}
