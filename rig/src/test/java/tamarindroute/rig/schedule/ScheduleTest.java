package tamarindroute.rig.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.rig.proxy.LinkFaults;

/**
 * Each action of a schedule reaches its target as meant, and a malformed line is refused with its
 * place.
 */
class ScheduleTest {

  /** Records the calls. */
  private static final class Recorder implements ActionTarget {

    final List<String> calls = new ArrayList<>();

    @Override
    public void changeFaults(List<String> from, List<String> to, UnaryOperator<LinkFaults> change) {
      LinkFaults faults = change.apply(LinkFaults.NONE);
      calls.add(
          from
              + ">"
              + to
              + " "
              + faults.loss()
              + " "
              + faults.delay().toMillis()
              + " "
              + faults.jitter().toMillis()
              + " "
              + faults.duplication()
              + " "
              + faults.cut());
    }

    @Override
    public void resetConnections() {
      calls.add("reset");
    }

    @Override
    public void pause(String process, Duration length) {
      calls.add("pause " + process + " " + length);
    }

    @Override
    public void throttle(String process, Duration length) {
      calls.add("throttle " + process + " " + length);
    }

    @Override
    public void kill(String process) {
      calls.add("kill " + process);
    }

    @Override
    public void terminate(String process) {
      calls.add("terminate " + process);
    }

    @Override
    public void start(String process, Duration clockOffset) {
      calls.add("start " + process + " " + clockOffset);
    }

    @Override
    public void announce(String cache, String state, List<String> gateways) {
      calls.add("announce " + cache + " " + state + " " + gateways);
    }

    @Override
    public void setMode(String cache, String mode) {
      calls.add("mode " + cache + " " + mode);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "cut 1 > {2, a}             | [1]>[2, a] 0.0 0 0 0.0 true",
        "cut 3 > *                  | [3]>[1, 2, 3, a, b, parent, origin, feed] 0.0 0 0 0.0 true",
        "loss {1,2} > 3 0.25        | [1, 2]>[3] 0.25 0 0 0.0 false",
        "delay feed > 2 50ms 1.5s   | [feed]>[2] 0.0 50 1500 0.0 false",
        "duplicate 1 > 2 0.5        | [1]>[2] 0.0 0 0 0.5 false",
        "heal 1 > 2                 | [1]>[2] 0.0 0 0 0.0 false",
        "reset                      | reset",
        "pause 2 for 1.5s           | pause 2 PT1.5S",
        "throttle 2 for 700ms       | throttle 2 PT0.7S",
        "kill 3                     | kill 3",
        "terminate 1                | terminate 1",
        "start 3                    | start 3 PT0S",
        "start 3 clock -3600s       | start 3 PT-1H",
        "announce a draining to {1,2} | announce a draining [1, 2]",
        "announce b cold            | announce b cold [1, 2, 3]",
        "mode a full                | mode a FULL"
      })
  void eachActionReachesItsTarget(String action, String call) throws Exception {
    Schedule schedule =
        Schedule.parse(
            "x",
            List.of(
                "processes 3 gateways",
                "at 2s " + action + "  # why",
                "until 5s",
                "expect breach requests-answered now"));
    Recorder recorder = new Recorder();
    assertThat(schedule.actions()).hasSize(1);
    assertThat(schedule.actions().get(0).at()).isEqualTo(Duration.ofSeconds(2));
    schedule.actions().get(0).action().applyTo(recorder);
    assertThat(recorder.calls).containsExactly(call);
    assertThat(schedule.expectations().get(0))
        .isEqualTo(new Schedule.Expectation("requests-answered", List.of("now"), true, 4));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "dance                   | unknown statement dance",
        "at 1s dance             | unknown action dance",
        "at 1 kill 2             | \"1\" is not a time such as 1.5s or 200ms",
        "at 500s kill 2          | a time must be at most 120s, not 500s",
        "at 1s kill 4            | there is no process 4",
        "at 1s kill 2 softly     | unexpected words [softly]",
        "at 1s cut 1 2           | expected > instead of 2",
        "at 1s cut 1 > {2,z}     | there is no endpoint z among [1, 2, 3, a, b, parent, origin, feed]",
        "at 1s pause 2           | the word for is missing",
        "loss 1 > 2 1.5          | loss must be 0 to 1, not 1.5",
        "at 1s announce c ready  | there is no cache c among [a, b, parent, origin]",
        "at 1s announce a lost   | a cache state must be one of [ready, draining, gone, cold], not lost",
        "processes 17 gateways   | the number of processes must be a number from 1 to 16, not 17",
        "clients 40              | a rate must end in /s, not as 40",
        "at 9s kill 2            | the action is after the end"
      })
  void aMalformedLineIsRefusedWithItsPlace(String line, String reason) {
    assertThatThrownBy(
            () ->
                Schedule.parse(
                    "x.txt",
                    List.of("processes 3 gateways", line, "until 5s", "expect no-unexpected-exit")))
        .isInstanceOf(MalformedScheduleException.class)
        .hasMessage("x.txt:2: " + reason);
  }

  @Test
  void aMissingStatementIsRefused() {
    assertThatThrownBy(() -> Schedule.parse("x.txt", List.of("processes 3 stubs", "until 5s")))
        .hasMessage("x.txt:2: the statement expect is missing");
  }
}
