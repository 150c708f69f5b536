package tamarindroute.dns;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Counts what became of queries since the start and since it was last read out. */
public final class QueryCounters {

  /** Every end that a query can have, and what is counted beside it. */
  public enum Event {
    QUERY,
    MALFORMED,
    ANSWERED,
    NXDOMAIN,
    NO_DATA,
    REFUSED,
    FAILED,
    FORWARDED,
    STALE,
    TRUNCATED,
    RATE_LIMITED,
    SLIPPED,
    LAST_RESORT,
    COOKIE_VALID,
    COOKIE_INVALID
  }

  private final Map<Event, Long> counts = new EnumMap<>(Event.class);
  private final Map<Event, Long> lastReported = new EnumMap<>(Event.class);

  void increment(Event event) {
    counts.merge(event, 1L, Long::sum);
  }

  public long total(Event event) {
    return counts.getOrDefault(event, 0L);
  }

  /**
   * Names and counts since this was last asked, as a log line takes them; of those that have moved.
   */
  public Object[] changesSinceLastReport() {
    List<Object> named = new ArrayList<>();
    counts.forEach(
        (event, count) -> {
          long more = count - lastReported.getOrDefault(event, 0L);
          if (more > 0) {
            named.add(event.name().toLowerCase(Locale.ROOT));
            named.add(more);
          }
        });
    lastReported.putAll(counts);
    return named.toArray();
  }
}
