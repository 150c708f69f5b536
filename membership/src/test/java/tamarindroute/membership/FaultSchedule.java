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
 * Plays a schedule from a text file: which faults happen when, and what is expected at which time.
 * The same file is played with the system under test and with seeded defects.
 *
 * <p>The first line is {@code members COUNT [joining]}. Each further line is {@code SECONDS COMMAND
 * ARGUMENTS}, with members as {@code 3}, {@code 0-7} or {@code *}:
 *
 * <ul>
 *   <li>{@code loss PROBABILITY}, {@code duplicate PROBABILITY}, {@code delay MILLISECONDS}: of all
 *       messages from then on
 *   <li>{@code kill MEMBERS}, {@code leave MEMBERS}, {@code start MEMBERS INCARNATION}, {@code
 *       pause MEMBERS SECONDS}
 *   <li>{@code cut MEMBERS MEMBERS}: from the first to the second; {@code suppress MEMBER MEMBER}:
 *       the first never receives that the second is alive; {@code heal} ends all of these
 *   <li>{@code may-fail MEMBERS}: may be declared faulty from now on; {@code unaware MEMBERS}: may
 *       regard themselves as connected nevertheless
 *   <li>{@code record KIND MEMBER INCARNATION to INCARNATION MEMBER INCARNATION}: a message with
 *       its sender, target incarnation and subject; {@code replay MEMBER MEMBER} sends it
 *   <li>{@code status MEMBERS CONNECTIVITY}, {@code state MEMBERS MEMBERS STATE}: expected of the
 *       first members
 *   <li>{@code end}: only lets time pass
 * </ul>
 */
final class FaultSchedule {

  private static final Path FOLDER = Path.of("membership/src/test/resources/schedules");
  private static final String EXTENSION = ".txt";
  private static final int MAX_UNMET = 20;
  private static final int MILLIS_PER_SECOND = 1_000;

  private record Link(int from, int to) {}

  /**
   * Result of a run.
   *
   * @param checker the invariants' violations
   * @param unmet lines whose expectation did not hold
   */
  record Outcome(InvariantChecker checker, List<String> unmet) {}

  private final List<String[]> lines = new ArrayList<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private final List<String> unmet = new ArrayList<>();
  private MembershipSimulator simulator;
  private InvariantChecker checker;
  private Message recordedMessage;

  /** Settings of each member; they are the same for all unless a defect is seeded. */
  IntFunction<MembershipSettings> settingsOf = index -> MembershipSettings.DEFAULTS;

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

  /** Names of all schedules. */
  static List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files
          .map(file -> file.getFileName().toString().replace(EXTENSION, ""))
          .sorted()
          .toList();
    }
  }

  Outcome play(long seed, UnaryOperator<SystemUnderTest> defect) {
    for (String[] line : lines) {
      if (line[0].equals("members")) {
        start(Integer.parseInt(line[1]), line.length > 2, seed, defect);
      } else {
        simulator.run(parseSeconds(line[0]).minus(simulator.now()));
        execute(line);
      }
    }
    return new Outcome(checker, unmet);
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
      case "loss" -> simulator.loss = Double.parseDouble(line[2]);
      case "duplicate" -> simulator.duplication = Double.parseDouble(line[2]);
      case "delay" -> simulator.maxDelayNanos = Duration.ofMillis(parse(line[2])).toNanos();
      case "kill" -> members.forEach(simulator::kill);
      case "leave" -> members.forEach(simulator::leave);
      case "start" -> members.forEach(member -> simulator.start(member, Long.parseLong(line[3])));
      case "pause" -> members.forEach(member -> pause(member, parseSeconds(line[3])));
      case "cut" -> cut(members, parseMembers(line[3]));
      case "suppress" -> suppress(parse(line[2]), parse(line[3]));
      case "heal" -> heal();
      case "may-fail" -> members.forEach(checker::excuse);
      case "unaware" -> members.forEach(checker::excuseFromKnowing);
      case "record" -> recordedMessage = parseMessage(line);
      case "replay" -> simulator.transmit(parse(line[2]), parse(line[3]), recordedMessage);
      case "status" -> members.forEach(member -> expectStatus(line, member));
      case "state" -> members.forEach(member -> expectStates(line, member));
      case "end" -> {}
      default -> throw new IllegalArgumentException("unknown command: " + String.join(" ", line));
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
    return new Member(simulator.nodes.get(parse(index)).address, Long.parseLong(incarnation));
  }

  private void expectStatus(String[] line, int member) {
    Connectivity connectivity = simulator.localStatus(member).connectivity();
    expect(line, connectivity == Connectivity.valueOf(line[3]));
  }

  private void expectStates(String[] line, int observer) {
    for (int subject : parseMembers(line[3])) {
      boolean judged = observer != subject && !simulator.nodes.get(observer).killed;
      MemberState expected = MemberState.valueOf(line[4]);
      expect(line, !judged || simulator.stateOf(observer, subject).equals(Optional.of(expected)));
    }
  }

  private void expect(String[] line, boolean holds) {
    if (!holds && unmet.size() < MAX_UNMET) {
      unmet.add(String.join(" ", line));
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
    int first = parse(dash < 0 ? range : range.substring(0, dash));
    int last = parse(range.substring(dash + 1));
    return IntStream.rangeClosed(first, last).boxed().toList();
  }

  private static Duration parseSeconds(String seconds) {
    return Duration.ofMillis((long) (MILLIS_PER_SECOND * Double.parseDouble(seconds)));
  }

  private static int parse(String number) {
    return Integer.parseInt(number);
  }
}
