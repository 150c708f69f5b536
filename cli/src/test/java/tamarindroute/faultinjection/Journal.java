package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The events of one scenario. Clients, caches and the feed run in one process, so all times are on
 * one monotonic clock. Thread-safe.
 */
final class Journal {

  static final long NANOS_PER_MS = 1_000_000;

  /** Delay of threads that is usual where all cores are busy. */
  private static final double USUAL_DELAY_MS = 150;

  /** The most that is attributed to stalls of the machine. */
  private static final double MAX_STALL_MS = 400;

  /** Events without a request are shown if they are this near to the request. */
  private static final long CONTEXT_NANOS = 200 * NANOS_PER_MS;

  private final List<JournalEvent> events = new ArrayList<>();
  private final long startedAt;

  Journal() {
    this(System.nanoTime());
  }

  Journal(long startedAt) {
    this.startedAt = startedAt;
  }

  /** Begins an event; {@link Entry#add} adds it. */
  Entry event(EventKind kind, String location) {
    return new Entry(kind, location);
  }

  /** Adds an event of kind {@link EventKind#NOTE} with one field. */
  void note(String location, EventField field, Object value) {
    event(EventKind.NOTE, location).with(field, value).add();
  }

  /** An event under construction. */
  final class Entry {

    private final EventKind kind;
    private final String location;
    private final Map<EventField, String> fields = new EnumMap<>(EventField.class);
    private String requestId = "";
    private boolean timed;
    private long earliest;
    private long latest;

    private Entry(EventKind kind, String location) {
      this.kind = kind;
      this.location = location;
    }

    Entry request(String id) {
      requestId = id;
      return this;
    }

    /** Sets the times between which it happened; without them it happens when it is added. */
    Entry between(long earliestNanos, long latestNanos) {
      timed = true;
      earliest = earliestNanos;
      latest = latestNanos;
      return this;
    }

    /** Sets a field; null leaves it absent. */
    Entry with(EventField field, Object value) {
      if (value != null) {
        fields.put(field, value.toString());
      }
      return this;
    }

    void add() {
      if (!timed) {
        earliest = System.nanoTime();
        latest = earliest;
      }
      JournalEvent event =
          new JournalEvent(earliest, latest, kind, requestId, location, Map.copyOf(fields));
      synchronized (Journal.this) {
        events.add(event);
      }
    }
  }

  /** All events, ordered by their latest times. */
  synchronized List<JournalEvent> events() {
    return events.stream().sorted(Comparator.comparingLong(JournalEvent::latest)).toList();
  }

  List<JournalEvent> eventsOf(EventKind kind) {
    return events().stream().filter(event -> event.kind() == kind).toList();
  }

  /** The events of each request, in order. */
  Map<String, List<JournalEvent>> byRequest() {
    return events().stream()
        .filter(event -> !event.requestId().isEmpty())
        .collect(Collectors.groupingBy(JournalEvent::requestId, TreeMap::new, Collectors.toList()));
  }

  /**
   * Nanoseconds by which checks extend the protocol's limits: the usual delay of a busy machine and
   * the longest stall that was observed.
   */
  long allowance() {
    double longestStall =
        eventsOf(EventKind.STALL).stream()
            .mapToDouble(event -> event.number(EventField.DURATION_MS))
            .max()
            .orElse(0);
    return (long) ((USUAL_DELAY_MS + Math.min(longestStall, MAX_STALL_MS)) * NANOS_PER_MS);
  }

  /** One line for an event, with times in milliseconds since the start. */
  String format(JournalEvent event) {
    String earliest =
        event.earliest() == event.latest()
            ? ""
            : String.format("(from %.1f) ", millisSinceStart(event.earliest()));
    return String.format(
        "%9.1f %s%-9s %s %s %s",
        millisSinceStart(event.latest()),
        earliest,
        event.kind(),
        event.requestId(),
        event.location(),
        new TreeMap<>(event.fields()));
  }

  private double millisSinceStart(long nanos) {
    return (nanos - startedAt) / 1e6;
  }

  /** The lines of one request, and of the events without a request around it. */
  String describe(String requestId) {
    List<JournalEvent> all = events();
    List<JournalEvent> own =
        all.stream().filter(event -> event.requestId().equals(requestId)).toList();
    long first = own.stream().mapToLong(JournalEvent::earliest).min().orElse(0) - CONTEXT_NANOS;
    long last = own.stream().mapToLong(JournalEvent::latest).max().orElse(0) + CONTEXT_NANOS;
    return all.stream()
        .filter(event -> event.requestId().equals(requestId) || isContext(event, first, last))
        .map(this::format)
        .collect(Collectors.joining("\n"));
  }

  private static boolean isContext(JournalEvent event, long first, long last) {
    return event.requestId().isEmpty()
        && event.kind() != EventKind.FEED_EVENT_SENT
        && event.latest() >= first
        && event.latest() <= last;
  }
}
