package tamarindroute.rig.schedule;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A schedule as read, its deeds in the order of their times. */
public final class Schedule {

  /** What the processes are. */
  public enum Kind {
    GATEWAYS,
    MEMBERS,
    STAND_INS
  }

  /** A deed can't be done twice at once, so it is told with its text. */
  public interface Deed {
    void on(Stage stage) throws Exception;
  }

  /** What is done when; the line is the one of the file. */
  public record Step(Duration at, int line, String text, Deed deed) {}

  /** A checker by name, with its words; or that this checker finds a breach. */
  public record Expectation(String name, List<String> words, boolean breach, int line) {}

  public final String file;
  public long seed = 1;
  public Kind kind;
  public int processes;

  /** Caches by name: the edges a, b ..., then the parent and the origin. */
  public final List<String> caches = new ArrayList<>();

  public double clients;
  public Duration until;

  /** Words that only the maker of the processes' settings reads: seeds, voters, timing and such. */
  public final List<List<String>> settings = new ArrayList<>();

  public final List<Step> steps = new ArrayList<>();
  public final List<Expectation> expectations = new ArrayList<>();

  Schedule(String file) {
    this.file = file;
  }

  public static Schedule read(Path file) throws IOException, MalformedScheduleException {
    return parse(file.getFileName().toString(), Files.readAllLines(file));
  }

  public static Schedule parse(String file, List<String> lines) throws MalformedScheduleException {
    Schedule schedule = new Schedule(file);
    Words words = new Words(schedule);
    for (int i = 0; i < lines.size(); i++) {
      words.read(i + 1, lines.get(i));
    }
    words.end(lines.size());
    schedule.steps.sort(Comparator.comparing(Step::at));
    return schedule;
  }

  /** Processes by number. */
  public List<String> numbers() {
    List<String> all = new ArrayList<>();
    for (int i = 1; i <= processes; i++) {
      all.add(String.valueOf(i));
    }
    return all;
  }

  /** All that a way can come from or lead to. */
  public List<String> places() {
    List<String> all = numbers();
    all.addAll(caches);
    all.add("feed");
    return all;
  }
}
