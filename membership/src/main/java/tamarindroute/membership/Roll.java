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
final class Roll {

  private final int most;
  private final Map<Address, Entry> all = new LinkedHashMap<>();
  private final List<Entry> live = new ArrayList<>();
  private final LinkedHashSet<Address> suspects = new LinkedHashSet<>();
  private final LinkedHashSet<Address> gone = new LinkedHashSet<>();
  private final LinkedHashSet<Address> joining = new LinkedHashSet<>();
  private int turn;

  Roll(int most) {
    this.most = most;
  }

  Roll copy() {
    Roll copy = new Roll(most);
    all.forEach((address, entry) -> copy.all.put(address, entry.copy()));
    live.forEach(entry -> copy.live.add(copy.all.get(entry.member.address())));
    copy.suspects.addAll(suspects);
    copy.gone.addAll(gone);
    copy.joining.addAll(joining);
    copy.turn = turn;
    return copy;
  }

  List<Object> key(long now) {
    List<Object> key = new ArrayList<>(List.of(turn));
    all.values().stream()
        .sorted((a, b) -> a.member.address().compareTo(b.member.address()))
        .forEach(entry -> key.add(entry.key(now)));
    return key;
  }

  Entry find(Address address) {
    return all.get(address);
  }

  /** The entry of this very life; null where it is unknown, or another life is remembered. */
  Entry find(Member member) {
    Entry entry = all.get(member.address());
    return entry != null && entry.member.birth() == member.birth() ? entry : null;
  }

  Collection<Entry> all() {
    return all.values();
  }

  /** Takes up a life in place of any earlier one; null where there is no room. */
  Entry take(Member member, Standing standing, long incarnation, long now, Draws draws) {
    Entry former = all.get(member.address());
    if (former != null) {
      leaveLists(former);
      leaveLive(former);
      all.remove(member.address());
    } else if (all.size() >= most) {
      if (gone.isEmpty()) {
        return null;
      }
      Address oldest = gone.iterator().next();
      gone.remove(oldest);
      all.remove(oldest);
    }
    Entry entry = new Entry(member, standing, incarnation, now);
    all.put(member.address(), entry);
    enterLists(entry, draws);
    return entry;
  }

  void become(Entry entry, Standing standing, long now, Draws draws) {
    leaveLists(entry);
    entry.standing = standing;
    entry.since = now;
    entry.tellers = null;
    entry.reporters = standing == Standing.SUSPECT ? new ArrayList<>(2) : null;
    enterLists(entry, draws);
  }

  private void enterLists(Entry entry, Draws draws) {
    Address address = entry.member.address();
    switch (entry.standing) {
      case JOINING -> joining.add(address);
      case ALIVE, SUSPECT -> {
        if (entry.place < 0) {
          live.add(entry);
          entry.place = live.size() - 1;
          swap(entry.place, turn + draws.below(live.size() - turn));
        }
        if (entry.standing == Standing.SUSPECT) {
          suspects.add(address);
        }
      }
      case AWAY, LEFT -> {
        leaveLive(entry);
        gone.add(address);
      }
    }
  }

  private void leaveLists(Entry entry) {
    Address address = entry.member.address();
    suspects.remove(address);
    gone.remove(address);
    joining.remove(address);
  }

  private void leaveLive(Entry entry) {
    if (entry.place < 0) {
      return;
    }
    if (entry.place < turn) {
      turn--;
      swap(entry.place, turn);
    }
    swap(entry.place, live.size() - 1);
    live.remove(live.size() - 1);
    entry.place = -1;
  }

  private void swap(int one, int other) {
    Entry first = live.get(one);
    Entry second = live.get(other);
    live.set(one, second);
    live.set(other, first);
    second.place = one;
    first.place = other;
  }

  /**
   * The next in turn: each is met once before any is met again, in an order drawn anew each time
   * around.
   */
  Entry next(Draws draws) {
    if (live.isEmpty()) {
      return null;
    }
    turn = turn >= live.size() ? 0 : turn;
    swap(turn, turn + draws.below(live.size() - turn));
    return live.get(turn++);
  }

  /**
   * The next one on the ring of all by hash, whom this one alone always probes; where it told
   * already that one does not answer, the one behind. Null for none.
   */
  Entry successor(int hash, Address own) {
    Entry next = null;
    for (Entry entry : live) {
      boolean told = entry.reporters != null && entry.reporters.contains(own);
      if (!told
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
  List<Entry> some(int count, Entry but, Draws draws) {
    List<Entry> some = new ArrayList<>(count);
    int start = draws.below(live.size());
    int tries = Math.min(live.size(), 4 * count + 8);
    for (int i = 0; i < tries && some.size() < count; i++) {
      // Few are walked in order, as draws would miss some; of many each is drawn.
      Entry entry =
          live.get(live.size() <= tries ? (start + i) % live.size() : draws.below(live.size()));
      if (entry != but && entry.standing == Standing.ALIVE && !some.contains(entry)) {
        some.add(entry);
      }
    }
    return some;
  }

  /**
   * One that is away, each in its turn; null for none. Those that left in order are not looked for.
   */
  Entry someAway(Draws draws) {
    int skip = draws.below(gone.size());
    Entry found = null;
    for (Address address : gone) {
      Entry entry = all.get(address);
      found = entry.standing == Standing.AWAY && (found == null || skip >= 0) ? entry : found;
      skip--;
    }
    return found;
  }

  List<Entry> suspects() {
    List<Entry> entries = new ArrayList<>(suspects.size());
    suspects.forEach(address -> entries.add(all.get(address)));
    return entries;
  }

  List<Entry> joining() {
    List<Entry> entries = new ArrayList<>(joining.size());
    joining.forEach(address -> entries.add(all.get(address)));
    return entries;
  }

  List<Entry> live() {
    return live;
  }

  /** How many others are held alive and under no suspicion. */
  int unsuspected() {
    return live.size() - suspects.size();
  }

  int size() {
    return all.size();
  }
}
