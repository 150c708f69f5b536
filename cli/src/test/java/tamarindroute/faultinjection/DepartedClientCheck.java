package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * No attempt begins more than 0.1 s after its client closed or reset the connection or cancelled
 * the request, nor after the final response.
 */
final class DepartedClientCheck implements InvariantCheck {

  private static final long LATEST_ATTEMPT = 100 * Journal.NANOS_PER_MS;

  @Override
  public List<Violation> violations(Journal journal) {
    List<Violation> violations = new ArrayList<>();
    long allowance = journal.allowance();
    for (RequestTrace trace : RequestTrace.of(journal)) {
      JournalEvent end = end(trace);
      for (RequestTrace.Attempt attempt : trace.attempts) {
        if (end != null && trace.startedAt(attempt) > end.latest() + LATEST_ATTEMPT + allowance) {
          violations.add(
              violation(
                  trace.requestId,
                  String.format(
                      "attempt started %.0f ms after %s %s",
                      (trace.startedAt(attempt) - end.latest()) / 1e6,
                      end.kind(),
                      end.field(EventField.HOW))));
        }
      }
    }
    return violations;
  }

  /** What ended the request first; null if nothing did. */
  private static JournalEvent end(RequestTrace trace) {
    return Stream.concat(
            Stream.of(trace.cancelled, trace.clientLeft).filter(Objects::nonNull),
            trace.responses.stream())
        .min(Comparator.comparingLong(JournalEvent::latest))
        .orElse(null);
  }
}
