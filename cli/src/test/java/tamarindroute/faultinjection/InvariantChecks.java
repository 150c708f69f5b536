package tamarindroute.faultinjection;

import java.util.List;
import java.util.stream.Collectors;
import tamarindroute.faultinjection.InvariantCheck.Violation;

/** All invariant checks, and the description of violations. */
final class InvariantChecks {

  private static final int MAX_DESCRIBED = 8;

  private static final List<InvariantCheck> ALL =
      List.of(
          new SingleResponseCheck(),
          new DepartedClientCheck(),
          new DuplicateExecutionCheck(),
          new ConcurrentAttemptsCheck(),
          new DrainCheck(),
          new PurgeCheck(),
          new NotModifiedCheck(),
          new ShutdownCheck());

  private InvariantChecks() {}

  /** The violations of all checks. */
  static List<Violation> violations(Journal journal) {
    return ALL.stream().flatMap(check -> check.violations(journal).stream()).toList();
  }

  /** The first violations, each with the journal's lines of its request. */
  static String describe(Journal journal, List<Violation> violations) {
    return violations.stream()
        .limit(MAX_DESCRIBED)
        .map(violation -> violation + "\n" + requestLines(journal, violation))
        .collect(Collectors.joining("\n"));
  }

  private static String requestLines(Journal journal, Violation violation) {
    return violation.requestId().isEmpty() ? "" : journal.describe(violation.requestId());
  }
}
