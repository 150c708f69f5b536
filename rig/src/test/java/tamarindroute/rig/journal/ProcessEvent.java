package tamarindroute.rig.journal;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * What happened to a process, as the rig records it: {@code process NAME KIND DETAILS}.
 *
 * @param at time of the event
 * @param process name of the process
 * @param kind what happened
 * @param entry the whole entry, for its details
 */
public record ProcessEvent(Duration at, String process, Kind kind, JournalEntry entry) {

  private static final String PREFIX = "process";

  /** Kinds of events. */
  public enum Kind {
    /** Fields: incarnation, pid, address, clock. */
    STARTED,
    /** By SIGKILL. */
    KILLED,
    /** By SIGTERM. */
    TERMINATED,
    /** By SIGSTOP. */
    PAUSED,
    /** After a pause. */
    RESUMED,
    /** Runs in slices only. */
    THROTTLED,
    /** Runs again as before. */
    UNTHROTTLED,
    /** The process is gone; field expected: whether the rig ended it. */
    EXITED;

    private String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** The text of an event's entry. */
  public static String format(String process, Kind kind, String details) {
    return (PREFIX + " " + process + " " + kind.word() + " " + details).strip();
  }

  /** Parses an entry, if it is such an event. */
  public static Optional<ProcessEvent> parse(JournalEntry entry) {
    String[] words = entry.text().split(" ", -1);
    if (!entry.isFrom(JournalEntry.RIG) || words.length < 3 || !words[0].equals(PREFIX)) {
      return Optional.empty();
    }
    return Arrays.stream(Kind.values())
        .filter(kind -> kind.word().equals(words[2]))
        .findFirst()
        .map(kind -> new ProcessEvent(entry.at(), words[1], kind, entry));
  }
}
