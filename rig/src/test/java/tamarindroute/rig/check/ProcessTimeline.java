package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.journal.ProcessEvent;

/** When which process was down, paused or throttled, by the rig's record of its own actions. */
final class ProcessTimeline {

  /** A span of time that includes both ends. */
  private record Interval(Duration from, Duration to) {
    boolean overlaps(Duration start, Duration end) {
      return start.compareTo(to) <= 0 && end.compareTo(from) >= 0;
    }
  }

  /** Later than every run. */
  static final Duration NEVER = Duration.ofDays(1);

  /** A terminated gateway still takes requests on open connections for this long. */
  private static final Duration TERMINATION_NOTICE = Duration.ofMillis(200);

  private final Map<String, List<Interval>> down = new TreeMap<>();
  private final Map<String, List<Interval>> paused = new TreeMap<>();
  private final Map<String, Duration> downSince = new TreeMap<>();
  private final Map<String, Duration> pausedSince = new TreeMap<>();
  private final Duration end;

  ProcessTimeline(List<JournalEntry> journal) {
    journal.forEach(entry -> ProcessEvent.parse(entry).ifPresent(this::add));
    downSince.forEach((process, from) -> close(down, process, from, NEVER));
    pausedSince.forEach((process, from) -> close(paused, process, from, NEVER));
    end = journal.isEmpty() ? Duration.ZERO : journal.get(journal.size() - 1).at();
  }

  private void add(ProcessEvent event) {
    String process = event.process();
    switch (event.kind()) {
      case KILLED -> downSince.putIfAbsent(process, event.at());
      case TERMINATED -> downSince.putIfAbsent(process, event.at().plus(TERMINATION_NOTICE));
      case STARTED -> close(down, process, downSince.remove(process), event.at());
      case PAUSED, THROTTLED -> pausedSince.putIfAbsent(process, event.at());
      case RESUMED, UNTHROTTLED -> close(paused, process, pausedSince.remove(process), event.at());
      case EXITED -> {
        // The rig's own actions have been recorded before; others are another checker's matter.
      }
    }
  }

  private static void close(
      Map<String, List<Interval>> intervals, String process, Duration from, Duration to) {
    if (from != null) {
      intervals.computeIfAbsent(process, name -> new ArrayList<>()).add(new Interval(from, to));
    }
  }

  /** The time of the journal's last entry. */
  Duration end() {
    return end;
  }

  /** Whether a process was down at some time within a span. */
  boolean downWithin(String process, Duration from, Duration to) {
    return down.getOrDefault(process, List.of()).stream()
        .anyMatch(interval -> interval.overlaps(from, to));
  }

  /** Whether a process is down when the journal ends. */
  boolean downAtEnd(String process) {
    return downWithin(process, end, end);
  }

  /** For how long a process was paused or throttled within a span. */
  Duration pausedWithin(String process, Duration from, Duration to) {
    Duration sum = Duration.ZERO;
    for (Interval interval : paused.getOrDefault(process, List.of())) {
      Duration start = interval.from.compareTo(from) > 0 ? interval.from : from;
      Duration stop = interval.to.compareTo(to) < 0 ? interval.to : to;
      if (stop.compareTo(start) > 0) {
        sum = sum.plus(stop.minus(start));
      }
    }
    return sum;
  }
}
