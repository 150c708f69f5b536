package tamarindroute.protocol;

import java.util.regex.Pattern;

/** Values from outside as messages quote them. */
public final class QuotedValue {

  private static final int MAX_LENGTH = 60;
  private static final Pattern CONTROL_CHARACTER = Pattern.compile("\\p{Cntrl}");

  private QuotedValue() {}

  /**
   * The value on one line, control characters replaced, cut where it is longer than can be read.
   */
  public static String abbreviate(String value) {
    String line = CONTROL_CHARACTER.matcher(value).replaceAll("?");
    return line.length() <= MAX_LENGTH ? line : line.substring(0, MAX_LENGTH) + "...";
  }
}
