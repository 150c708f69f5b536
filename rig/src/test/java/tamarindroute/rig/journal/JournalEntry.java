package tamarindroute.rig.journal;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of the journal.
 *
 * @param at when the rig read it, since the start of the run
 * @param source a process, cache, feed, the clients, or {@link #RIG}
 * @param text what the source printed
 */
public record JournalEntry(Duration at, String source, String text) {

  /** The source of the rig's own actions. */
  public static final String RIG = "rig";

  private static final Pattern FORMAT = Pattern.compile(" *([0-9]+)\\.([0-9]{3}) ([^ ]+) (.*)");

  /** Parses the format of {@link #toString}. */
  public static JournalEntry parse(String line) {
    Matcher matcher = FORMAT.matcher(line);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a journal entry: \"" + line + "\"");
    }
    Duration at =
        Duration.ofSeconds(Long.parseLong(matcher.group(1)))
            .plusMillis(Long.parseLong(matcher.group(2)));
    return new JournalEntry(at, matcher.group(3), matcher.group(4));
  }

  /** The value of a field that stands as NAME=VALUE in the text. */
  public Optional<String> value(String name) {
    String prefix = name + "=";
    return Arrays.stream(text.split(" ", -1))
        .filter(word -> word.startsWith(prefix))
        .findFirst()
        .map(word -> word.substring(prefix.length()));
  }

  /** The value of a field that the text must have. */
  public String require(String name) {
    return value(name)
        .orElseThrow(() -> new IllegalArgumentException("no field " + name + " in: " + text));
  }

  /** Whether a field has a value. */
  public boolean has(String name, String value) {
    return value(name).filter(value::equals).isPresent();
  }

  /** Whether the entry is from a source. */
  public boolean isFrom(String name) {
    return source.equals(name);
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%3d.%03d %s %s", at.toSeconds(), at.toMillisPart(), source, text);
  }
}
