package tamarindroute.faultinjection;

import org.junit.jupiter.api.Test;

class DuplicateExecutionCheckTest extends JournalFixture {

  private final InvariantCheck check = new DuplicateExecutionCheck();

  @Test
  void detectsASecondExecution() {
    sent(RequestClass.NON_IDEMPOTENT);
    attempted(5, 1, "s-a");
    responded(7, 1, "s-a", "EIO");
    attempted(9, 2, "s-b");
    assertViolation(check, "may both have been executed");
  }

  @Test
  void proofAfterTheNextAttemptDoesNotCount() {
    sent(RequestClass.NON_IDEMPOTENT);
    attempted(5, 1, "s-a");
    attempted(9, 2, "s-b");
    responded(12, 1, "s-a", "NOENT");
    assertViolation(check, "may both have been executed");
  }

  @Test
  void keyedRequestMayBeRepeatedWithinItsWindowOnly() {
    sent(RequestClass.KEYED);
    attempted(5, 1, "s-a");
    attempted(200, 2, "s-b");
    assertNoViolation(check);
    attempted(800, 3, "s-b");
    assertViolation(check, "more than the window");
  }

  @Test
  void detectsAKeyedRequestThatLeavesItsCell() {
    sent(RequestClass.KEYED_IN_CELL);
    // Neighbouring letters are in different cells.
    attempted(5, 1, "s-a");
    attempted(50, 2, "s-b");
    assertViolation(check, "two cells");
  }

  @Test
  void detectsARejectOfARequestThatMayHaveBeenExecuted() {
    sent(RequestClass.NON_IDEMPOTENT);
    attempted(5, 1, "s-a");
    answered(50, "NAK");
    assertViolation(check, "rejected though");
  }

  @Test
  void rejectOfARequestThatWasNotExecutedIsValid() {
    sent(RequestClass.NON_IDEMPOTENT);
    attempted(5, 1, "s-a");
    responded(7, 1, "s-a", "AGAIN");
    answered(50, "NAK");
    assertNoViolation(check);
  }
}
