package tamarindroute.rig.journal;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A directed link was cut or healed, as the rig records it: {@code link FROM > TO cut}.
 *
 * @param link the link's name, {@code FROM > TO}
 * @param cut false if it was healed
 */
public record LinkEvent(String link, boolean cut) {

  private static final Pattern FORMAT = Pattern.compile("link (\\S+ > \\S+) (cut|healed)");

  /** The name of a directed link. */
  public static String nameOf(String from, String to) {
    return from + " > " + to;
  }

  /** The text of the event's entry. */
  public String format() {
    return "link " + link + (cut ? " cut" : " healed");
  }

  /** Parses an entry, if it is such an event. */
  public static Optional<LinkEvent> parse(JournalEntry entry) {
    Matcher matcher = FORMAT.matcher(entry.text());
    if (!entry.isFrom(JournalEntry.RIG) || !matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(new LinkEvent(matcher.group(1), matcher.group(2).equals("cut")));
  }
}
