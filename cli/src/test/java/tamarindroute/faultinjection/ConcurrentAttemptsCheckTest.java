package tamarindroute.faultinjection;

import org.junit.jupiter.api.Test;

class ConcurrentAttemptsCheckTest extends JournalFixture {

  private final InvariantCheck check = new ConcurrentAttemptsCheck();

  private void cancelled(long millis, int attempt, String cache) {
    at(millis, EventKind.CANCEL_RECEIVED, cache)
        .request(REQUEST)
        .with(EventField.ATTEMPT, attempt)
        .add();
  }

  @Test
  void detectsConcurrentAttemptsUnlessSecondCopiesAreAllowed() {
    sent(RequestClass.CACHEABLE);
    attempted(5, 1, "s-a");
    attempted(30, 2, "s-b");
    cancelled(400, 1, "s-a");
    assertViolation(check, "was open");
    at(0, EventKind.NOTE, "scenario").with(EventField.SECOND_COPIES, true).add();
    assertNoViolation(check);
  }

  @Test
  void sequentialAttemptsAreValid() {
    sent(RequestClass.CACHEABLE);
    attempted(5, 1, "s-a");
    cancelled(30, 1, "s-a");
    attempted(30, 2, "s-b");
    assertNoViolation(check);
  }
}
