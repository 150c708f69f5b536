package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import tamarindroute.faultinjection.RequestTrace.Attempt;

/** Two attempts of a request are open at once only where the settings allow second copies. */
final class ConcurrentAttemptsCheck implements InvariantCheck {

  @Override
  public List<Violation> violations(Journal journal) {
    List<Violation> violations = new ArrayList<>();
    if (secondCopiesAllowed(journal)) {
      return violations;
    }
    long allowance = journal.allowance();
    for (RequestTrace trace : RequestTrace.of(journal)) {
      for (Attempt later : trace.attempts) {
        for (Attempt earlier : trace.attempts) {
          if (earlier.received.latest() < later.received.earliest()
              && earliestEnd(earlier) > later.received.latest() + SLACK + allowance) {
            violations.add(
                violation(
                    trace.requestId,
                    "attempt "
                        + later.number()
                        + " was received while attempt "
                        + earlier.number()
                        + " was open"));
          }
        }
      }
    }
    return violations;
  }

  private static boolean secondCopiesAllowed(Journal journal) {
    return journal.eventsOf(EventKind.NOTE).stream()
        .anyMatch(event -> event.field(EventField.SECOND_COPIES).equals("true"));
  }

  private static long earliestEnd(Attempt attempt) {
    return Stream.of(attempt.response, attempt.cancelled, attempt.connectionLost)
        .filter(Objects::nonNull)
        .mapToLong(JournalEvent::earliest)
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
