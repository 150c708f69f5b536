package tamarindroute.faultinjection;

import org.junit.jupiter.api.Test;

class PurgeCheckTest extends JournalFixture {

  private final InvariantCheck check = new PurgeCheck();

  private void delivered() {
    at(20, EventKind.FEED_EVENT_SENT, "feed").with(EventField.EVENT_NUMBER, 2).add();
  }

  private void purged() {
    sent(RequestClass.CACHEABLE);
    at(10, EventKind.FEED_EVENT_CREATED, "feed")
        .with(EventField.EVENT_NUMBER, 2)
        .with(EventField.OBJECT, OBJECT)
        .with(EventField.PURGED_AT_MS, 700)
        .add();
    delivered();
  }

  @Test
  void detectsAnAttemptThatAcceptsCopiesFromBeforeAPurge() {
    purged();
    attempt(1500, 1, "s-a").with(EventField.MAX_AGE_MS, 1400).add();
    assertNoViolation(check);
    attempt(1500, 2, "s-a").with(EventField.MAX_AGE_MS, 3000).add();
    assertViolation(check, "accepts copies");
  }

  @Test
  void detectsAnAttemptWithoutAnAgeLimit() {
    purged();
    attempted(1500, 1, "s-a");
    assertViolation(check, "accepts copies");
  }

  @Test
  void detectsAServedCopyFromBeforeAPurge() {
    purged();
    attempt(1500, 1, "s-a").with(EventField.MAX_AGE_MS, 1400).add();
    responded(1510, 1, "s-a", "ACK");
    answered(1512, "ACK");
    assertViolation(check, "older than the purge");
  }
}
