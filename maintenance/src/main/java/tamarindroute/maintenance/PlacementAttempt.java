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
 * Places the caches of a request in one order, each at the earliest start at which it causes no
 * shortage.
 *
 * <p>If the outage of one cache leaves another cache of the request without capacity, both may be
 * taken out of service together, since the load of the second one then moves to other caches. Such
 * caches are placed as a group.
 */
final class PlacementAttempt {
  /** Result of a search that found no bin. */
  private static final int NO_BIN = -1;

  private final CoverageTimeline timeline;
  private final BinnedRequest request;
  private final int maxGroupSize;
  private final Set<Integer> remaining = new TreeSet<>();
  private Shortage leastSevere;

  PlacementAttempt(
      CoverageTimeline timeline, BinnedRequest request, int maxGroupSize, Shortage leastSevere) {
    this.timeline = timeline;
    this.request = request;
    this.maxGroupSize = maxGroupSize;
    this.leastSevere = leastSevere;
  }

  /**
   * Places every cache for which there is a start, and returns the required number of placements
   * with the earliest starts. The timeline is restored afterwards.
   */
  Candidate place(List<Integer> order) {
    Map<Integer, Availability[]> before = new TreeMap<>();
    order.forEach(cache -> before.put(cache, availabilityByBin(cache)));
    remaining.addAll(order);
    List<Candidate.Placement> placements = new ArrayList<>();
    List<Integer> unplaced = new ArrayList<>();
    for (int cache : order) {
      if (!remaining.contains(cache)) {
        continue;
      }
      List<Integer> group = new ArrayList<>(List.of(cache));
      int start = markEarliest(group);
      if (start == NO_BIN) {
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

  private Availability[] availabilityByBin(int cache) {
    Availability[] availability = new Availability[timeline.input().binCount()];
    for (int bin = 0; bin < availability.length; bin++) {
      availability[bin] = timeline.get(cache, bin);
    }
    return availability;
  }

  private void restore(int cache, Availability[] availability) {
    for (int bin = 0; bin < availability.length; bin++) {
      timeline.set(cache, bin, availability[bin]);
    }
  }

  /**
   * Marks the group at its first possible start and returns that start, or {@link #NO_BIN} if there
   * is none.
   */
  private int markEarliest(List<Integer> group) {
    int start = request.firstStart();
    while (start <= request.lastStart()) {
      int rejectingBin = mark(group, start);
      if (rejectingBin == NO_BIN) {
        return start;
      }
      // A bin in which the cache can't be out of service rules out all starts whose outage contains
      // the bin, unless other caches may join the group.
      boolean skipPastBin = maxGroupSize == 1 && rejectingBin < start + request.length();
      start = skipPastBin ? rejectingBin + 1 : start + 1;
    }
    return NO_BIN;
  }

  /**
   * Marks the group as out of service and then cold, from a start. Caches may be added to the
   * group.
   *
   * @return {@link #NO_BIN} if the group is marked, else the bin with the shortage; the timeline is
   *     unchanged then
   */
  private int mark(List<Integer> group, int start) {
    Availability[][] before = new Availability[group.size()][request.span()];
    for (int offset = 0; offset < request.span(); offset++) {
      Optional<Shortage> shortage = markBin(group, start, offset, before);
      if (shortage.isPresent()) {
        keepLeastSevere(shortage.get());
        unmark(group, start, offset, before);
        return markWithBlocker(group, shortage.get(), start) ? NO_BIN : start + offset;
      }
    }
    return NO_BIN;
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

  /**
   * Adds the cache that lacks capacity to the group and marks the group, if that cache belongs to
   * the request and is not placed yet.
   */
  private boolean markWithBlocker(List<Integer> group, Shortage shortage, int start) {
    if (shortage.kind() != Shortage.Kind.CAPACITY || group.size() >= maxGroupSize) {
      return false;
    }
    Integer blocker = timeline.topology().indexOf(shortage.cache());
    if (!remaining.contains(blocker) || group.contains(blocker)) {
      return false;
    }
    group.add(blocker);
    if (mark(group, start) == NO_BIN) {
      return true;
    }
    group.remove(blocker);
    return false;
  }

  /**
   * Marks the group in one bin and saves the previous availability. Returns the resulting shortage.
   */
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

  /**
   * Returns the shortage for a cache that is already out of service or cold in a bin and therefore
   * can't have another window there.
   */
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
