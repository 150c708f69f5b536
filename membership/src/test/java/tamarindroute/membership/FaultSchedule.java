package tamarindroute.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Runs a fault schedule from a text file: which faults are injected when, and which states are
 * expected at which time. The same file is run with the real system and with seeded defects.
 *
 * <p>The first line is {@code members COUNT [joining]}. Each further line is {@code SECONDS COMMAND
 * ARGUMENTS}, with members given as {@code 3}, {@code 0-7} or {@code *}:
 *
 * <ul>
 *   <li>{@code loss PROBABILITY}, {@code duplicate PROBABILITY}, {@code delay MILLISECONDS}:
 *       probabilities and maximum delay of all messages from then on
 *   <li>{@code kill MEMBERS}, {@code leave MEMBERS}, {@code start MEMBERS INCARNATION}, {@code
 *       pause MEMBERS SECONDS}
 *   <li>{@code cut MEMBERS MEMBERS}: cuts the links from the first to the second members; {@code
 *       suppress MEMBER MEMBER}: the first member never receives a message or update that shows
 *       that the second is alive; {@code heal} ends all cuts and suppressions
 *   <li>{@code may-fail MEMBERS}: the members may be declared faulty from now on; {@code unaware
 *       MEMBERS}: these may regard themselves as connected although others declare them faulty
 *   <li>{@code record KIND MEMBER INCARNATION to INCARNATION MEMBER INCARNATION}: builds a message
 *       with the given sender, target incarnation and subject; {@code replay MEMBER MEMBER} sends
 *       it from the first to the second member
 *   <li>{@code status MEMBERS CONNECTIVITY}: expected connectivity of the members; {@code state
 *       MEMBERS MEMBERS STATE}: expected state of the second members in the tables of the first
 *   <li>{@code end}: only lets time pass
 * </ul>
 */
final class FaultSchedule {

  private static final Path FOLDER = Path.of("membership/src/test/resources/schedules");
  private static final String EXTENSION = ".txt";

  /** Bound on the stored lines, which keeps the message of a failed test short. */
  private static final int MAX_UNMET_EXPECTATIONS = 20;

  private static final int MILLIS_PER_SECOND = 1_000;

  private record Link(int from, int to) {}

  /**
   * Result of a run.
   *
   * @param checker checker that observed the run, with the violations of invariants
   * @param unmetExpectations lines of the schedule whose expectation did not hold
   */
  record Outcome(InvariantChecker checker, List<String> unmetExpectations) {}

  private final List<String[]> lines = new ArrayList<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private final List<String> unmetExpectations = new ArrayList<>();
  private MembershipSimulator simulator;
  private InvariantChecker checker;
  private Message recordedMessage;

  /** Settings of a member by index. They are the same for all members unless a defect is seeded. */
  IntFunction<MembershipSettings> settingsOf = index -> MembershipSettings.DEFAULTS;

  /** Reads the schedule with the given name, without the extension of its file. */
  FaultSchedule(String name) {
    try {
      for (String line : Files.readAllLines(FOLDER.resolve(name + EXTENSION))) {
        if (!line.isBlank() && !line.startsWith("#")) {
          lines.add(line.strip().split("\\s+"));
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the names of all schedules in alphabetical order. */
  static List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files
          .map(file -> file.getFileName().toString().replace(EXTENSION, ""))
          .sorted()
          .toList();
    }
  }

  /** Runs all lines of the schedule with the given seed and defect. */
  Outcome run(long seed, UnaryOperator<SystemUnderTest> defect) {
    for (String[] line : lines) {
      if (line[0].equals("members")) {
        start(Integer.parseInt(line[1]), line.length > 2, seed, defect);
      } else {
        simulator.run(parseSeconds(line[0]).minus(simulator.now()));
        execute(line);
      }
    }
    return new Outcome(checker, unmetExpectations);
  }

  private void start(int count, boolean joining, long seed, UnaryOperator<SystemUnderTest> defect) {
    simulator = new MembershipSimulator(MembershipSettings.DEFAULTS, count, seed);
    simulator.defect = defect;
    simulator.settingsOf = settingsOf;
    checker = new InvariantChecker(simulator, MembershipSettings.DEFAULTS.toleratedPause());
    simulator.linkFilter = (from, to) -> cutLinks.contains(new Link(from, to));
    if (joining) {
      simulator.startJoining(Duration.ofSeconds(1));
    } else {
      simulator.startJoined();
    }
  }

  private void execute(String[] line) {
    List<Integer> members = line.length > 2 ? parseMembers(line[2]) : List.of();
    switch (line[1]) {
      case "loss" -> simulator.lossProbability = Double.parseDouble(line[2]);
      case "duplicate" -> simulator.duplicationProbability = Double.parseDouble(line[2]);
      case "delay" -> simulator.maxDelayNanos = Duration.ofMillis(parseInteger(line[2])).toNanos();
      case "kill" -> members.forEach(simulator::kill);
      case "leave" -> members.forEach(simulator::leave);
      case "start" -> members.forEach(member -> simulator.start(member, Long.parseLong(line[3])));
      case "pause" -> members.forEach(member -> pause(member, parseSeconds(line[3])));
      case "cut" -> cut(members, parseMembers(line[3]));
      case "suppress" -> suppress(parseInteger(line[2]), parseInteger(line[3]));
      case "heal" -> heal();
      case "may-fail" -> members.forEach(checker::permitFaulty);
      case "unaware" -> members.forEach(checker::permitUndetectedIsolation);
      case "record" -> recordedMessage = parseMessage(line);
      case "replay" ->
          simulator.transmit(parseInteger(line[2]), parseInteger(line[3]), recordedMessage);
      case "status" -> members.forEach(member -> expectStatus(line, member));
      case "state" -> members.forEach(member -> expectStates(line, member));
      case "end" -> {}
      default ->
          throw new IllegalArgumentException(
              "command is "
                  + line[1]
                  + " in \""
                  + String.join(" ", line)
                  + "\", expected a command"
                  + " of the class comment");
    }
  }

  private void pause(int member, Duration duration) {
    checker.onPause(member, duration);
    simulator.pause(member, duration);
  }

  private void cut(List<Integer> senders, List<Integer> receivers) {
    checker.beginPhase();
    for (int from : senders) {
      receivers.forEach(to -> cutLinks.add(new Link(from, to)));
    }
  }

  private void suppress(int receiver, int subject) {
    Address address = simulator.nodes.get(subject).address;
    simulator.isDropped = (to, message) -> to == receiver && showsAlive(message, address);
  }

  private static boolean showsAlive(Message message, Address subject) {
    return message.subject().address().equals(subject)
        || message.updates().stream()
            .anyMatch(
                update ->
                    update.member().address().equals(subject)
                        && update.state() == MemberState.ALIVE);
  }

  private void heal() {
    checker.beginPhase();
    cutLinks.clear();
    simulator.isDropped = (to, message) -> false;
  }

  private Message parseMessage(String[] line) {
    Member from = parseMember(line[3], line[4]);
    Member subject = parseMember(line[7], line[8]);
    Message.Kind kind = Message.Kind.valueOf(line[2]);
    return new Message(kind, from, Long.parseLong(line[6]), 1, subject, List.of());
  }

  private Member parseMember(String index, String incarnation) {
    return new Member(
        simulator.nodes.get(parseInteger(index)).address, Long.parseLong(incarnation));
  }

  private void expectStatus(String[] line, int member) {
    Connectivity connectivity = simulator.localStatus(member).connectivity();
    expect(line, connectivity == Connectivity.valueOf(line[3]));
  }

  private void expectStates(String[] line, int observer) {
    for (int subject : parseMembers(line[3])) {
      boolean hasState = observer != subject && !simulator.nodes.get(observer).killed;
      MemberState expected = MemberState.valueOf(line[4]);
      expect(line, !hasState || simulator.stateOf(observer, subject).equals(Optional.of(expected)));
    }
  }

  private void expect(String[] line, boolean isMet) {
    if (!isMet && unmetExpectations.size() < MAX_UNMET_EXPECTATIONS) {
      unmetExpectations.add(String.join(" ", line));
    }
  }

  private List<Integer> parseMembers(String range) {
    if (range.equals("*")) {
      return IntStream.range(0, simulator.nodes.size()).boxed().toList();
    }
    if (!range.matches("\\d+(-\\d+)?")) {
      return List.of();
    }
    int dash = range.indexOf('-');
    int first = parseInteger(dash < 0 ? range : range.substring(0, dash));
    int last = parseInteger(range.substring(dash + 1));
    return IntStream.rangeClosed(first, last).boxed().toList();
  }

  private static Duration parseSeconds(String seconds) {
    return Duration.ofMillis((long) (MILLIS_PER_SECOND * Double.parseDouble(seconds)));
  }

  private static int parseInteger(String number) {
    return Integer.parseInt(number);
  }
}
