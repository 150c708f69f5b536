package tamarindroute.rig.schedule;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The format of times in schedules: 1.5s or 200ms. */
public final class ScheduleTime {

  private static final Pattern FORMAT = Pattern.compile("([0-9]{1,6}(?:\\.[0-9]{1,3})?)(ms|s)");
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private ScheduleTime() {}

  /**
   * Parses a time.
   *
   * @throws IllegalArgumentException for any other text
   */
  public static Duration parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("\"" + text + "\" is not a time such as 1.5s or 200ms");
    }
    double unit = matcher.group(2).equals("ms") ? NANOS_PER_MILLI : NANOS_PER_SECOND;
    return Duration.ofNanos(Math.round(Double.parseDouble(matcher.group(1)) * unit));
  }
}
