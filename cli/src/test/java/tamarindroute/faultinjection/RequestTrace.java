package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The events of one request: those of its client, its attempts and its responses. */
final class RequestTrace {

  /** One attempt as the caches saw it. */
  static final class Attempt {

    /** Statuses that guarantee that a cache did not execute the request. */
    private static final Set<String> NOT_EXECUTED = Set.of("NOENT", "AGAIN", "STALE");

    final JournalEvent received;

    /** The cache's first response; null if there was none. */
    JournalEvent response;

    /** The gateway's cancel; null if there was none. */
    JournalEvent cancelled;

    /** The end of the connection while the attempt was open; null if there was none. */
    JournalEvent connectionLost;

    Attempt(JournalEvent received) {
      this.received = received;
    }

    String number() {
      return received.field(EventField.ATTEMPT);
    }

    /**
     * When a response was written that proves that the attempt was not executed; {@link
     * Long#MAX_VALUE} without such a response.
     */
    long provenNotExecutedAt() {
      return response != null && NOT_EXECUTED.contains(response.field(EventField.STATUS))
          ? response.latest()
          : Long.MAX_VALUE;
    }
  }

  final String requestId;

  /** When the client sent the request; null for a request that was not sent completely. */
  final JournalEvent sent;

  final List<JournalEvent> responses = new ArrayList<>();
  final List<Attempt> attempts = new ArrayList<>();

  /** The client's cancel; null if there was none. */
  final JournalEvent cancelled;

  /** When the client gave up its connection with the request open; null if it did not. */
  final JournalEvent clientLeft;

  /** When the gateway ended the connection of the request, at any time; null if it did not. */
  final JournalEvent connectionEnded;

  private RequestTrace(
      String requestId, List<JournalEvent> events, Map<String, JournalEvent> connectionEnds) {
    this.requestId = requestId;
    sent = first(events, EventKind.REQUEST_SENT);
    cancelled = first(events, EventKind.REQUEST_CANCELLED);
    clientLeft = first(events, EventKind.CLIENT_LEFT);
    connectionEnded = sent == null ? null : connectionEnds.get(sent.location());
    events.forEach(this::add);
  }

  /** The traces of all requests that were sent completely. */
  static List<RequestTrace> of(Journal journal) {
    Map<String, JournalEvent> connectionEnds = new HashMap<>();
    journal
        .eventsOf(EventKind.CONNECTION_ENDED)
        .forEach(event -> connectionEnds.putIfAbsent(event.location(), event));
    return journal.byRequest().entrySet().stream()
        .map(entry -> new RequestTrace(entry.getKey(), entry.getValue(), connectionEnds))
        .filter(trace -> trace.sent != null)
        .toList();
  }

  private static JournalEvent first(List<JournalEvent> events, EventKind kind) {
    return events.stream().filter(event -> event.kind() == kind).findFirst().orElse(null);
  }

  private void add(JournalEvent event) {
    switch (event.kind()) {
      case RESPONSE_RECEIVED -> responses.add(event);
      case ATTEMPT_RECEIVED -> attempts.add(new Attempt(event));
      case RESPONSE_SENT -> {
        Attempt attempt = attempt(event);
        attempt.response = attempt.response == null ? event : attempt.response;
      }
      case CANCEL_RECEIVED -> {
        if (event.has(EventField.ATTEMPT)) {
          attempt(event).cancelled = event;
        }
      }
      case ATTEMPT_CONNECTION_LOST -> attempt(event).connectionLost = event;
      default -> {}
    }
  }

  private Attempt attempt(JournalEvent event) {
    return attempts.stream()
        .filter(attempt -> attempt.number().equals(event.field(EventField.ATTEMPT)))
        .findFirst()
        .orElseThrow();
  }

  RequestClass requestClass() {
    return RequestClass.of(sent.field(EventField.REQUEST_CLASS));
  }

  /**
   * The earliest time at which the gateway can have written an attempt. A cache that was slow to
   * read it still learns from the remaining time when that was.
   */
  long startedAt(Attempt attempt) {
    long read = attempt.received.earliest();
    if (!attempt.received.has(EventField.REMAINING_MS) || !sent.has(EventField.BUDGET_MS)) {
      return read;
    }
    double elapsedMs =
        sent.number(EventField.BUDGET_MS) - attempt.received.number(EventField.REMAINING_MS);
    return Math.min(read, sent.latest() + (long) (elapsedMs * Journal.NANOS_PER_MS));
  }
}
