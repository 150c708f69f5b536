package tamarindroute.faultinjection;

import org.junit.jupiter.api.Test;

class DrainCheckTest extends JournalFixture {

  private final InvariantCheck check = new DrainCheck();

  private void delivered() {
    at(20, EventKind.FEED_EVENT_SENT, "feed").with(EventField.EVENT_NUMBER, 2).add();
  }

  private void drained() {
    sent(RequestClass.CACHEABLE);
    at(10, EventKind.FEED_EVENT_CREATED, "feed")
        .with(EventField.EVENT_NUMBER, 2)
        .with(EventField.DRAINED_CACHE, "s-a")
        .with(EventField.STATE, "draining")
        .add();
  }

  @Test
  void detectsAnAttemptAtADrainingCache() {
    drained();
    delivered();
    attempted(600, 1, "s-a");
    assertNoViolation(check);
    attempted(900, 2, "s-a");
    assertViolation(check, "reported as draining");
  }

  @Test
  void detectsADrainingSource() {
    drained();
    delivered();
    attempt(900, 1, "s-b").with(EventField.PARENT, "s-a").add();
    assertViolation(check, "as the source");
  }

  @Test
  void undeliveredEventCountsAsDeliveredAfterSevenSeconds() {
    drained();
    attempted(7000, 1, "s-a");
    assertNoViolation(check);
    attempted(8000, 2, "s-a");
    assertViolation(check, "reported as draining");
  }
}
