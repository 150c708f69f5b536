package tamarindroute.faultinjection;

import java.util.List;

/** One invariant, checked by means of the journal alone. */
interface InvariantCheck {

  /** Tolerance for times that the protocol limits. */
  long SLACK = 50 * Journal.NANOS_PER_MS;

  /**
   * A violated invariant.
   *
   * @param requestId the request concerned, or an empty string
   */
  record Violation(String check, String requestId, String description) {

    @Override
    public String toString() {
      return check + " " + requestId + ": " + description;
    }
  }

  /** All violations in a journal. */
  List<Violation> violations(Journal journal);

  default Violation violation(String requestId, String description) {
    return new Violation(getClass().getSimpleName(), requestId, description);
  }
}
