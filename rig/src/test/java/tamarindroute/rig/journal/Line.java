package tamarindroute.rig.journal;

import java.time.Duration;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One line of the journal: when the rig read it, who said it, and what. */
public record Line(Duration at, String who, String text) {

  private static final Pattern FORM = Pattern.compile(" *([0-9]+)\\.([0-9]{3}) ([^ ]+) (.*)");

  /** Reads what toString wrote. */
  public static Line parse(String line) {
    Matcher matcher = FORM.matcher(line);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a line of a journal: " + line);
    }
    return new Line(
        Duration.ofSeconds(Long.parseLong(matcher.group(1)))
            .plusMillis(Long.parseLong(matcher.group(2))),
        matcher.group(3),
        matcher.group(4));
  }

  /** The value that follows NAME= in the text; null where there is none. */
  public String value(String name) {
    for (String word : text.split(" ")) {
      if (word.startsWith(name + "=")) {
        return word.substring(name.length() + 1);
      }
    }
    return null;
  }

  public boolean by(String name) {
    return who.equals(name);
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%3d.%03d %s %s", at.toSeconds(), at.toMillisPart(), who, text);
  }
}
