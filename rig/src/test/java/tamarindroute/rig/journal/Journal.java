package tamarindroute.rig.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The merged log of one run, in the order in which its lines were read. Thread-safe. */
public final class Journal {

  /** Entry that marks the start of a schedule's times. */
  public static final String RUN_BEGINS = "run begins";

  /** Entry that marks the end of a run. */
  public static final String RUN_ENDS = "run ends";

  /** Bounds the memory; a run of 16 processes writes some 50,000 entries. */
  private static final int MAX_ENTRIES = 400_000;

  private final long startNanos = System.nanoTime();
  private final List<JournalEntry> entries = new ArrayList<>();

  /** Time since the journal was created. */
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /** Stamps and adds an entry; returns its time. */
  public synchronized Duration add(String source, String text) {
    Duration now = now();
    if (entries.size() < MAX_ENTRIES) {
      entries.add(new JournalEntry(now, source, text));
    } else if (entries.size() == MAX_ENTRIES) {
      entries.add(new JournalEntry(now, JournalEntry.RIG, "too many entries: the rest is dropped"));
    }
    notifyAll();
    return now;
  }

  /** A copy of all entries so far. */
  public synchronized List<JournalEntry> entries() {
    return List.copyOf(entries);
  }

  /** Waits for an entry; false if there is none before the timeout. */
  public synchronized boolean await(Predicate<JournalEntry> wanted, Duration timeout)
      throws InterruptedException {
    long endNanos = System.nanoTime() + timeout.toNanos();
    int next = 0;
    while (true) {
      for (; next < entries.size(); next++) {
        if (wanted.test(entries.get(next))) {
          return true;
        }
      }
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (leftMillis <= 0) {
        return false;
      }
      wait(leftMillis);
    }
  }

  /** The text of a source's last entry that contains some words; empty where there is none. */
  public synchronized String lastText(String source, String words) {
    for (int i = entries.size() - 1; i >= 0; i--) {
      JournalEntry entry = entries.get(i);
      if (entry.isFrom(source) && entry.text().contains(words)) {
        return entry.text();
      }
    }
    return "";
  }

  /** Writes all entries to a file. */
  public void write(Path file) throws IOException {
    Files.write(file, entries().stream().map(JournalEntry::toString).toList());
  }

  /** The entries around a time, as text, with the first one at or after it marked. */
  public static String excerpt(List<JournalEntry> entries, Duration at, int around) {
    int middle = 0;
    while (middle < entries.size() && entries.get(middle).at().compareTo(at) < 0) {
      middle++;
    }
    int from = Math.max(0, middle - around);
    int to = Math.min(entries.size(), middle + around);
    StringBuilder text = new StringBuilder();
    for (int i = from; i < to; i++) {
      text.append(i == middle ? "  > " : "    ").append(entries.get(i)).append('\n');
    }
    return text.toString();
  }
}
