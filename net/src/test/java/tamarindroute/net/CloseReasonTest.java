package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tamarindroute.decision.Outcome.Result;

/** The results of attempts by the reasons why their connections ended. */
class CloseReasonTest {

  /**
   * Only a request that was not written completely, or had no connection, is known not to be
   * executed.
   */
  @ParameterizedTest
  @EnumSource(CloseReason.class)
  void aRequestWrittenCompletelyMayHaveRun(CloseReason closeReason) {
    assertThat(closeReason.result(false).provesNotExecuted).isTrue();
    boolean neverEstablished =
        List.of(
                CloseReason.REFUSED,
                CloseReason.UNREACHABLE,
                CloseReason.TIMED_OUT,
                CloseReason.NO_DESCRIPTOR,
                CloseReason.NO_LONGER_WANTED)
            .contains(closeReason);
    assertThat(closeReason.result(true).provesNotExecuted).isEqualTo(neverEstablished);
    assertThat(CloseReason.RESET.result(true)).isEqualTo(Result.CONNECTION_LOST);
    assertThat(CloseReason.REFUSED.result(false)).isEqualTo(Result.CONNECT_FAILED);
  }
}
