package tamarindroute.faultinjection;

import java.util.ArrayList;
import java.util.List;
import tamarindroute.faultinjection.RequestTrace.Attempt;

/**
 * After the feed reported a purge, and a grace period, each attempt limits the age of the copies
 * that it accepts to those since the purge, and no client gets an older one from it.
 */
final class PurgeCheck implements InvariantCheck {

  private static final long GRACE = ScenarioContext.PURGE_GRACE_MS * Journal.NANOS_PER_MS;
  private static final long EFFECT_DURATION =
      ScenarioContext.PURGE_EFFECT_MS * Journal.NANOS_PER_MS;

  @Override
  public List<Violation> violations(Journal journal) {
    List<Violation> violations = new ArrayList<>();
    List<RequestTrace> traces = RequestTrace.of(journal);
    for (JournalEvent purge : journal.eventsOf(EventKind.FEED_EVENT_CREATED)) {
      if (!purge.has(EventField.PURGED_AT_MS)) {
        continue;
      }
      long delivered = FeedDelivery.deliveredAt(journal, purge);
      long from = delivered + GRACE + SLACK + journal.allowance();
      long until = purge.latest() + EFFECT_DURATION;
      for (RequestTrace trace : traces) {
        if (concerns(purge, trace)) {
          trace.attempts.stream()
              .filter(
                  attempt -> trace.startedAt(attempt) > from && attempt.received.latest() < until)
              .forEach(attempt -> checkAttempt(purge, trace, attempt, violations));
        }
      }
    }
    return violations;
  }

  private static boolean concerns(JournalEvent purge, RequestTrace trace) {
    String object = trace.sent.field(EventField.OBJECT);
    String group = String.valueOf(TestObjects.purgeGroup(object));
    return trace.requestClass() == RequestClass.CACHEABLE
        && (purge.field(EventField.OBJECT).equals(object)
            || purge.field(EventField.PURGE_GROUP).equals(group));
  }

  private void checkAttempt(
      JournalEvent purge, RequestTrace trace, Attempt attempt, List<Violation> violations) {
    // On a busy machine time may pass between the purge and its journal event.
    double ageAtEventMs =
        purge.has(EventField.PURGE_AGE_MS) ? purge.number(EventField.PURGE_AGE_MS) : 0;
    double sincePurgeMs = (attempt.received.latest() - purge.latest()) / 1e6 + ageAtEventMs;
    String maxAge = attempt.received.field(EventField.MAX_AGE_MS);
    if (maxAge.isEmpty() || Double.parseDouble(maxAge) > sincePurgeMs + SLACK / 1e6) {
      violations.add(
          violation(
              trace.requestId,
              String.format(
                  "attempt %s accepts copies of '%s' ms, %.0f ms after a purge",
                  attempt.number(), maxAge, sincePurgeMs)));
    }
    if (isServedTo(trace, attempt)) {
      checkServedCopy(purge, trace, attempt, violations);
    }
  }

  private static boolean isServedTo(RequestTrace trace, Attempt attempt) {
    return attempt.response != null
        && trace.responses.stream()
            .anyMatch(
                response ->
                    response.field(EventField.STATUS).equals("ACK")
                        && response
                            .field(EventField.VERSION)
                            .equals(attempt.response.field(EventField.DIGEST)));
  }

  private void checkServedCopy(
      JournalEvent purge, RequestTrace trace, Attempt attempt, List<Violation> violations) {
    double purgedAtMs = purge.number(EventField.PURGED_AT_MS);
    double datedMs = attempt.response.number(EventField.DATED_MS);
    if (datedMs < purgedAtMs) {
      violations.add(
          violation(
              trace.requestId,
              String.format(
                  "served a copy that is %.0f ms older than the purge", purgedAtMs - datedMs)));
    }
  }
}
