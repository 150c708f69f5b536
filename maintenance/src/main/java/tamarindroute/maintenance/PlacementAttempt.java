package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Places a request's caches in one order, each at the earliest start at which it causes no
 * shortage.
 *
 * <p>A cache that would lack capacity because another goes out may go out with it, since its own
 * load then moves elsewhere: such caches are placed as a group.
 */
final class PlacementAttempt {
  private static final int NONE = -1;

  private final CoverageTimeline timeline;
  private final BinnedRequest request;
  private final int maxGroup;
  private final Set<Integer> remaining = new TreeSet<>();
  private Shortage leastSevere;

  PlacementAttempt(
      CoverageTimeline timeline, BinnedRequest request, int maxGroup, Shortage leastSevere) {
    this.timeline = timeline;
    this.request = request;
    this.maxGroup = maxGroup;
    this.leastSevere = leastSevere;
  }

  /** Places all that can be placed and keeps the required number that end first. */
  Candidate place(List<Integer> order) {
    Map<Integer, Availability[]> before = new TreeMap<>();
    order.forEach(cache -> before.put(cache, column(cache)));
    remaining.addAll(order);
    List<Candidate.Placement> placements = new ArrayList<>();
    List<Integer> unplaced = new ArrayList<>();
    for (int cache : order) {
      if (!remaining.contains(cache)) {
        continue;
      }
      List<Integer> group = new ArrayList<>(List.of(cache));
      int start = markEarliest(group);
      if (start == NONE) {
        unplaced.add(cache);
      } else {
        group.forEach(member -> placements.add(new Candidate.Placement(member, start)));
        remaining.removeAll(group);
      }
    }
    before.forEach(this::restore);
    placements.sort(Comparator.comparingInt(Candidate.Placement::start));
    int kept = Math.min(request.required(), placements.size());
    return new Candidate(List.copyOf(placements.subList(0, kept)), unplaced, leastSevere);
  }

  private Availability[] column(int cache) {
    Availability[] column = new Availability[timeline.input().binCount()];
    for (int bin = 0; bin < column.length; bin++) {
      column[bin] = timeline.get(cache, bin);
    }
    return column;
  }

  private void restore(int cache, Availability[] column) {
    for (int bin = 0; bin < column.length; bin++) {
      timeline.set(cache, bin, column[bin]);
    }
  }

  /** The first start at which the group fits, which is then marked; {@link #NONE} for none. */
  private int markEarliest(List<Integer> group) {
    int start = request.firstStart();
    while (start <= request.lastStart()) {
      int rejectingBin = mark(group, start);
      if (rejectingBin == NONE) {
        return start;
      }
      // A bin that can't spare the cache rejects all starts whose window contains it, unless other
      // caches may join.
      boolean skip = maxGroup == 1 && rejectingBin < start + request.length();
      start = skip ? rejectingBin + 1 : start + 1;
    }
    return NONE;
  }

  /**
   * Marks the group as out, then cold, from a start. The group may grow.
   *
   * @return {@link #NONE} when marked, else the bin with the shortage; nothing is marked then
   */
  private int mark(List<Integer> group, int start) {
    Availability[][] before = new Availability[group.size()][request.span()];
    for (int offset = 0; offset < request.span(); offset++) {
      Optional<Shortage> shortage = markBin(group, start, offset, before);
      if (shortage.isPresent()) {
        keepLeastSevere(shortage.get());
        unmark(group, start, offset, before);
        return markWithBlocker(group, shortage.get(), start) ? NONE : start + offset;
      }
    }
    return NONE;
  }

  private void keepLeastSevere(Shortage shortage) {
    if (leastSevere == null || shortage.severity() < leastSevere.severity()) {
      leastSevere = shortage;
    }
  }

  private void unmark(List<Integer> group, int start, int lastOffset, Availability[][] before) {
    for (int offset = lastOffset; offset >= 0; offset--) {
      for (int member = 0; member < group.size(); member++) {
        timeline.set(group.get(member), start + offset, before[member][offset]);
      }
    }
  }

  /** Marks the group together with the cache that lacks capacity, if that may still be placed. */
  private boolean markWithBlocker(List<Integer> group, Shortage shortage, int start) {
    if (shortage.kind() != Shortage.Kind.CAPACITY || group.size() >= maxGroup) {
      return false;
    }
    Integer blocker = timeline.topology().indexOf(shortage.cache());
    if (!remaining.contains(blocker) || group.contains(blocker)) {
      return false;
    }
    group.add(blocker);
    if (mark(group, start) == NONE) {
      return true;
    }
    group.remove(blocker);
    return false;
  }

  /** Marks one bin and saves what was there; returns the shortage that follows. */
  private Optional<Shortage> markBin(
      List<Integer> group, int start, int offset, Availability[][] before) {
    Availability value = offset < request.length() ? Availability.OUT : Availability.COLD;
    int bin = start + offset;
    Optional<Shortage> shortage = Optional.empty();
    for (int member = 0; member < group.size(); member++) {
      int cache = group.get(member);
      before[member][offset] = timeline.get(cache, bin);
      if (before[member][offset] != Availability.IN_SERVICE) {
        shortage = Optional.of(notInService(cache, bin));
      }
      timeline.set(cache, bin, value);
    }
    for (int member = 0; member < group.size() && shortage.isEmpty(); member++) {
      shortage = timeline.shortageCausedBy(group.get(member), bin);
    }
    return shortage;
  }

  /** A cache that is out or cold already can't have a window at the same time. */
  private Shortage notInService(int cache, int bin) {
    return new Shortage(
        Shortage.Kind.TIME,
        Shortage.NO_RANGE,
        timeline.topology().nameOf(cache),
        1,
        0,
        timeline.input().timeOf(bin));
  }
}
