package tamarindroute.rig.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import tamarindroute.rig.schedule.Schedule.Expectation;
import tamarindroute.rig.schedule.Schedule.ProcessKind;
import tamarindroute.rig.schedule.Schedule.TimedAction;

/** Parses a schedule, a statement a line. A line is accepted whole or refused with its reason. */
final class ScheduleParser {

  private static final Map<String, ProcessKind> KINDS =
      Map.of(
          "gateways", ProcessKind.GATEWAYS,
          "members", ProcessKind.MEMBERS,
          "stubs", ProcessKind.STUBS);
  private static final int MAX_PROCESSES = 16;
  private static final int MAX_EDGES = 16;
  private static final int DEFAULT_EDGES = 2;

  private final String file;
  private long seed = 1;
  private ProcessKind kind;
  private int processCount;
  private final List<String> caches = new ArrayList<>();
  private double clientRate;
  private Duration end;
  private ProcessSettings settings = ProcessSettings.DEFAULTS;
  private final List<TimedAction> actions = new ArrayList<>();
  private final List<Expectation> expectations = new ArrayList<>();

  ScheduleParser(String file) {
    this.file = file;
  }

  Schedule parse(List<String> lines) throws MalformedScheduleException {
    for (int i = 0; i < lines.size(); i++) {
      parseLine(i + 1, lines.get(i));
    }
    checkComplete(lines.size());
    actions.sort(Comparator.comparing(TimedAction::at));
    return new Schedule(
        file,
        seed,
        kind,
        processCount,
        List.copyOf(caches),
        clientRate,
        end,
        settings,
        List.copyOf(actions),
        List.copyOf(expectations));
  }

  private void parseLine(int line, String text) throws MalformedScheduleException {
    String statement = text.replaceAll("#.*", "").strip();
    if (statement.isEmpty()) {
      return;
    }
    StatementReader words = new StatementReader(statement);
    try {
      parseStatement(line, statement, words);
      words.expectEnd();
    } catch (IllegalArgumentException e) {
      throw new MalformedScheduleException(file, line, e.getMessage());
    }
  }

  private void checkComplete(int lastLine) throws MalformedScheduleException {
    if (processCount == 0) {
      throw missing("processes", lastLine);
    }
    if (end == null) {
      throw missing("until", lastLine);
    }
    if (expectations.isEmpty()) {
      throw missing("expect", lastLine);
    }
    for (TimedAction action : actions) {
      if (action.at().compareTo(end) > 0) {
        throw new MalformedScheduleException(file, action.line(), "the action is after the end");
      }
    }
  }

  private MalformedScheduleException missing(String statement, int lastLine) {
    return new MalformedScheduleException(
        file, lastLine, "the statement " + statement + " is missing");
  }

  private void parseStatement(int line, String text, StatementReader words) {
    String keyword = words.next("a statement");
    switch (keyword) {
      case "processes" -> parseProcesses(words);
      case "seed" -> seed = words.number("a seed", 0, Long.MAX_VALUE);
      case "clients" -> clientRate = words.rate("a rate");
      case "until" -> end = words.time("a time");
      case "at" -> {
        Duration at = words.time("a time");
        addAction(at, line, text, words.next("an action"), words);
      }
      case "loss", "delay", "duplicate", "cut" ->
          addAction(Duration.ZERO, line, text, keyword, words);
      case "expect" -> parseExpectation(line, words);
      case "seeds" -> parseSeeds(words);
      case "voters" -> settings = settings.withVoters(words.rest());
      case "timing" ->
          settings = settings.withTiming(words.next("a probe interval"), words.next("a pause"));
      case "weight" -> settings = settings.withWeight(words.decimal("a weight"));
      case "gateway-count" ->
          settings = settings.withGatewayCount((int) words.number("a count", 1, Integer.MAX_VALUE));
      case "shared-addresses" -> settings = settings.withSharedAddresses();
      default -> throw new IllegalArgumentException("unknown statement " + keyword);
    }
  }

  private void addAction(Duration at, int line, String text, String verb, StatementReader words) {
    ActionParser parser = new ActionParser(processCount, caches);
    actions.add(new TimedAction(at, line, text, parser.parse(verb, words)));
  }

  private void parseExpectation(int line, StatementReader words) {
    String first = words.next("a checker");
    boolean breach = first.equals("breach");
    String checker = breach ? words.next("a checker") : first;
    expectations.add(new Expectation(checker, words.rest(), breach, line));
  }

  private void parseSeeds(StatementReader words) {
    List<String> names = new ArrayList<>(words.rest());
    boolean together = names.remove("together");
    settings = settings.withSeeds(List.copyOf(names), together);
  }

  private void parseProcesses(StatementReader words) {
    processCount = (int) words.number("the number of processes", 1, MAX_PROCESSES);
    String kindName = words.next("a kind of processes");
    kind = KINDS.get(kindName);
    if (kind == null) {
      throw new IllegalArgumentException(
          "processes must be gateways, members or stubs, not " + kindName);
    }
    int edges = kind == ProcessKind.STUBS ? 0 : DEFAULT_EDGES;
    if (!words.isEmpty()) {
      words.expect("with");
      edges = (int) words.number("the number of caches", 1, MAX_EDGES);
      words.expect("caches");
    }
    for (int i = 0; i < edges; i++) {
      caches.add(String.valueOf((char) ('a' + i)));
    }
    if (edges > 0) {
      caches.addAll(List.of("parent", "origin"));
    }
  }
}
