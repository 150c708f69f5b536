package tamarindroute.dns;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Counts what became of queries since the start and since it was last read out. */
public final class Tally {

  /** Every end that a query can have, and what is counted beside it. */
  public enum Event {
    QUERY,
    UNREADABLE,
    ANSWERED,
    NAME_UNKNOWN,
    NO_DATA,
    REFUSED,
    FAILED,
    FORWARDED,
    STALE,
    CUT,
    HELD_BACK,
    SLIPPED,
    LAST_RESORT,
    COOKIE_GOOD,
    COOKIE_BAD
  }

  private final Map<Event, Long> counts = new EnumMap<>(Event.class);
  private final Map<Event, Long> read = new EnumMap<>(Event.class);

  void count(Event event) {
    counts.merge(event, 1L, Long::sum);
  }

  public long of(Event event) {
    return counts.getOrDefault(event, 0L);
  }

  /**
   * Names and counts since this was last asked, as a log line takes them; of those that have moved.
   */
  public Object[] sinceLast() {
    List<Object> named = new ArrayList<>();
    counts.forEach(
        (event, count) -> {
          long more = count - read.getOrDefault(event, 0L);
          if (more > 0) {
            named.add(event.name().toLowerCase(Locale.ROOT));
            named.add(more);
          }
        });
    read.putAll(counts);
    return named.toArray();
  }
}
