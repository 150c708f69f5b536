package tamarindroute.membership;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * A schedule as a text file: who, what, when; what is then to hold. The same file runs a sound
 * machine and defects.
 */
final class Schedule {

  private record Way(int from, int to) {}

  private final List<String[]> lines = new ArrayList<>();
  private final Set<Way> cut = new HashSet<>();
  private Sim sim;
  private Checker checker;
  private final List<String> unmet = new ArrayList<>();
  private Message kept;

  /** What each is told; all the same but for a seeded defect. */
  java.util.function.IntFunction<Settings> settingsOf = place -> Settings.USUAL;

  Schedule(String name) {
    try {
      for (String line :
          Files.readAllLines(Path.of("membership/src/test/resources/schedules", name + ".txt"))) {
        if (!line.isBlank() && !line.startsWith("#")) {
          lines.add(line.strip().split("\\s+"));
        }
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  record Outcome(Checker checker, List<String> unmet) {}

  Outcome play(long seed, UnaryOperator<Sim.Machine> defect) {
    for (String[] line : lines) {
      if (line[0].equals("members")) {
        sim = new Sim(Settings.USUAL, number(line[1]), seed);
        sim.defect = defect;
        sim.settingsOf = settingsOf;
        checker = new Checker(sim, Settings.USUAL.pause());
        sim.cut = (from, to) -> cut.contains(new Way(from, to));
        if (line.length > 2) {
          sim.begun(Duration.ofSeconds(1));
        } else {
          sim.acquainted();
        }
      } else {
        sim.run(Duration.ofMillis((long) (1_000 * Double.parseDouble(line[0]))).minus(sim.now()));
        step(line);
      }
    }
    return new Outcome(checker, unmet);
  }

  private void step(String[] line) {
    List<Integer> who = line.length > 2 ? range(line[2]) : List.of();
    switch (line[1]) {
      case "loss" -> sim.loss = Double.parseDouble(line[2]);
      case "doubled" -> sim.doubled = Double.parseDouble(line[2]);
      case "delay" -> sim.delayMax = Duration.ofMillis(number(line[2])).toNanos();
      case "kill" -> who.forEach(sim::kill);
      case "leave" -> who.forEach(sim::leave);
      case "start" -> who.forEach(i -> sim.start(i, Long.parseLong(line[3])));
      case "stop" ->
          who.forEach(
              i -> {
                Duration span = Duration.ofMillis((long) (1_000 * Double.parseDouble(line[3])));
                checker.stopped(i, span);
                sim.stop(i, span);
              });
      case "cut" -> {
        checker.phase();
        who.forEach(from -> range(line[3]).forEach(to -> cut.add(new Way(from, to))));
      }
      case "unlucky" -> {
        Address of = sim.nodes.get(number(line[3])).address;
        sim.dropped =
            (to, m) ->
                to == number(line[2])
                    && (m.about().address().equals(of)
                        || m.rumours().stream()
                            .anyMatch(
                                r ->
                                    r.about().address().equals(of)
                                        && r.standing() == Standing.ALIVE));
      }
      case "healed" -> {
        checker.phase();
        cut.clear();
        sim.dropped = (to, m) -> false;
      }
      case "maygo" -> who.forEach(checker::mayGo);
      case "blind" -> who.forEach(checker::cannotKnow);
      case "keep" ->
          kept =
              new Message(
                  Message.Kind.valueOf(line[2]),
                  new Member(sim.nodes.get(number(line[3])).address, Long.parseLong(line[4])),
                  Long.parseLong(line[6]),
                  1,
                  new Member(sim.nodes.get(number(line[7])).address, Long.parseLong(line[8])),
                  List.of());
      case "late" -> sim.fly(number(line[2]), number(line[3]), kept);
      case "touch" ->
          who.forEach(
              i ->
                  expect(
                      line,
                      sim.nodes
                          .get(i)
                          .membership
                          .touch(sim.own(sim.nodes.get(i)))
                          .condition()
                          .toString()
                          .equals(line[3])));
      case "holds" ->
          who.forEach(
              at ->
                  range(line[3])
                      .forEach(
                          of ->
                              expect(
                                  line,
                                  at.equals(of)
                                      || sim.nodes.get(at).dead
                                      || line[4].equals(String.valueOf(sim.standing(at, of))))));
      case "end" -> {}
      default -> throw new IllegalArgumentException(String.join(" ", line));
    }
  }

  private void expect(String[] line, boolean holds) {
    if (!holds && unmet.size() < 20) {
      unmet.add(String.join(" ", line));
    }
  }

  private List<Integer> range(String told) {
    if (!told.matches("\\*|\\d+(-\\d+)?")) {
      return List.of();
    }
    int dash = told.indexOf('-');
    int from = told.equals("*") ? 0 : number(dash < 0 ? told : told.substring(0, dash));
    int to = told.equals("*") ? sim.nodes.size() - 1 : number(told.substring(dash + 1));
    List<Integer> all = new ArrayList<>();
    for (int i = from; i <= to; i++) {
      all.add(i);
    }
    return all;
  }

  private static int number(String told) {
    return Integer.parseInt(told);
  }
}
