package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import tamarindroute.rig.journal.Line;

/**
 * Which processes could reach which, over others too, by the ways that the rig had cut and the
 * processes it had ended. Who is paused is not looked at.
 */
final class Reach {

  /** The state from a moment on. */
  private record State(Duration from, Set<String> cut, Set<String> up) {}

  final Set<String> processes = new TreeSet<>();
  private final List<State> states = new ArrayList<>();

  Reach(List<Line> journal) {
    Set<String> cut = new HashSet<>();
    Set<String> up = new TreeSet<>();
    for (Line line : journal) {
      String[] words = line.text().split(" ");
      if (!line.by("rig") || words.length < 3) {
        continue;
      }
      if (words[0].equals("way")) {
        String way = words[1] + " > " + words[3];
        if (words[4].equals("cut")) {
          cut.add(way);
        } else {
          cut.remove(way);
        }
      } else if (words[0].equals("process")) {
        processes.add(words[1]);
        switch (words[2]) {
          case "started" -> up.add(words[1]);
          case "killed", "leaves" -> up.remove(words[1]);
          default -> {}
        }
      }
      states.add(new State(line.at(), Set.copyOf(cut), Set.copyOf(up)));
    }
  }

  /** Whether each could reach the other all through this time, over others too. */
  boolean connected(String one, String other, Duration from, Duration to) {
    return within(from, to).allMatch(state -> over(state, one, other) && over(state, other, one));
  }

  /** Whether it and more than half of all could reach each other all through this time. */
  boolean withMost(String one, Duration from, Duration to) {
    return within(from, to)
        .allMatch(
            state ->
                2
                        * state.up.stream()
                            .filter(other -> over(state, one, other) && over(state, other, one))
                            .count()
                    > state.up.size());
  }

  /** Whether nobody hears it, or it hears nobody, while it runs, all through this time. */
  boolean alone(String one, Duration from, Duration to) {
    return within(from, to)
        .allMatch(
            state ->
                state.up.contains(one)
                    && state.up.size() > 1
                    && (state.up.stream()
                            .allMatch(
                                other ->
                                    other.equals(one) || state.cut.contains(one + " > " + other))
                        || state.up.stream()
                            .allMatch(
                                other ->
                                    other.equals(one) || state.cut.contains(other + " > " + one))));
  }

  /** The moments at which something changed. */
  List<Duration> changes() {
    return states.stream().map(State::from).toList();
  }

  private Stream<State> within(Duration from, Duration to) {
    List<State> some = new ArrayList<>();
    for (int i = 0; i < states.size(); i++) {
      boolean begins = states.get(i).from.compareTo(to) <= 0;
      boolean lasts = i + 1 == states.size() || states.get(i + 1).from.compareTo(from) > 0;
      if (begins && lasts) {
        some.add(states.get(i));
      }
    }
    return some.stream();
  }

  private static boolean over(State state, String from, String to) {
    Set<String> seen = new HashSet<>(Set.of(from));
    ArrayDeque<String> next = new ArrayDeque<>(seen);
    if (!state.up.contains(from)) {
      return false;
    }
    while (!next.isEmpty()) {
      String at = next.remove();
      for (String other : state.up) {
        if (!state.cut.contains(at + " > " + other) && seen.add(other)) {
          next.add(other);
        }
      }
    }
    return seen.contains(to);
  }
}
