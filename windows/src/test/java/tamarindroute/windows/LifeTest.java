package tamarindroute.windows;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class LifeTest {
  private static final Entry ASKED = Entry.asked("w", 1, List.of("a"), s(10), s(0), s(100));
  private static final Plan.Lack LACK = new Plan.Lack(Plan.Lacks.ROOM, 7, "b", 3, 2, s(0));

  private Plan.Lack lack;
  private final List<String> judged = new ArrayList<>();
  private final Life.Judge judge =
      new Life.Judge() {
        @Override
        public Life.Slot place(Entry asked, Collection<Entry> others, Duration now) {
          return lack == null ? new Life.Slot(now, null) : new Life.Slot(null, lack);
        }

        @Override
        public Plan.Lack lack(SortedSet<String> out, boolean reserve, Duration now) {
          judged.add(out + " " + reserve);
          return reserve ? lack : null;
        }

        @Override
        public Set<String> caches() {
          return Set.of("a", "b");
        }
      };

  private static Duration s(int seconds) {
    return Duration.ofSeconds(seconds);
  }

  private Life.Step next(Life.State state, Life.Event event, int now) {
    return Life.next(state, event, s(now), LifeModel.SETTINGS, judge);
  }

  private Life.State leads() {
    return next(Life.initial(), new Life.Leads(true), 0).state();
  }

  private static Life.Agreed agreed(long number, Entry entry, int until) {
    TreeMap<String, Entry> entries = new TreeMap<>();
    entries.put(entry.id(), entry);
    return new Life.Agreed(number, entries, s(until));
  }

  @Test
  void aRefusalIsToldOnceWithRangeCacheAndNumber() {
    lack = LACK;
    Life.Step step = next(leads(), agreed(3, ASKED, 9), 1);
    assertThat(step.actions()).containsExactly(new Life.Tell(Life.Matter.NO_TIME, "w", LACK));
    assertThat(next(step.state(), new Life.Tick(), 2).actions()).isEmpty();
    lack = null;
    assertThat(next(step.state(), new Life.Tick(), 3).actions())
        .containsExactly(
            new Life.Agree("window/w", 3, ASKED.at(Entry.Phase.RESERVED, s(3), s(13))));
  }

  @Test
  void anUnansweredPutIsSentAnewWithItsNumberAndARefusedOneWaitsForTheView() {
    Life.Step step = next(leads(), agreed(3, ASKED, 90), 1);
    assertThat(step.actions()).hasSize(1);
    assertThat(next(step.state(), new Life.Tick(), 2).actions()).isEmpty();
    assertThat(next(step.state(), new Life.Tick(), 3).actions()).hasSize(1);
    assertThat(next(step.state(), new Life.Refused(4), 2).actions()).isEmpty();
    assertThat(next(step.state(), new Life.OutOfTouch(), 2).actions()).isEmpty();
  }

  @Test
  void whatDrainsFollowsTheViewAlsoAfterARestart() {
    Entry open = ASKED.at(Entry.Phase.OPEN, s(0), s(10));
    Life.Step step = next(Life.initial(), agreed(5, open, 9), 1);
    assertThat(step.actions()).contains(new Life.Drain("a"));
    assertThat(next(step.state(), agreed(6, open.in(Entry.Phase.RETURNING), 9), 2).actions())
        .contains(new Life.Release("a"));
    assertThat(next(step.state(), agreed(4, open.in(Entry.Phase.CLOSED), 9), 2).actions())
        .as("an older view")
        .isEmpty();
  }

  @Test
  void cachesNotHeardOfColdOrInAWindowCountAsOut() {
    Life.State state =
        next(leads(), new Life.Heard(Map.of("a", new Life.Word(1, true, true, true, s(1)))), 1)
            .state();
    next(state, agreed(5, ASKED.at(Entry.Phase.RESERVED, s(0), s(10)), 9), 1);
    assertThat(judged).as("before a step").last().isEqualTo("[a, b] true");
    next(state, agreed(5, ASKED.at(Entry.Phase.OPEN, s(0), s(10)), 9), 1);
    assertThat(judged)
        .as("a leader that has just started calls nothing back")
        .last()
        .isEqualTo("[a] true");
    state =
        next(state, new Life.Heard(Map.of("b", new Life.Word(2, true, true, false, s(1)))), 1)
            .state();
    state =
        next(state, new Life.Heard(Map.of("b", new Life.Word(1, false, false, false, s(2)))), 2)
            .state();
    next(state, agreed(5, ASKED.at(Entry.Phase.OPEN, s(0), s(10)), 9), 2);
    assertThat(judged).as("a former self's word").last().isEqualTo("[a] true");
  }

  @Test
  void calledBackWhileTheCacheIsUpElseOnlyTold() {
    lack = LACK;
    Entry open = ASKED.at(Entry.Phase.OPEN, s(0), s(10));
    Life.State up =
        next(leads(), new Life.Heard(Map.of("a", new Life.Word(1, true, true, true, s(1)))), 1)
            .state();
    assertThat(next(up, agreed(5, open, 9), 1).actions())
        .contains(
            new Life.Tell(Life.Matter.CALL_BACK, "w", LACK),
            new Life.Agree("window/w", 5, open.at(Entry.Phase.RETURNING, s(0), s(1))));
    Life.State down =
        next(up, new Life.Heard(Map.of("a", new Life.Word(1, false, false, true, s(2)))), 2)
            .state();
    assertThat(next(down, agreed(5, open, 9), 2).actions())
        .contains(new Life.Tell(Life.Matter.CALL_BACK, "w", LACK))
        .noneMatch(a -> a instanceof Life.Agree);
  }

  @Test
  void aCacheThatNeverComesBackIsLateThenLostAndAnEndedWindowIsForgotten() {
    Entry returning = ASKED.at(Entry.Phase.RETURNING, s(0), s(10));
    Life.State state = next(leads(), agreed(5, returning, 900), 10).state();
    Life.Step late = next(state, new Life.Tick(), 12);
    assertThat(late.actions()).containsExactly(new Life.Tell(Life.Matter.LATE, "w", null));
    assertThat(next(late.state(), new Life.Tick(), 14).actions())
        .containsExactly(
            new Life.Tell(Life.Matter.LOST, "w", null),
            new Life.Agree("window/w", 5, returning.in(Entry.Phase.CLOSED)));
    assertThat(next(leads(), agreed(6, returning.in(Entry.Phase.CLOSED), 900), 160).actions())
        .containsExactly(new Life.Agree("window/w", 6, null));
  }

  @Test
  void onlyALaterRevisionWithdraws() {
    Life.State state = next(leads(), agreed(5, ASKED, 9), 1).state();
    Life.Step same =
        next(
            next(state, new Life.Refused(5), 1).state(),
            new Life.Wished(new Life.Wishes(1, Map.of())),
            1);
    assertThat(same.actions())
        .noneMatch(
            a -> a instanceof Life.Agree put && put.value().phase() == Entry.Phase.CALLED_OFF);
    Life.Step later =
        next(
            next(state, new Life.Wished(new Life.Wishes(2, Map.of())), 1).state(),
            new Life.Tick(),
            4);
    assertThat(later.actions())
        .containsExactly(new Life.Agree("window/w", 5, ASKED.in(Entry.Phase.CALLED_OFF)));
  }
}
