package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.journal.LinkEvent;
import tamarindroute.rig.journal.ProcessEvent;

/**
 * Which processes could reach which, also over others, by the links that the rig had cut and the
 * processes that it had ended. Pauses are ignored.
 */
final class Reachability {

  /** The links that are cut and the processes that are up from a time on. */
  private record Topology(Duration from, Set<String> cutLinks, Set<String> up) {
    boolean isCut(String sender, String receiver) {
      return cutLinks.contains(LinkEvent.nameOf(sender, receiver));
    }

    boolean connects(String one, String other) {
      return reaches(one, other) && reaches(other, one);
    }

    private boolean reaches(String from, String to) {
      if (!up.contains(from)) {
        return false;
      }
      Set<String> seen = new HashSet<>(Set.of(from));
      ArrayDeque<String> open = new ArrayDeque<>(seen);
      while (!open.isEmpty()) {
        String next = open.remove();
        for (String other : up) {
          if (!isCut(next, other) && seen.add(other)) {
            open.add(other);
          }
        }
      }
      return seen.contains(to);
    }

    boolean connectsToMajority(String process) {
      long connected = up.stream().filter(other -> connects(process, other)).count();
      return 2 * connected > up.size();
    }

    boolean isolates(String process) {
      if (!up.contains(process) || up.size() == 1) {
        return false;
      }
      List<String> others = up.stream().filter(other -> !other.equals(process)).toList();
      return others.stream().allMatch(other -> isCut(process, other))
          || others.stream().allMatch(other -> isCut(other, process));
    }
  }

  private final Set<String> processes = new TreeSet<>();
  private final List<Topology> topologies = new ArrayList<>();

  Reachability(List<JournalEntry> journal) {
    Set<String> cutLinks = new HashSet<>();
    Set<String> up = new TreeSet<>();
    for (JournalEntry entry : journal) {
      if (!entry.isFrom(JournalEntry.RIG)) {
        continue;
      }
      LinkEvent.parse(entry).ifPresent(event -> apply(event, cutLinks));
      ProcessEvent.parse(entry).ifPresent(event -> apply(event, up));
      topologies.add(new Topology(entry.at(), Set.copyOf(cutLinks), Set.copyOf(up)));
    }
  }

  private static void apply(LinkEvent event, Set<String> cutLinks) {
    if (event.cut()) {
      cutLinks.add(event.link());
    } else {
      cutLinks.remove(event.link());
    }
  }

  private void apply(ProcessEvent event, Set<String> up) {
    processes.add(event.process());
    switch (event.kind()) {
      case STARTED -> up.add(event.process());
      case KILLED, TERMINATED -> up.remove(event.process());
      case PAUSED, RESUMED, THROTTLED, UNTHROTTLED, EXITED -> {
        // Pauses are ignored; the rig's own ends are recorded before the exit.
      }
    }
  }

  /** The names of all processes, sorted. */
  Set<String> processes() {
    return processes;
  }

  /** Whether two processes could reach each other during the whole span. */
  boolean connected(String one, String other, Duration from, Duration to) {
    return within(from, to).allMatch(topology -> topology.connects(one, other));
  }

  /** Whether a process and more than half of all could reach each other during the whole span. */
  boolean withMajority(String process, Duration from, Duration to) {
    return within(from, to).allMatch(topology -> topology.connectsToMajority(process));
  }

  /** Whether a process ran, and received from nobody or was received by nobody, during the span. */
  boolean isolated(String process, Duration from, Duration to) {
    return within(from, to).allMatch(topology -> topology.isolates(process));
  }

  /** The times at which something may have changed. */
  List<Duration> changes() {
    return topologies.stream().map(Topology::from).toList();
  }

  private Stream<Topology> within(Duration from, Duration to) {
    List<Topology> result = new ArrayList<>();
    for (int i = 0; i < topologies.size(); i++) {
      boolean begins = topologies.get(i).from.compareTo(to) <= 0;
      boolean lasts = i + 1 == topologies.size() || topologies.get(i + 1).from.compareTo(from) > 0;
      if (begins && lasts) {
        result.add(topologies.get(i));
      }
    }
    return result.stream();
  }
}
