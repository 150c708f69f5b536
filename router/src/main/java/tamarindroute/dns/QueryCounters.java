package tamarindroute.dns;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Counts queries by their results. */
public final class QueryCounters {

  /** What is counted. The log shows the constants in lower case. */
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

  /** Returns the count since the start. */
  public long total(Event event) {
    return counts.getOrDefault(event, 0L);
  }

  /**
   * Returns names and counts of the events that occurred since the last call, alternating as log
   * fields.
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
