package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.List;

/**
 * Each completely sent request whose client stays gets exactly one complete final response, with
 * valid content, within its time and the protocol's tolerance; none comes long after a cancel.
 */
final class SingleResponseCheck implements InvariantCheck {

  /**
   * A gateway that waits for the processor reads and answers later; past this a response counts as
   * missing.
   */
  private static final long STALL_ALLOWANCE = 300 * Journal.NANOS_PER_MS;

  /** A client that pauses its reading sees responses later by up to its longest pauses. */
  private static final long SLOW_READER_ALLOWANCE = 2200 * Journal.NANOS_PER_MS;

  /** A client repeats a request that crosses the close of a connection without open requests. */
  private static final long CLOSE_RACE = 50 * Journal.NANOS_PER_MS;

  /** Other requests on such a connection may have been sent this much earlier. */
  private static final long CLOSE_RACE_OTHERS = 150 * Journal.NANOS_PER_MS;

  /**
   * After SIGTERM connections are accepted for 0.4 s, and requests on them for 0.2 s more; later
   * ones need no response.
   */
  private static final long ACCEPTED_AFTER_TERM = 600 * Journal.NANOS_PER_MS;

  @Override
  public List<Violation> violations(Journal journal) {
    return new Search(journal).run();
  }

  /** The search in one journal. */
  private final class Search {

    private final List<Violation> violations = new ArrayList<>();
    private final Journal journal;
    private final List<RequestTrace> traces;
    private final long allowance;
    private final long terminatedAt;

    Search(Journal journal) {
      this.journal = journal;
      traces = RequestTrace.of(journal);
      allowance = journal.allowance();
      terminatedAt =
          journal.eventsOf(EventKind.TERMINATION_SIGNALLED).stream()
              .mapToLong(JournalEvent::latest)
              .findFirst()
              .orElse(Long.MAX_VALUE / 2);
    }

    List<Violation> run() {
      checkUnsolicitedResponses();
      for (RequestTrace trace : traces) {
        checkResponses(trace);
        if (!clientGaveUpBefore(trace, lastResponseTime(trace))) {
          checkInTime(trace);
        }
      }
      return violations;
    }

    private void add(RequestTrace trace, String description) {
      violations.add(violation(trace.requestId, description));
    }

    private void checkUnsolicitedResponses() {
      for (JournalEvent event : journal.eventsOf(EventKind.RESPONSE_RECEIVED)) {
        if (event.requestId().isEmpty()) {
          violations.add(
              violation(
                  "", "response to no request, on " + event.location() + ": " + event.fields()));
        }
      }
    }

    private void checkResponses(RequestTrace trace) {
      if (trace.responses.size() > 1) {
        add(trace, trace.responses.size() + " responses");
      }
      for (JournalEvent response : trace.responses) {
        if (response.field(EventField.CONTENT_VALID).equals("false")) {
          add(trace, "wrong content");
        }
        if (trace.cancelled != null
            && response.latest() > trace.cancelled.latest() + SLACK + allowance
            && !isSlowReader(trace)) {
          double lateMs = millis(response.latest() - trace.cancelled.latest());
          add(trace, String.format("response %.0f ms after its cancel", lateMs));
        }
      }
    }

    private static double budgetNanos(RequestTrace trace) {
      return trace.sent.number(EventField.BUDGET_MS) * Journal.NANOS_PER_MS;
    }

    private long tolerance(RequestTrace trace) {
      return SLACK
          + STALL_ALLOWANCE
          + allowance
          + (isSlowReader(trace) ? SLOW_READER_ALLOWANCE : 0);
    }

    private long lastResponseTime(RequestTrace trace) {
      return (long) (trace.sent.latest() + budgetNanos(trace) + tolerance(trace));
    }

    /** A client that gives up after this time should have got a response before. */
    private static boolean clientGaveUpBefore(RequestTrace trace, long time) {
      return (trace.cancelled != null && trace.cancelled.latest() < time)
          || (trace.clientLeft != null && trace.clientLeft.latest() < time);
    }

    private void checkInTime(RequestTrace trace) {
      if (trace.responses.isEmpty()) {
        if (!mayStayUnanswered(trace)) {
          add(
              trace,
              String.format(
                  "no response; %d attempts, connection %s",
                  trace.attempts.size(), connectionEnd(trace)));
        }
        return;
      }
      long late =
          (long) (trace.responses.get(0).latest() - trace.sent.latest() - budgetNanos(trace));
      if (late > tolerance(trace)) {
        add(trace, String.format("response %.0f ms after its time", millis(late)));
      }
    }

    private boolean mayStayUnanswered(RequestTrace trace) {
      boolean lateAfterTermination = trace.sent.latest() > terminatedAt + ACCEPTED_AFTER_TERM;
      return trace.attempts.isEmpty() && (lateAfterTermination || crossedClose(trace));
    }

    private boolean crossedClose(RequestTrace trace) {
      return trace.connectionEnded != null
          && trace.sent.latest() > trace.connectionEnded.latest() - CLOSE_RACE - allowance
          && noOtherRequestWasOpen(trace);
    }

    /** The gateway may close a connection only while no request is open on it. */
    private boolean noOtherRequestWasOpen(RequestTrace trace) {
      return traces.stream()
          .filter(other -> other != trace && isUnansweredOnSameConnection(other, trace))
          .allMatch(
              other ->
                  other.attempts.isEmpty()
                      && other.sent.latest()
                          > trace.connectionEnded.latest() - CLOSE_RACE - CLOSE_RACE_OTHERS);
    }

    private static boolean isUnansweredOnSameConnection(RequestTrace other, RequestTrace trace) {
      return other.sent.location().equals(trace.sent.location())
          && other.responses.isEmpty()
          && other.cancelled == null;
    }

    private static String connectionEnd(RequestTrace trace) {
      if (trace.connectionEnded == null) {
        return "left open";
      }
      long millis = (trace.connectionEnded.latest() - trace.sent.latest()) / Journal.NANOS_PER_MS;
      return String.format(
          "ended %d ms after it was sent: %s", millis, trace.connectionEnded.field(EventField.HOW));
    }

    private static boolean isSlowReader(RequestTrace trace) {
      return trace.sent.has(EventField.SLOW_READER);
    }

    private static double millis(long nanos) {
      return nanos / 1e6;
    }
  }
}
