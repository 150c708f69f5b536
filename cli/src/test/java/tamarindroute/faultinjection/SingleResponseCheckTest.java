package tamarindroute.faultinjection;

import org.junit.jupiter.api.Test;

class SingleResponseCheckTest extends JournalFixture {

  private final InvariantCheck check = new SingleResponseCheck();

  @Test
  void detectsAMissingResponse() {
    sent(RequestClass.CACHEABLE);
    assertViolation(check, "no response");
  }

  @Test
  void endOfTheConnectionIsNoResponse() {
    sent(RequestClass.CACHEABLE);
    atClient(500, EventKind.CONNECTION_ENDED).with(EventField.HOW, "reset").add();
    assertViolation(check, "no response");
  }

  @Test
  void requestThatCrossesACloseNeedsNoResponseUnlessItWasForwarded() {
    sent(RequestClass.CACHEABLE);
    atClient(10, EventKind.CONNECTION_ENDED).with(EventField.HOW, "closed").add();
    assertNoViolation(check);
    attempted(8, 1, "s-a");
    assertViolation(check, "no response");
  }

  @Test
  void clientThatLeavesAfterItsTimeNeededAResponse() {
    sent(RequestClass.CACHEABLE);
    atClient(3000, EventKind.CLIENT_LEFT).with(EventField.HOW, "closed").add();
    assertViolation(check, "no response");
  }

  @Test
  void clientThatLeavesInTimeNeedsNoResponse() {
    sent(RequestClass.CACHEABLE);
    atClient(700, EventKind.CLIENT_LEFT).with(EventField.HOW, "closed").add();
    assertNoViolation(check);
  }

  @Test
  void detectsTwoResponses() {
    sent(RequestClass.CACHEABLE);
    answered(20, "ACK");
    answered(30, "FAIL");
    assertViolation(check, "2 responses");
  }

  @Test
  void detectsALateResponse() {
    sent(RequestClass.CACHEABLE);
    answered(1600, "FAIL");
    assertViolation(check, "after its time");
  }

  @Test
  void detectsWrongContent() {
    sent(RequestClass.CACHEABLE);
    atClient(30, EventKind.RESPONSE_RECEIVED)
        .with(EventField.STATUS, "ACK")
        .with(EventField.CONTENT_VALID, false)
        .add();
    assertViolation(check, "wrong content");
  }

  @Test
  void detectsAnUnsolicitedResponse() {
    at(30, EventKind.RESPONSE_RECEIVED, CONNECTION)
        .with(EventField.STATUS, "ACK")
        .with(EventField.UNKNOWN_TAG, "7")
        .add();
    assertViolation(check, "response to no request");
  }

  @Test
  void detectsAResponseLongAfterTheCancel() {
    sent(RequestClass.CACHEABLE);
    atClient(100, EventKind.REQUEST_CANCELLED).add();
    answered(500, "FAIL");
    assertViolation(check, "after its cancel");
  }

  @Test
  void observedStallsExtendTheTime() {
    sent(RequestClass.CACHEABLE);
    answered(1600, "FAIL");
    at(1100, EventKind.STALL, "machine").with(EventField.DURATION_MS, 150).add();
    assertNoViolation(check);
  }
}
