package tamarindroute.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Owns what is still to be passed on: the least often sent first, of these the newest. It must
 * never grow past its bound, nor pass on what a later word about the same member has overtaken.
 */
final class RumourQueue {

  /**
   * Each is sent so many times the logarithm of the members: what is missed then is left to
   * exchanges.
   */
  private static final int TIMES = 3;

  /** So many at once: a third of 5,000 members dying at one moment, told by two each. */
  private static final int MOST = 4_096;

  private record Item(Rumour rumour, int sent, long number) implements Comparable<Item> {
    @Override
    public int compareTo(Item other) {
      return sent != other.sent
          ? Integer.compare(sent, other.sent)
          : Long.compare(other.number, number);
    }
  }

  private final TreeSet<Item> items = new TreeSet<>();
  private final Map<Address, List<Item>> about = new HashMap<>();
  private long numbers;

  RumourQueue copy() {
    RumourQueue copy = new RumourQueue();
    items.forEach(copy::add);
    copy.numbers = numbers;
    return copy;
  }

  List<Object> key() {
    List<Object> key = new ArrayList<>();
    items.forEach(item -> key.add(List.of(item.rumour, item.sent)));
    return key;
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /**
   * Passes this on; earlier words about the same member stay only where both count: several
   * observers' reports.
   */
  void put(Rumour rumour) {
    for (Item item : List.copyOf(about.getOrDefault(rumour.about().address(), List.of()))) {
      boolean both =
          item.rumour.standing() == Standing.SUSPECT
              && rumour.standing() == Standing.SUSPECT
              && item.rumour.about().equals(rumour.about())
              && item.rumour.incarnation() == rumour.incarnation()
              && !item.rumour.observer().equals(rumour.observer());
      if (!both) {
        remove(item);
      }
    }
    numbers++;
    add(new Item(rumour, 0, numbers));
    if (items.size() > MOST) {
      remove(items.last());
    }
  }

  void clear() {
    items.clear();
    about.clear();
  }

  /** Drops one's own accusations, as whoever made them did not run. */
  void dropReports(Address observer) {
    for (Item item : List.copyOf(items)) {
      if (item.rumour.standing() == Standing.SUSPECT && item.rumour.observer().equals(observer)) {
        remove(item);
      }
    }
  }

  /** Up to so many to go with one message to one of so many members. */
  List<Rumour> take(int most, int members) {
    int times = TIMES * (int) Math.ceil(Math.log(members + 2));
    List<Item> taken = new ArrayList<>(most);
    for (Item item : items) {
      if (taken.size() >= most) {
        break;
      }
      taken.add(item);
    }
    List<Rumour> rumours = new ArrayList<>(taken.size());
    for (Item item : taken) {
      remove(item);
      rumours.add(item.rumour);
      if (item.sent + 1 < times) {
        add(new Item(item.rumour, item.sent + 1, item.number));
      }
    }
    return rumours;
  }

  private void add(Item item) {
    items.add(item);
    about.computeIfAbsent(item.rumour.about().address(), address -> new ArrayList<>(1)).add(item);
  }

  private void remove(Item item) {
    items.remove(item);
    List<Item> same = about.get(item.rumour.about().address());
    same.remove(item);
    if (same.isEmpty()) {
      about.remove(item.rumour.about().address());
    }
  }
}
