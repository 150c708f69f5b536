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
import tamarindroute.rig.proxy.Fault;

/**
 * Each word of a schedule reaches the stage as it was meant, and a line that can't be read is told
 * with its place.
 */
class ScheduleTest {

  /** Writes down what is done. */
  private static final class Recorder implements Stage {

    final List<String> done = new ArrayList<>();

    @Override
    public void fault(List<String> from, List<String> to, UnaryOperator<Fault> change) {
      Fault fault = change.apply(Fault.NONE);
      done.add(
          from
              + ">"
              + to
              + " "
              + fault.loss()
              + " "
              + fault.delay().toMillis()
              + " "
              + fault.jitter().toMillis()
              + " "
              + fault.doubled()
              + " "
              + fault.cut());
    }

    @Override
    public void reset() {
      done.add("reset");
    }

    @Override
    public void stop(String process, Duration length) {
      done.add("stop " + process + " " + length);
    }

    @Override
    public void starve(String process, Duration length) {
      done.add("starve " + process + " " + length);
    }

    @Override
    public void kill(String process) {
      done.add("kill " + process);
    }

    @Override
    public void leave(String process) {
      done.add("leave " + process);
    }

    @Override
    public void start(String process, Duration clock) {
      done.add("start " + process + " " + clock);
    }

    @Override
    public void tell(String cache, String state, List<String> feeds) {
      done.add("tell " + cache + " " + state + " " + feeds);
    }

    @Override
    public void mode(String cache, String mode) {
      done.add("mode " + cache + " " + mode);
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
        "double 1 > 2 0.5           | [1]>[2] 0.0 0 0 0.5 false",
        "heal 1 > 2                 | [1]>[2] 0.0 0 0 0.0 false",
        "reset                      | reset",
        "stop 2 for 1.5s            | stop 2 PT1.5S",
        "starve 2 for 700ms         | starve 2 PT0.7S",
        "kill 3                     | kill 3",
        "leave 1                    | leave 1",
        "start 3                    | start 3 PT0S",
        "start 3 clock -3600s       | start 3 PT-1H",
        "tell a draining by feed of {1,2} | tell a draining [1, 2]",
        "tell b cold                | tell b cold [1, 2, 3]",
        "mode a full                | mode a FULL"
      })
  void eachDeedIsReadAsItIsMeant(String deed, String done) throws Exception {
    Schedule schedule =
        Schedule.parse(
            "x",
            List.of(
                "processes 3 gateways",
                "at 2s " + deed + "  # why",
                "until 5s",
                "expect breach views-kept now"));
    Recorder recorder = new Recorder();
    assertThat(schedule.steps).hasSize(1);
    assertThat(schedule.steps.get(0).at()).isEqualTo(Duration.ofSeconds(2));
    schedule.steps.get(0).deed().on(recorder);
    assertThat(recorder.done).containsExactly(done);
    assertThat(schedule.expectations.get(0))
        .isEqualTo(new Schedule.Expectation("views-kept", List.of("now"), true, 4));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "dance                   | there is no statement dance",
        "at 1s dance             | there is no deed dance",
        "at 1 kill 2             | a time reads as 1.5s or 200ms, not as 1",
        "at 500s kill 2          | a time is 120s at most, not 500s",
        "at 1s kill 4            | there is no process 4",
        "at 1s kill 2 softly     | nothing is known to do with [softly]",
        "at 1s cut 1 2           | here > is expected, not 2",
        "at 1s cut 1 > {2,z}     | there is nobody called z among [1, 2, 3, a, b, parent, origin, feed]",
        "at 1s stop 2            | here the word for is missing",
        "loss 1 > 2 1.5          | shares lie between 0 and 1, times are not negative",
        "at 1s tell c ready      | there is no cache c among [a, b, parent, origin]",
        "at 1s tell a lost       | a cache's state is one of [ready, draining, gone, cold]",
        "processes 17 gateways   | a number from 1 to 16 is expected, not 17",
        "clients 40              | a rate ends in /s, not as 40",
        "at 9s kill 2            | this comes after the end"
      })
  void aLineThatCantBeReadIsToldWithItsPlace(String line, String why) {
    assertThatThrownBy(
            () ->
                Schedule.parse(
                    "x.txt", List.of("processes 3 gateways", line, "until 5s", "expect none-ends")))
        .isInstanceOf(MalformedScheduleException.class)
        .hasMessage("x.txt:2: " + why);
  }

  @Test
  void whatIsMissingIsTold() {
    assertThatThrownBy(() -> Schedule.parse("x.txt", List.of("processes 3 stand-ins", "until 5s")))
        .hasMessage("x.txt:2: there is no line with: expect");
  }
}
