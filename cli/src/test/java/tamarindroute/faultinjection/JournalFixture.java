package tamarindroute.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import tamarindroute.faultinjection.InvariantCheck.Violation;

/**
 * A journal written by hand, with one request, for the tests of the checks. Times are milliseconds
 * since the journal's start.
 */
abstract class JournalFixture {

  static final String REQUEST = "00000000000000aa";
  static final String CONNECTION = "c/1";
  static final String OBJECT = "000000000000ab01";
  static final String DIGEST = "d1";
  static final long DATED_MS = 500;
  static final int BUDGET_MS = 1000;

  final Journal journal = new Journal(0);

  /** Begins an event at one time. */
  final Journal.Entry at(long millis, EventKind kind, String location) {
    return between(millis, millis, kind, location);
  }

  /** Begins an event whose time is known to lie between two times. */
  final Journal.Entry between(long earliest, long latest, EventKind kind, String location) {
    return journal
        .event(kind, location)
        .between(earliest * Journal.NANOS_PER_MS, latest * Journal.NANOS_PER_MS);
  }

  /** Adds the details of the request's sending to an event. */
  final Journal.Entry describeRequest(Journal.Entry entry, RequestClass requestClass) {
    return entry
        .request(REQUEST)
        .with(EventField.REQUEST_CLASS, requestClass.configuredName)
        .with(EventField.BUDGET_MS, BUDGET_MS)
        .with(EventField.OBJECT, OBJECT)
        .with(EventField.PART, 0);
  }

  /** The client sends the request at 0 ms. */
  final void sent(RequestClass requestClass) {
    describeRequest(at(0, EventKind.REQUEST_SENT, CONNECTION), requestClass).add();
  }

  /** A client that holds a copy sends the request at 0 ms. */
  final void sentWithCopy() {
    describeRequest(at(0, EventKind.REQUEST_SENT, CONNECTION), RequestClass.CACHEABLE)
        .with(EventField.VERSION, DIGEST)
        .add();
  }

  /** An event of the request at the client. */
  final Journal.Entry atClient(long millis, EventKind kind) {
    return at(millis, kind, CONNECTION).request(REQUEST);
  }

  final Journal.Entry attempt(long millis, int number, String cache) {
    return at(millis, EventKind.ATTEMPT_RECEIVED, cache)
        .request(REQUEST)
        .with(EventField.ATTEMPT, number);
  }

  final void attempted(long millis, int number, String cache) {
    attempt(millis, number, cache).add();
  }

  /** A cache responds with a status. */
  final void responded(long millis, int attempt, String cache, String status) {
    at(millis, EventKind.RESPONSE_SENT, cache)
        .request(REQUEST)
        .with(EventField.ATTEMPT, attempt)
        .with(EventField.STATUS, status)
        .with(EventField.DIGEST, DIGEST)
        .with(EventField.DATED_MS, DATED_MS)
        .add();
  }

  /** The client gets a response with a status. */
  final void answered(long millis, String status) {
    atClient(millis, EventKind.RESPONSE_RECEIVED)
        .with(EventField.STATUS, status)
        .with(EventField.CONTENT_VALID, true)
        .with(EventField.VERSION, DIGEST)
        .add();
  }

  final void assertViolation(InvariantCheck check, String description) {
    assertThat(check.violations(journal))
        .extracting(Violation::description)
        .anySatisfy(found -> assertThat(found).contains(description));
  }

  final void assertNoViolation(InvariantCheck check) {
    assertThat(descriptions(check)).isEmpty();
  }

  final List<String> descriptions(InvariantCheck check) {
    return check.violations(journal).stream().map(Violation::description).toList();
  }
}
