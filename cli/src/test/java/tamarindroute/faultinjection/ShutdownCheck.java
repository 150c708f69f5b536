package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * After SIGTERM the program ends by itself and in time, and forwards nothing that a client wrote
 * after the end of its connection. {@link SingleResponseCheck} verifies that everything accepted
 * before is answered.
 */
final class ShutdownCheck implements InvariantCheck {

  /** SIGKILL follows SIGTERM no sooner than this. */
  private static final long LONGEST_SHUTDOWN =
      (ScenarioContext.LONGEST_DEADLINE_MS + 700) * Journal.NANOS_PER_MS;

  /** 0 for an end in order, 143 as Java ends by default on SIGTERM. */
  private static final Set<String> EXIT_CODES = Set.of("0", "143");

  @Override
  public List<Violation> violations(Journal journal) {
    List<Violation> violations = new ArrayList<>();
    checkExit(journal, violations);
    for (RequestTrace trace : RequestTrace.of(journal)) {
      if (trace.connectionEnded != null
          && trace.sent.earliest() > trace.connectionEnded.latest()
          && !trace.attempts.isEmpty()) {
        violations.add(
            violation(
                trace.requestId,
                "forwarded though its connection had ended before it was written"));
      }
    }
    return violations;
  }

  private void checkExit(Journal journal, List<Violation> violations) {
    JournalEvent signal = first(journal, EventKind.TERMINATION_SIGNALLED);
    JournalEvent exit = first(journal, EventKind.PROCESS_EXITED);
    if (signal == null || exit == null) {
      violations.add(violation("", "no end in time: the program did not end"));
    } else if (exit.latest() - signal.latest() > LONGEST_SHUTDOWN + journal.allowance()) {
      long millis = (exit.latest() - signal.latest()) / Journal.NANOS_PER_MS;
      violations.add(violation("", "no end in time: " + millis + " ms"));
    }
    if (exit != null && !EXIT_CODES.contains(exit.field(EventField.EXIT_CODE))) {
      violations.add(violation("", "ended with " + exit.field(EventField.EXIT_CODE)));
    }
  }

  private static JournalEvent first(Journal journal, EventKind kind) {
    return journal.eventsOf(kind).stream().findFirst().orElse(null);
  }
}
