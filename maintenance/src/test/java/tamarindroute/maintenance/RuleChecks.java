package tamarindroute.maintenance;

/** Keeps the first breach of a rule. */
final class RuleChecks {
  private String breach;

  void check(boolean holds, String otherwise) {
    if (!holds && breach == null) {
      breach = otherwise;
    }
  }

  /** Whether no rule was broken so far. */
  boolean hold() {
    return breach == null;
  }

  /** The first breach, or null. */
  String breach() {
    return breach;
  }
}
