package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tamarindroute.rig.journal.Line;

/**
 * When which process was not itself: down, stopped or starved, by what the rig wrote down of its
 * own deeds.
 */
final class Times {

  /** Open at its end where nothing ended it. */
  record Span(Duration from, Duration to) {
    boolean holds(Duration at) {
      return at.compareTo(from) >= 0 && at.compareTo(to) <= 0;
    }

    boolean meets(Duration start, Duration end) {
      return start.compareTo(to) <= 0 && end.compareTo(from) >= 0;
    }
  }

  /** Beyond every play. */
  static final Duration NEVER = Duration.ofDays(1);

  /**
   * After a notice to go a gateway takes what comes on open connections for so long, and may then
   * end them.
   */
  private static final Duration NOTICE = Duration.ofMillis(200);

  final Map<String, List<Span>> down = new TreeMap<>();
  final Map<String, List<Span>> paused = new TreeMap<>();
  final Duration end;

  Times(List<Line> journal) {
    Map<String, Duration> since = new TreeMap<>();
    Map<String, Duration> pausedSince = new TreeMap<>();
    Duration last = Duration.ZERO;
    for (Line line : journal) {
      last = line.at();
      if (!line.by("rig") || !line.text().startsWith("process ")) {
        continue;
      }
      String[] words = line.text().split(" ");
      switch (words[2]) {
        case "killed" -> since.putIfAbsent(words[1], line.at());
        case "leaves" -> since.putIfAbsent(words[1], line.at().plus(NOTICE));
        case "started" -> close(down, words[1], since.remove(words[1]), line.at());
        case "stopped", "starved" -> pausedSince.putIfAbsent(words[1], line.at());
        case "resumed", "fed" -> close(paused, words[1], pausedSince.remove(words[1]), line.at());
        default -> {}
      }
    }
    since.forEach((who, from) -> close(down, who, from, NEVER));
    pausedSince.forEach((who, from) -> close(paused, who, from, NEVER));
    end = last;
  }

  private static void close(Map<String, List<Span>> spans, String who, Duration from, Duration to) {
    if (from != null) {
      spans.computeIfAbsent(who, name -> new ArrayList<>()).add(new Span(from, to));
    }
  }

  boolean downWithin(String who, Duration from, Duration to) {
    return down.getOrDefault(who, List.of()).stream().anyMatch(span -> span.meets(from, to));
  }

  /** How long a process was stopped or starved within this time. */
  Duration pausedWithin(String who, Duration from, Duration to) {
    Duration sum = Duration.ZERO;
    for (Span span : paused.getOrDefault(who, List.of())) {
      Duration start = span.from.compareTo(from) > 0 ? span.from : from;
      Duration stop = span.to.compareTo(to) < 0 ? span.to : to;
      sum = stop.compareTo(start) > 0 ? sum.plus(stop.minus(start)) : sum;
    }
    return sum;
  }
}
