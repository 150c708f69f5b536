package tamarindroute.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Table of the other members: the latest known incarnation for each address. Bounded; drops the
 * member that has been gone longest when full.
 *
 * <p>Live members stand in a list that is probed round robin and shuffled while it is walked.
 */
final class MemberTable {

  /** Random picks give up after this many draws for each wanted member, plus a constant. */
  private static final int DRAWS_PER_PICK = 4;

  private static final int EXTRA_DRAWS = 8;

  private final int maxMembers;
  private final Map<Address, MemberEntry> entries = new LinkedHashMap<>();
  private final List<MemberEntry> liveEntries = new ArrayList<>();
  private final LinkedHashSet<Address> suspects = new LinkedHashSet<>();

  /** Members that are faulty or have left, in the order in which they became so. */
  private final LinkedHashSet<Address> gone = new LinkedHashSet<>();

  private final LinkedHashSet<Address> joining = new LinkedHashSet<>();

  /** Index in the live list of the member to be probed next. */
  private int probePosition;

  MemberTable(int maxMembers) {
    this.maxMembers = maxMembers;
  }

  MemberTable copy() {
    MemberTable copy = new MemberTable(maxMembers);
    entries.forEach((address, entry) -> copy.entries.put(address, entry.copy()));
    liveEntries.forEach(entry -> copy.liveEntries.add(copy.entries.get(entry.member.address())));
    copy.suspects.addAll(suspects);
    copy.gone.addAll(gone);
    copy.joining.addAll(joining);
    copy.probePosition = probePosition;
    return copy;
  }

  List<Object> stateKey(long nowNanos) {
    List<Object> key = new ArrayList<>(List.of(probePosition));
    entries.values().stream()
        .sorted(Comparator.comparing(entry -> entry.member.address()))
        .forEach(entry -> key.add(entry.stateKey(nowNanos)));
    return key;
  }

  /** The entry of whatever incarnation is remembered at this address, or null. */
  MemberEntry find(Address address) {
    return entries.get(address);
  }

  /** The entry of exactly this incarnation, or null if it is unknown or another is remembered. */
  MemberEntry find(Member member) {
    MemberEntry entry = entries.get(member.address());
    return entry != null && entry.member.incarnation() == member.incarnation() ? entry : null;
  }

  Collection<MemberEntry> entries() {
    return entries.values();
  }

  /**
   * Adds a member in place of any earlier incarnation at its address.
   *
   * @return the new entry, or null if the table is full and nobody in it is gone
   */
  MemberEntry admit(
      Member member,
      MemberState state,
      long refutation,
      long nowNanos,
      DeterministicRandom random) {
    MemberEntry previous = entries.get(member.address());
    if (previous != null) {
      remove(previous);
    } else if (entries.size() >= maxMembers && !removeLongestGone()) {
      return null;
    }
    MemberEntry entry = new MemberEntry(member, state, refutation, nowNanos);
    entries.put(member.address(), entry);
    addToIndexes(entry, random);
    return entry;
  }

  private void remove(MemberEntry entry) {
    removeFromIndexes(entry);
    removeFromLiveList(entry);
    entries.remove(entry.member.address());
  }

  private boolean removeLongestGone() {
    if (gone.isEmpty()) {
      return false;
    }
    Address longestGone = gone.iterator().next();
    gone.remove(longestGone);
    entries.remove(longestGone);
    return true;
  }

  /** Changes the state and forgets the reports of the previous one. */
  void setState(MemberEntry entry, MemberState state, long nowNanos, DeterministicRandom random) {
    removeFromIndexes(entry);
    entry.state = state;
    entry.stateSinceNanos = nowNanos;
    entry.faultyReporters = null;
    entry.reporters = state == MemberState.SUSPECT ? new ArrayList<>(2) : null;
    addToIndexes(entry, random);
  }

  private void addToIndexes(MemberEntry entry, DeterministicRandom random) {
    Address address = entry.member.address();
    switch (entry.state) {
      case JOINING -> joining.add(address);
      case ALIVE -> addToLiveList(entry, random);
      case SUSPECT -> {
        addToLiveList(entry, random);
        suspects.add(address);
      }
      case FAULTY, LEFT -> {
        removeFromLiveList(entry);
        gone.add(address);
      }
    }
  }

  private void removeFromIndexes(MemberEntry entry) {
    Address address = entry.member.address();
    suspects.remove(address);
    gone.remove(address);
    joining.remove(address);
  }

  private void addToLiveList(MemberEntry entry, DeterministicRandom random) {
    if (entry.probeIndex != MemberEntry.NOT_LIVE) {
      return;
    }
    liveEntries.add(entry);
    entry.probeIndex = liveEntries.size() - 1;
    swap(entry.probeIndex, randomUnprobedIndex(random));
  }

  private void removeFromLiveList(MemberEntry entry) {
    if (entry.probeIndex == MemberEntry.NOT_LIVE) {
      return;
    }
    if (entry.probeIndex < probePosition) {
      probePosition--;
      swap(entry.probeIndex, probePosition);
    }
    swap(entry.probeIndex, liveEntries.size() - 1);
    liveEntries.remove(liveEntries.size() - 1);
    entry.probeIndex = MemberEntry.NOT_LIVE;
  }

  private int randomUnprobedIndex(DeterministicRandom random) {
    return probePosition + random.nextInt(liveEntries.size() - probePosition);
  }

  private void swap(int firstIndex, int secondIndex) {
    MemberEntry first = liveEntries.get(firstIndex);
    MemberEntry second = liveEntries.get(secondIndex);
    liveEntries.set(firstIndex, second);
    liveEntries.set(secondIndex, first);
    second.probeIndex = firstIndex;
    first.probeIndex = secondIndex;
  }

  /**
   * The next live member round robin. Each is returned once before any is returned again, in an
   * order that is shuffled anew for each round.
   */
  Optional<MemberEntry> nextToProbe(DeterministicRandom random) {
    if (liveEntries.isEmpty()) {
      return Optional.empty();
    }
    if (probePosition >= liveEntries.size()) {
      probePosition = 0;
    }
    swap(probePosition, randomUnprobedIndex(random));
    MemberEntry next = liveEntries.get(probePosition);
    probePosition++;
    return Optional.of(next);
  }

  /** The live member that follows a hash on the ring and is not reported by this observer yet. */
  Optional<MemberEntry> successor(int hash, Address observer) {
    MemberEntry next = null;
    for (MemberEntry entry : liveEntries) {
      if (entry.isReportedBy(observer)) {
        continue;
      }
      if (next == null || Integer.compareUnsigned(entry.hash - hash, next.hash - hash) < 0) {
        next = entry;
      }
    }
    return Optional.ofNullable(next);
  }

  /**
   * Picks members that are alive and not suspect, at random.
   *
   * @param count how many at most; fewer are returned if there are fewer or draws miss them
   * @param excluded never picked; null for none
   */
  List<MemberEntry> randomAlive(int count, MemberEntry excluded, DeterministicRandom random) {
    List<MemberEntry> chosen = new ArrayList<>(count);
    int size = liveEntries.size();
    int start = random.nextInt(size);
    int maxDraws = Math.min(size, DRAWS_PER_PICK * count + EXTRA_DRAWS);
    // Random draws would miss some of a short list, so that one is walked instead.
    boolean walk = size <= maxDraws;
    for (int i = 0; i < maxDraws && chosen.size() < count; i++) {
      int index = walk ? (start + i) % size : random.nextInt(size);
      MemberEntry entry = liveEntries.get(index);
      if (entry != excluded && entry.state == MemberState.ALIVE && !chosen.contains(entry)) {
        chosen.add(entry);
      }
    }
    return chosen;
  }

  /** Picks a faulty member at random; members that left in order are not picked. */
  Optional<MemberEntry> randomFaulty(DeterministicRandom random) {
    int skip = random.nextInt(gone.size());
    MemberEntry found = null;
    for (Address address : gone) {
      MemberEntry entry = entries.get(address);
      if (entry.state == MemberState.FAULTY && (found == null || skip >= 0)) {
        found = entry;
      }
      skip--;
    }
    return Optional.ofNullable(found);
  }

  List<MemberEntry> suspects() {
    return entriesOf(suspects);
  }

  List<MemberEntry> joining() {
    return entriesOf(joining);
  }

  private List<MemberEntry> entriesOf(Collection<Address> addresses) {
    List<MemberEntry> result = new ArrayList<>(addresses.size());
    addresses.forEach(address -> result.add(entries.get(address)));
    return result;
  }

  /** Members that are alive or suspect; a view, not a copy. */
  List<MemberEntry> liveEntries() {
    return liveEntries;
  }

  /** How many other members are alive and not suspect. */
  int unsuspectedCount() {
    return liveEntries.size() - suspects.size();
  }

  int size() {
    return entries.size();
  }
}
