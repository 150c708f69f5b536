package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.List;

/**
 * After the feed reported a cache as draining or gone, and a grace period, no attempt goes to it or
 * names it as a source.
 */
final class DrainCheck implements InvariantCheck {

  private static final long GRACE = ScenarioContext.DRAIN_GRACE_MS * Journal.NANOS_PER_MS;

  @Override
  public List<Violation> violations(Journal journal) {
    List<Violation> violations = new ArrayList<>();
    for (JournalEvent drain : journal.eventsOf(EventKind.FEED_EVENT_CREATED)) {
      if (drain.has(EventField.DRAINED_CACHE)) {
        checkAttemptsAfter(journal, drain, violations);
      }
    }
    return violations;
  }

  private void checkAttemptsAfter(Journal journal, JournalEvent drain, List<Violation> violations) {
    String cache = drain.field(EventField.DRAINED_CACHE);
    long delivered = FeedDelivery.deliveredAt(journal, drain);
    long until = delivered + GRACE + SLACK + journal.allowance();
    for (JournalEvent attempt : journal.eventsOf(EventKind.ATTEMPT_RECEIVED)) {
      boolean toCache = attempt.location().equals(cache);
      boolean fromCache = attempt.field(EventField.PARENT).equals(cache);
      if (attempt.earliest() > until && (toCache || fromCache)) {
        violations.add(
            violation(
                attempt.requestId(),
                String.format(
                    "sent %.0f ms after %s was reported as %s%s",
                    (attempt.earliest() - delivered) / 1e6,
                    cache,
                    drain.field(EventField.STATE),
                    toCache ? "" : ", which it names as the source")));
      }
    }
  }
}
