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
final class FaultSchedule {

  private record Link(int from, int to) {}

  private final List<String[]> lines = new ArrayList<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private MembershipSimulator simulator;
  private InvariantChecker checker;
  private final List<String> unmet = new ArrayList<>();
  private Message storedMessage;

  /** What each is told; all the same but for a seeded defect. */
  java.util.function.IntFunction<MembershipSettings> settingsOf =
      place -> MembershipSettings.DEFAULTS;

  FaultSchedule(String name) {
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

  record Outcome(InvariantChecker checker, List<String> unmet) {}

  Outcome play(long seed, UnaryOperator<MembershipSimulator.SystemUnderTest> defect) {
    for (String[] line : lines) {
      if (line[0].equals("members")) {
        simulator = new MembershipSimulator(MembershipSettings.DEFAULTS, parseInt(line[1]), seed);
        simulator.defect = defect;
        simulator.settingsOf = settingsOf;
        checker = new InvariantChecker(simulator, MembershipSettings.DEFAULTS.toleratedPause());
        simulator.linkFilter = (from, recipient) -> cutLinks.contains(new Link(from, recipient));
        if (line.length > 2) {
          simulator.startJoining(Duration.ofSeconds(1));
        } else {
          simulator.startJoined();
        }
      } else {
        simulator.run(
            Duration.ofMillis((long) (1_000 * Double.parseDouble(line[0]))).minus(simulator.now()));
        execute(line);
      }
    }
    return new Outcome(checker, unmet);
  }

  private void execute(String[] line) {
    List<Integer> members = line.length > 2 ? parseRange(line[2]) : List.of();
    switch (line[1]) {
      case "loss" -> simulator.loss = Double.parseDouble(line[2]);
      case "doubled" -> simulator.duplication = Double.parseDouble(line[2]);
      case "delay" -> simulator.maxDelayNanos = Duration.ofMillis(parseInt(line[2])).toNanos();
      case "kill" -> members.forEach(simulator::kill);
      case "leave" -> members.forEach(simulator::leave);
      case "start" -> members.forEach(member -> simulator.start(member, Long.parseLong(line[3])));
      case "stop" ->
          members.forEach(
              member -> {
                Duration duration = Duration.ofMillis((long) (1_000 * Double.parseDouble(line[3])));
                checker.onPause(member, duration);
                simulator.pause(member, duration);
              });
      case "cut" -> {
        checker.beginPhase();
        members.forEach(
            from ->
                parseRange(line[3]).forEach(recipient -> cutLinks.add(new Link(from, recipient))));
      }
      case "unlucky" -> {
        Address subject = simulator.nodes.get(parseInt(line[3])).address;
        simulator.isDropped =
            (recipient, message) ->
                recipient == parseInt(line[2])
                    && (message.subject().address().equals(subject)
                        || message.updates().stream()
                            .anyMatch(
                                update ->
                                    update.member().address().equals(subject)
                                        && update.state() == MemberState.ALIVE));
      }
      case "healed" -> {
        checker.beginPhase();
        cutLinks.clear();
        simulator.isDropped = (recipient, message) -> false;
      }
      case "maygo" -> members.forEach(checker::excuse);
      case "blind" -> members.forEach(checker::excuseFromKnowing);
      case "keep" ->
          storedMessage =
              new Message(
                  Message.Kind.valueOf(line[2]),
                  new Member(
                      simulator.nodes.get(parseInt(line[3])).address, Long.parseLong(line[4])),
                  Long.parseLong(line[6]),
                  1,
                  new Member(
                      simulator.nodes.get(parseInt(line[7])).address, Long.parseLong(line[8])),
                  List.of());
      case "late" -> simulator.transmit(parseInt(line[2]), parseInt(line[3]), storedMessage);
      case "touch" ->
          members.forEach(
              member ->
                  expect(
                      line,
                      simulator
                          .nodes
                          .get(member)
                          .membership
                          .localStatus(simulator.localTime(simulator.nodes.get(member)))
                          .connectivity()
                          .toString()
                          .equals(line[3])));
      case "holds" ->
          members.forEach(
              observer ->
                  parseRange(line[3])
                      .forEach(
                          subject ->
                              expect(
                                  line,
                                  observer.equals(subject)
                                      || simulator.nodes.get(observer).killed
                                      || line[4].equals(
                                          String.valueOf(simulator.stateOf(observer, subject))))));
      case "end" -> {}
      default -> throw new IllegalArgumentException(String.join(" ", line));
    }
  }

  private void expect(String[] line, boolean holds) {
    if (!holds && unmet.size() < 20) {
      unmet.add(String.join(" ", line));
    }
  }

  private List<Integer> parseRange(String range) {
    if (!range.matches("\\*|\\d+(-\\d+)?")) {
      return List.of();
    }
    int dash = range.indexOf('-');
    int from = range.equals("*") ? 0 : parseInt(dash < 0 ? range : range.substring(0, dash));
    int recipient =
        range.equals("*") ? simulator.nodes.size() - 1 : parseInt(range.substring(dash + 1));
    List<Integer> all = new ArrayList<>();
    for (int member = from; member <= recipient; member++) {
      all.add(member);
    }
    return all;
  }

  private static int parseInt(String range) {
    return Integer.parseInt(range);
  }
}
