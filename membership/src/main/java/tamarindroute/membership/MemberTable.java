package tamarindroute.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Owns who is remembered: one life an address, the latest. The live stand in a list that is walked
 * in turn and shuffled on the way. It must never hold more than the settings tell: the longest gone
 * are forgotten first.
 */
final class MemberTable {

  private final int maxMembers;
  private final Map<Address, MemberEntry> entries = new LinkedHashMap<>();
  private final List<MemberEntry> liveEntries = new ArrayList<>();
  private final LinkedHashSet<Address> suspects = new LinkedHashSet<>();
  private final LinkedHashSet<Address> gone = new LinkedHashSet<>();
  private final LinkedHashSet<Address> joining = new LinkedHashSet<>();
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
        .sorted((a, b) -> a.member.address().compareTo(b.member.address()))
        .forEach(entry -> key.add(entry.stateKey(nowNanos)));
    return key;
  }

  MemberEntry find(Address address) {
    return entries.get(address);
  }

  /** The entry of this very life; null where it is unknown, or another life is remembered. */
  MemberEntry find(Member member) {
    MemberEntry entry = entries.get(member.address());
    return entry != null && entry.member.incarnation() == member.incarnation() ? entry : null;
  }

  Collection<MemberEntry> entries() {
    return entries.values();
  }

  /** Takes up a life in place of any earlier one; null where there is no room. */
  MemberEntry admit(
      Member member,
      MemberState state,
      long refutation,
      long nowNanos,
      DeterministicRandom random) {
    MemberEntry previous = entries.get(member.address());
    if (previous != null) {
      removeFromIndexes(previous);
      removeFromProbeOrder(previous);
      entries.remove(member.address());
    } else if (entries.size() >= maxMembers) {
      if (gone.isEmpty()) {
        return null;
      }
      Address oldest = gone.iterator().next();
      gone.remove(oldest);
      entries.remove(oldest);
    }
    MemberEntry entry = new MemberEntry(member, state, refutation, nowNanos);
    entries.put(member.address(), entry);
    addToIndexes(entry, random);
    return entry;
  }

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
      case ALIVE, SUSPECT -> {
        if (entry.probeIndex < 0) {
          liveEntries.add(entry);
          entry.probeIndex = liveEntries.size() - 1;
          swap(
              entry.probeIndex, probePosition + random.nextInt(liveEntries.size() - probePosition));
        }
        if (entry.state == MemberState.SUSPECT) {
          suspects.add(address);
        }
      }
      case AWAY, LEFT -> {
        removeFromProbeOrder(entry);
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

  private void removeFromProbeOrder(MemberEntry entry) {
    if (entry.probeIndex < 0) {
      return;
    }
    if (entry.probeIndex < probePosition) {
      probePosition--;
      swap(entry.probeIndex, probePosition);
    }
    swap(entry.probeIndex, liveEntries.size() - 1);
    liveEntries.remove(liveEntries.size() - 1);
    entry.probeIndex = -1;
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
   * The next in turn: each is met once before any is met again, in an order drawn anew each time
   * around.
   */
  MemberEntry nextToProbe(DeterministicRandom random) {
    if (liveEntries.isEmpty()) {
      return null;
    }
    probePosition = probePosition >= liveEntries.size() ? 0 : probePosition;
    swap(probePosition, probePosition + random.nextInt(liveEntries.size() - probePosition));
    return liveEntries.get(probePosition++);
  }

  /**
   * The next one on the ring of all by hash, whom this one alone always probes; where it told
   * already that one does not answer, the one behind. Null for none.
   */
  MemberEntry successor(int hash, Address self) {
    MemberEntry next = null;
    for (MemberEntry entry : liveEntries) {
      boolean alreadyReported = entry.reporters != null && entry.reporters.contains(self);
      if (!alreadyReported
          && (next == null || Integer.compareUnsigned(entry.hash - hash, next.hash - hash) < 0)) {
        next = entry;
      }
    }
    return next;
  }

  /**
   * Some that are held alive, at random, but this one; fewer where there are fewer or draws do not
   * find them.
   */
  List<MemberEntry> randomAlive(int count, MemberEntry excluded, DeterministicRandom random) {
    List<MemberEntry> chosen = new ArrayList<>(count);
    int start = random.nextInt(liveEntries.size());
    int maxDraws = Math.min(liveEntries.size(), 4 * count + 8);
    for (int i = 0; i < maxDraws && chosen.size() < count; i++) {
      // Few are walked in order, as draws would miss some; of many each is drawn.
      MemberEntry entry =
          liveEntries.get(
              liveEntries.size() <= maxDraws
                  ? (start + i) % liveEntries.size()
                  : random.nextInt(liveEntries.size()));
      if (entry != excluded && entry.state == MemberState.ALIVE && !chosen.contains(entry)) {
        chosen.add(entry);
      }
    }
    return chosen;
  }

  /**
   * One that is away, each in its turn; null for none. Those that left in order are not looked for.
   */
  MemberEntry randomFaulty(DeterministicRandom random) {
    int skip = random.nextInt(gone.size());
    MemberEntry found = null;
    for (Address address : gone) {
      MemberEntry entry = entries.get(address);
      found = entry.state == MemberState.AWAY && (found == null || skip >= 0) ? entry : found;
      skip--;
    }
    return found;
  }

  List<MemberEntry> suspects() {
    List<MemberEntry> result = new ArrayList<>(suspects.size());
    suspects.forEach(address -> result.add(entries.get(address)));
    return result;
  }

  List<MemberEntry> joining() {
    List<MemberEntry> result = new ArrayList<>(joining.size());
    joining.forEach(address -> result.add(entries.get(address)));
    return result;
  }

  List<MemberEntry> liveEntries() {
    return liveEntries;
  }

  /** How many others are held alive and under no suspicion. */
  int unsuspectedCount() {
    return liveEntries.size() - suspects.size();
  }

  int size() {
    return entries.size();
  }
}
