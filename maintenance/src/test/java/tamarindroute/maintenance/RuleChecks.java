package tamarindroute.maintenance;

/** Records the first violation of a rule of the model. */
final class RuleChecks {
  private String breach;

  /** Records the violation unless the rule is satisfied or a violation is already recorded. */
  void check(boolean satisfied, String violation) {
    if (!satisfied && breach == null) {
      breach = violation;
    }
  }

  /** Whether no violation is recorded. */
  boolean allSatisfied() {
    return breach == null;
  }

  /** Returns the first violation, or null. */
  String breach() {
    return breach;
  }
}
