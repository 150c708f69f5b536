package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.List;
import tamarindroute.faultinjection.RequestTrace.Attempt;

/**
 * No effect happens twice. After an attempt that may have been executed, a non-idempotent request
 * is not sent again, and a keyed one only within its deduplication window and scope. A reject is
 * sent only where a client can safely retry.
 */
final class DuplicateExecutionCheck implements InvariantCheck {

  private static final long WINDOW = ScenarioContext.DEDUPLICATION_WINDOW_MS * Journal.NANOS_PER_MS;

  @Override
  public List<Violation> violations(Journal journal) {
    List<Violation> violations = new ArrayList<>();
    long allowance = journal.allowance();
    for (RequestTrace trace : RequestTrace.of(journal)) {
      if (!trace.requestClass().idempotent) {
        checkAttempts(trace, allowance, violations);
        checkReject(trace, violations);
      }
    }
    return violations;
  }

  private void checkAttempts(RequestTrace trace, long allowance, List<Violation> violations) {
    for (int i = 0; i < trace.attempts.size(); i++) {
      for (int k = 0; k < i; k++) {
        Attempt one = trace.attempts.get(k);
        Attempt other = trace.attempts.get(i);
        if (!isSafelyBefore(one, other) && !isSafelyBefore(other, one)) {
          checkPair(trace, one, other, allowance, violations);
        }
      }
    }
  }

  /** Whether the first can have proved that it was not executed before the second arrived. */
  private static boolean isSafelyBefore(Attempt first, Attempt second) {
    return first.received.earliest() < second.received.latest()
        && first.provenNotExecutedAt() <= second.received.latest();
  }

  private void checkPair(
      RequestTrace trace, Attempt one, Attempt other, long allowance, List<Violation> violations) {
    String which = one.number() + " and " + other.number();
    long gap =
        Math.max(
            one.received.earliest() - other.received.latest(),
            other.received.earliest() - one.received.latest());
    if (!trace.requestClass().keyed) {
      violations.add(
          violation(trace.requestId, "attempts " + which + " may both have been executed"));
    } else if (gap > WINDOW + SLACK + allowance) {
      violations.add(
          violation(
              trace.requestId,
              String.format(
                  "attempts %s are %.0f ms apart, more than the window", which, gap / 1e6)));
    } else if (!trace.requestClass().rejectAlwaysSafe && cell(one) != cell(other)) {
      violations.add(violation(trace.requestId, "attempts " + which + " are in two cells"));
    }
  }

  private static int cell(Attempt attempt) {
    return ScenarioContext.cellOf(attempt.received.location());
  }

  private void checkReject(RequestTrace trace, List<Violation> violations) {
    if (trace.requestClass().rejectAlwaysSafe
        || trace.responses.isEmpty()
        || !trace.responses.get(0).field(EventField.STATUS).equals("NAK")) {
      return;
    }
    long rejected = trace.responses.get(0).latest();
    trace.attempts.stream()
        .filter(
            attempt ->
                attempt.received.latest() < rejected && attempt.provenNotExecutedAt() > rejected)
        .findFirst()
        .ifPresent(
            attempt ->
                violations.add(
                    violation(
                        trace.requestId,
                        "rejected though attempt "
                            + attempt.number()
                            + " may have been executed")));
  }
}
