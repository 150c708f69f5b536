package tamarindroute.rig.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The merged log of one play, in the order in which its lines were heard. */
public final class Journal {

  /**
   * Lines that are kept: a play of 16 processes writes some 50,000; a process gone wild must not
   * take the memory.
   */
  private static final int MOST = 400_000;

  private final long start = System.nanoTime();
  private final List<Line> lines = new ArrayList<>();

  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - start);
  }

  /** Stamps and keeps a line; returns its time. */
  public synchronized Duration add(String who, String text) {
    Duration now = now();
    if (lines.size() < MOST) {
      lines.add(new Line(now, who, text));
    } else if (lines.size() == MOST) {
      lines.add(new Line(now, "rig", "too many lines: the rest is not kept"));
    }
    notifyAll();
    return now;
  }

  public synchronized List<Line> lines() {
    return List.copyOf(lines);
  }

  /** Whether such a line is there, now or before the time is over. */
  public synchronized boolean await(Predicate<Line> wanted, Duration longest)
      throws InterruptedException {
    long end = System.nanoTime() + longest.toNanos();
    int next = 0;
    while (true) {
      for (; next < lines.size(); next++) {
        if (wanted.test(lines.get(next))) {
          return true;
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        return false;
      }
      wait(left);
    }
  }

  /** The last line of someone's that holds these words; empty where there is none. */
  public synchronized String last(String who, String words) {
    for (int i = lines.size() - 1; i >= 0; i--) {
      if (lines.get(i).by(who) && lines.get(i).text().contains(words)) {
        return lines.get(i).text();
      }
    }
    return "";
  }

  public void write(Path file) throws IOException {
    Files.write(file, (Iterable<String>) lines().stream().map(Line::toString)::iterator);
  }

  /** The lines around a moment, for whoever has to understand a breach. */
  public static String excerpt(List<Line> lines, Duration at, int around) {
    int middle = 0;
    while (middle < lines.size() && lines.get(middle).at().compareTo(at) < 0) {
      middle++;
    }
    StringBuilder text = new StringBuilder();
    for (int i = Math.max(0, middle - around); i < Math.min(lines.size(), middle + around); i++) {
      text.append(i == middle ? "  > " : "    ").append(lines.get(i)).append('\n');
    }
    return text.toString();
  }
}
