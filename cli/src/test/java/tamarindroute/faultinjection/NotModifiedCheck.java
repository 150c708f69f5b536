package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.List;

/**
 * A client is told that its copy is current only if a cache confirmed that copy for this request.
 */
final class NotModifiedCheck implements InvariantCheck {

  @Override
  public List<Violation> violations(Journal journal) {
    List<Violation> violations = new ArrayList<>();
    for (RequestTrace trace : RequestTrace.of(journal)) {
      String copy = trace.sent.field(EventField.VERSION);
      for (JournalEvent response : trace.responses) {
        if (response.field(EventField.NOT_MODIFIED).equals("1") && !isConfirmed(trace, copy)) {
          violations.add(
              violation(
                  trace.requestId,
                  "told that copy '" + copy + "' is current, which no cache confirmed"));
        }
      }
    }
    return violations;
  }

  private static boolean isConfirmed(RequestTrace trace, String copy) {
    return !copy.isEmpty()
        && trace.attempts.stream()
            .anyMatch(
                attempt ->
                    attempt.response != null
                        && attempt.response.field(EventField.STATUS).equals("NOMOD")
                        && attempt.response.field(EventField.DIGEST).equals(copy));
  }
}
