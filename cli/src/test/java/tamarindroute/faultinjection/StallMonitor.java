package tamarindroute.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Journals how long threads of the test and of the program wait for a processor, so that checks can
 * tell a busy machine from a slow program. Uses Linux's scheduler statistics, which count only time
 * in which a thread could run and did not.
 */
final class StallMonitor {

  private static final long INTERVAL_MS = 50;

  /** Waits within this time add up. */
  private static final long SAMPLE_WINDOW = 300 * Journal.NANOS_PER_MS;

  private static final double REPORT_THRESHOLD_MS = 20;

  /** The field of a thread's schedstat that holds its nanoseconds on a run queue. */
  private static final int WAIT_FIELD = 1;

  private final ScenarioContext context;
  private final Path threadDirectory;
  private final Map<String, Deque<Sample>> samplesByThread = new HashMap<>();

  /** How long a thread had waited in all, at a time by {@link System#nanoTime}. */
  private record Sample(long takenAt, long waitedNanos) {}

  StallMonitor(ScenarioContext context, long pid) {
    this.context = context;
    this.threadDirectory = Path.of("/proc/" + pid + "/task");
  }

  /** Runs until the scenario is over. */
  void run() {
    while (!context.finished) {
      long before = System.nanoTime();
      Threads.sleep(INTERVAL_MS);
      double ownDelay = (System.nanoTime() - before) / 1e6 - INTERVAL_MS;
      double longest = Math.max(ownDelay, longestWaitMillis());
      if (longest > REPORT_THRESHOLD_MS) {
        context
            .journal
            .event(EventKind.STALL, "machine")
            .with(EventField.DURATION_MS, String.format(Locale.ROOT, "%.0f", longest))
            .add();
      }
    }
  }

  /** The longest wait of any of the program's threads within the sample window. */
  private double longestWaitMillis() {
    double longest = 0;
    try (Stream<Path> threads = Files.list(threadDirectory)) {
      for (Path thread : (Iterable<Path>) threads::iterator) {
        longest = Math.max(longest, waitMillis(thread));
      }
    } catch (IOException | RuntimeException e) {
      // A thread has ended, or the system has no such statistics: nothing more is known.
    }
    return longest;
  }

  private double waitMillis(Path thread) throws IOException {
    String[] statistics = Files.readString(thread.resolve("schedstat")).split("\\s+", -1);
    Sample now = new Sample(System.nanoTime(), Long.parseLong(statistics[WAIT_FIELD]));
    Deque<Sample> samples =
        samplesByThread.computeIfAbsent(thread.toString(), key -> new ArrayDeque<>());
    samples.add(now);
    while (now.takenAt - samples.element().takenAt > SAMPLE_WINDOW) {
      samples.remove();
    }
    return (now.waitedNanos - samples.element().waitedNanos) / 1e6;
  }
}
