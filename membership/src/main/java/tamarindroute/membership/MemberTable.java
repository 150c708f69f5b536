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
 * Table of the other members, with the latest known incarnation for each address. The size is
 * bounded. A full table drops the member that has been gone (faulty or left) for longest when
 * another member is added.
 *
 * <p>Live members (alive or suspect) are also in a list that is probed round robin. The list is
 * shuffled anew in each round, one position at a time (Fisher-Yates).
 */
final class MemberTable {

  /** Maximum number of random draws per requested member, plus {@link #EXTRA_DRAWS} in total. */
  private static final int DRAWS_PER_PICK = 4;

  /** Random draws per selection, in addition to {@link #DRAWS_PER_PICK} per requested member. */
  private static final int EXTRA_DRAWS = 8;

  private final int maxMembers;
  private final Map<Address, MemberEntry> entries = new LinkedHashMap<>();
  private final List<MemberEntry> liveEntries = new ArrayList<>();
  private final LinkedHashSet<Address> suspects = new LinkedHashSet<>();

  /** Members that are faulty or have left, in the order of these state changes. */
  private final LinkedHashSet<Address> gone = new LinkedHashSet<>();

  /** Members that have requested admission and have not sent a message as a member yet. */
  private final LinkedHashSet<Address> joining = new LinkedHashSet<>();

  /** Index in the live list of the next member to probe; those before it were probed this round. */
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

  /** Returns the state that determines future behaviour, for a model checker. */
  List<Object> stateKey(long nowNanos) {
    List<Object> key = new ArrayList<>(List.of(probePosition));
    entries.values().stream()
        .sorted(Comparator.comparing(entry -> entry.member.address()))
        .forEach(entry -> key.add(entry.stateKey(nowNanos)));
    return key;
  }

  /** Returns the entry of the member at an address, of whatever incarnation, or null if none. */
  MemberEntry find(Address address) {
    return entries.get(address);
  }

  /** Returns the entry of exactly the given incarnation, or null if the table does not have it. */
  MemberEntry find(Member member) {
    MemberEntry entry = entries.get(member.address());
    return entry != null && entry.member.incarnation() == member.incarnation() ? entry : null;
  }

  Collection<MemberEntry> entries() {
    return entries.values();
  }

  /**
   * Adds a member and removes any other incarnation at its address.
   *
   * @return the new entry, or null if the table is full and no member in it is gone
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

  /** Changes the state of an entry and drops the observers' reports of its previous state. */
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
    // A random position among the members that were not probed in this round yet.
    swap(entry.probeIndex, randomUnprobedIndex(random));
  }

  private void removeFromLiveList(MemberEntry entry) {
    if (entry.probeIndex == MemberEntry.NOT_LIVE) {
      return;
    }
    // Keeps the members that were probed in this round before the probe position.
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
   * Returns the next live member in round-robin order, or empty if there is none. Each member is
   * returned once before any is returned again. The order is shuffled anew for each round.
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

  /**
   * Returns the live member whose hash follows the given one on the hash ring, or empty if there is
   * none. Skips members that the observer has reported as suspect already, so that the observer
   * probes the member after them.
   */
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
   * Returns randomly selected members that are alive and not suspect.
   *
   * @param count maximum number of members; fewer are returned if not enough members are eligible
   *     or the draws hit too few of them
   * @param excluded member that is never selected; null for none
   */
  List<MemberEntry> randomAlive(int count, MemberEntry excluded, DeterministicRandom random) {
    List<MemberEntry> chosen = new ArrayList<>(count);
    int size = liveEntries.size();
    int start = random.nextInt(size);
    int maxDraws = Math.min(size, DRAWS_PER_PICK * count + EXTRA_DRAWS);
    // Random draws would miss some members of a short list, so a short list is scanned in order.
    boolean isShortList = size <= maxDraws;
    for (int i = 0; i < maxDraws && chosen.size() < count; i++) {
      int index = isShortList ? (start + i) % size : random.nextInt(size);
      MemberEntry entry = liveEntries.get(index);
      if (entry != excluded && entry.state == MemberState.ALIVE && !chosen.contains(entry)) {
        chosen.add(entry);
      }
    }
    return chosen;
  }

  /** Returns a randomly selected faulty member, never one that has left; empty if there is none. */
  Optional<MemberEntry> randomFaulty(DeterministicRandom random) {
    // Selects the last faulty member up to a random position, or else the first one after it.
    int remaining = random.nextInt(gone.size());
    MemberEntry found = null;
    for (Address address : gone) {
      MemberEntry entry = entries.get(address);
      if (entry.state == MemberState.FAULTY && (found == null || remaining >= 0)) {
        found = entry;
      }
      remaining--;
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

  /** Returns the members that are alive or suspect. Not a copy: reflects later changes. */
  List<MemberEntry> liveEntries() {
    return liveEntries;
  }

  /** Returns the number of other members that are alive and not suspect. */
  int unsuspectedCount() {
    return liveEntries.size() - suspects.size();
  }

  /** Returns the number of other members in any state. */
  int size() {
    return entries.size();
  }
}
