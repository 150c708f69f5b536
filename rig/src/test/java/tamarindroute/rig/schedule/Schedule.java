package tamarindroute.rig.schedule;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A parsed schedule.
 *
 * @param file name of the file
 * @param seed of all random draws
 * @param kind what the processes are
 * @param processCount how many there are
 * @param caches names of the edges a, b ..., then the parent and the origin
 * @param clientRate requests per second of all clients together
 * @param end when the run ends
 * @param settings of the processes
 * @param actions in the order of their times
 * @param expectations in the order of the file
 */
public record Schedule(
    String file,
    long seed,
    ProcessKind kind,
    int processCount,
    List<String> caches,
    double clientRate,
    Duration end,
    ProcessSettings settings,
    List<TimedAction> actions,
    List<Expectation> expectations) {

  /** The name of the feeds as an end of links. */
  public static final String FEED = "feed";

  /** What the processes are. */
  public enum ProcessKind {
    /** Gateways without knowledge of each other. */
    GATEWAYS,
    /** Gateways that are members. */
    MEMBERS,
    /** The rig's own stub processes. */
    STUBS
  }

  /** Something that is done to the processes or between them. */
  public interface Action {
    /** Performs the action. */
    void applyTo(ActionTarget target) throws Exception;
  }

  /**
   * An action and its time.
   *
   * @param at time since all processes were ready; zero for before their start
   * @param line its line in the file
   * @param text the statement
   * @param action what is done
   */
  public record TimedAction(Duration at, int line, String text, Action action) {}

  /**
   * What the run is checked for.
   *
   * @param checker the checker's name
   * @param arguments of the checker
   * @param breach whether the checker must find a breach
   * @param line its line in the file
   */
  public record Expectation(String checker, List<String> arguments, boolean breach, int line) {}

  /** Reads and parses a file. */
  public static Schedule read(Path file) throws IOException, MalformedScheduleException {
    return parse(file.getFileName().toString(), Files.readAllLines(file));
  }

  /** Parses the lines of a file. */
  public static Schedule parse(String file, List<String> lines) throws MalformedScheduleException {
    return new ScheduleParser(file).parse(lines);
  }

  /** The names of the processes: their numbers from 1. */
  public List<String> processNames() {
    return processNames(processCount);
  }

  static List<String> processNames(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(String::valueOf).toList();
  }

  /** Everything that a link can come from or lead to. */
  public List<String> endpoints() {
    return endpoints(processCount, caches);
  }

  static List<String> endpoints(int processCount, List<String> caches) {
    List<String> all = new ArrayList<>(processNames(processCount));
    all.addAll(caches);
    all.add(FEED);
    return all;
  }
}
