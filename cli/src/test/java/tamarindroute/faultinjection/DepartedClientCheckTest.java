package tamarindroute.faultinjection;

import org.junit.jupiter.api.Test;

class DepartedClientCheckTest extends JournalFixture {

  private final InvariantCheck check = new DepartedClientCheck();

  @Test
  void detectsAnAttemptForADepartedClient() {
    sent(RequestClass.CACHEABLE);
    atClient(100, EventKind.CLIENT_LEFT).with(EventField.HOW, "reset").add();
    attempted(240, 1, "s-a");
    assertNoViolation(check);
    attempted(360, 2, "s-a");
    assertViolation(check, "attempt started");
  }

  @Test
  void attemptThatWasReadLateMayHaveArrivedBefore() {
    sent(RequestClass.CACHEABLE);
    atClient(100, EventKind.REQUEST_CANCELLED).add();
    between(50, 800, EventKind.ATTEMPT_RECEIVED, "s-a")
        .request(REQUEST)
        .with(EventField.ATTEMPT, 1)
        .add();
    assertNoViolation(check);
  }

  @Test
  void detectsAnAttemptAfterTheFinalResponse() {
    sent(RequestClass.CACHEABLE);
    answered(50, "FAIL");
    attempted(400, 1, "s-a");
    assertViolation(check, "attempt started");
  }
}
