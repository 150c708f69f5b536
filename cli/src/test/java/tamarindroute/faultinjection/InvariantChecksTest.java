package tamarindroute.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** All checks together, and those with few cases. */
class InvariantChecksTest extends JournalFixture {

  private final InvariantCheck notModifiedCheck = new NotModifiedCheck();
  private final InvariantCheck shutdownCheck = new ShutdownCheck();

  private void terminated() {
    at(0, EventKind.TERMINATION_SIGNALLED, "scenario").add();
  }

  private void exited(long millis, int exitCode) {
    at(millis, EventKind.PROCESS_EXITED, "scenario").with(EventField.EXIT_CODE, exitCode).add();
  }

  private void answeredNotModified() {
    atClient(20, EventKind.RESPONSE_RECEIVED)
        .with(EventField.STATUS, "ACK")
        .with(EventField.NOT_MODIFIED, 1)
        .with(EventField.VERSION, DIGEST)
        .add();
  }

  @Test
  void validScenarioHasNoViolations() {
    terminated();
    sent(RequestClass.NON_IDEMPOTENT);
    attempted(5, 1, "s-a");
    responded(9, 1, "s-a", "NOENT");
    attempted(12, 2, "s-b");
    responded(20, 2, "s-b", "ACK");
    answered(22, "ACK");
    exited(900, 143);
    assertThat(InvariantChecks.violations(journal)).isEmpty();
  }

  @Test
  void detectsACopyThatNoCacheConfirmed() {
    sentWithCopy();
    answeredNotModified();
    assertViolation(notModifiedCheck, "no cache confirmed");
    attempted(5, 1, "s-a");
    at(9, EventKind.RESPONSE_SENT, "s-a")
        .request(REQUEST)
        .with(EventField.ATTEMPT, 1)
        .with(EventField.STATUS, "NOMOD")
        .add();
    assertViolation(notModifiedCheck, "no cache confirmed");
  }

  @Test
  void copyThatACacheConfirmedIsValid() {
    sentWithCopy();
    attempted(5, 1, "s-a");
    responded(9, 1, "s-a", "NOMOD");
    answeredNotModified();
    assertNoViolation(notModifiedCheck);
  }

  @Test
  void detectsAProgramThatDoesNotEnd() {
    terminated();
    exited(5000, -1);
    assertThat(descriptions(shutdownCheck)).hasSize(2);
  }

  @Test
  void detectsAForwardedRequestThatWasSentAfterTheEndOfItsConnection() {
    terminated();
    atClient(800, EventKind.CONNECTION_ENDED).with(EventField.HOW, "closed").add();
    describeRequest(between(810, 811, EventKind.REQUEST_SENT, CONNECTION), RequestClass.CACHEABLE)
        .add();
    attempted(820, 1, "s-a");
    exited(900, 143);
    assertViolation(shutdownCheck, "forwarded though");
  }
}
