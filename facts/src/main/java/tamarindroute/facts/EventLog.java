package tamarindroute.facts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Owns what the feed said, by number: the latest list, and the changes after it. Whatever comes in
 * whatever order and however often, the same is held in the end. Two payloads for one number:
 * neither is believed, for good; the next list passes over it.
 */
public final class EventLog {

  /** The feed's changes are a few words each. */
  static final int MOST_EVENT_BYTES = 8 << 10;

  /** A thousand caches at some 200 bytes each. */
  static final int MOST_LIST_BYTES = 256 << 10;

  /** All changes together: what a gateway of 32 MB can spare. */
  static final int MOST_BYTES = 512 << 10;

  static final int MOST_EVENTS = 4096;

  /** What is held of one number; no payload where two were told. */
  private record Entry(Payload payload, Duration bornAt) {

    Entry or(Entry other) {
      boolean same = payload != null && payload.equals(other.payload);
      return new Entry(same ? payload : null, later(bornAt, other.bornAt));
    }
  }

  /** One payload to be applied. */
  public record Item(long number, Payload payload, Duration age) {}

  /**
   * What to apply, in this order.
   *
   * @param list all that holds at its number, to be taken in place of all before, or null
   * @param missing the first number that later ones are known of and which is not held or not
   *     believed; 0 for none
   */
  public record Next(Item list, List<Item> changes, long missing) {}

  private final String feed;
  private long generation;
  private long listNumber;
  private Entry list;

  /** Up to here changes fell out for want of room: known to be missing, and not taken again. */
  private long floor;

  private final TreeMap<Long, Entry> changes = new TreeMap<>();
  private int bytes;

  EventLog(String feed) {
    this.feed = feed;
  }

  /** Whether it was new here. */
  boolean told(Fact.Event event, Duration bornAt) {
    if (!event.feed().equals(feed) || event.generation() < generation) {
      return false;
    }
    if (event.generation() > generation) {
      generation = event.generation();
      list = null;
      listNumber = 0;
      floor = 0;
      changes.clear();
      bytes = 0;
    }
    Entry told = new Entry(event.payload(), bornAt);
    return event.list() ? list(event.number(), told) : change(event.number(), told);
  }

  private boolean list(long number, Entry told) {
    if (number < listNumber) {
      return false;
    }
    Entry before = number == listNumber ? list : null;
    list = before == null ? told : before.or(told);
    listNumber = number;
    while (!changes.isEmpty() && changes.firstKey() <= number) {
      bytes -= size(changes.pollFirstEntry().getValue());
    }
    return before == null;
  }

  private boolean change(long number, Entry told) {
    if (number <= listNumber || number <= floor) {
      return false;
    }
    Entry before = changes.get(number);
    Entry merged = before == null ? told : before.or(told);
    changes.put(number, merged);
    bytes += size(merged) - (before == null ? 0 : size(before));
    while (changes.size() > MOST_EVENTS || bytes > MOST_BYTES) {
      // The oldest: whoever lacks it finds the gap, and the next list closes it.
      floor = changes.firstKey();
      bytes -= size(changes.pollFirstEntry().getValue());
    }
    return before == null;
  }

  private static int size(Entry entry) {
    return entry.payload == null ? 0 : entry.payload.size();
  }

  private static Duration later(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /** What follows on what was applied up to this number; never an older state over a newer one. */
  public Next after(long applied, Duration now) {
    Item base = null;
    long last = applied;
    if (list != null && list.payload != null && listNumber > applied) {
      base = new Item(listNumber, list.payload, now.minus(list.bornAt));
      last = listNumber;
    }
    List<Item> next = new ArrayList<>();
    Entry entry = changes.get(last + 1);
    while (entry != null && entry.payload != null) {
      last++;
      next.add(new Item(last, entry.payload, now.minus(entry.bornAt)));
      entry = changes.get(last + 1);
    }
    return new Next(base, List.copyOf(next), last < highest() ? last + 1 : 0);
  }

  private long highest() {
    return changes.isEmpty() ? Math.max(listNumber, floor) : changes.lastKey();
  }

  public long generation() {
    return generation;
  }

  /** Up to here nothing is missing. */
  public long whole() {
    long last = listNumber;
    while (changes.containsKey(last + 1)) {
      last++;
    }
    return last;
  }

  /** Numbers of which two payloads were told. */
  public List<Long> notBelieved() {
    List<Long> numbers = new ArrayList<>();
    if (list != null && list.payload == null) {
      numbers.add(listNumber);
    }
    changes.forEach(
        (number, entry) -> {
          if (entry.payload == null) {
            numbers.add(number);
          }
        });
    return numbers;
  }

  /** At most so many, in order, for one who has all up to this number. */
  List<Map.Entry<Fact.Event, Duration>> since(long generationThere, long whole, int most) {
    long after =
        generationThere == generation ? whole : generationThere > generation ? Long.MAX_VALUE : 0;
    List<Map.Entry<Fact.Event, Duration>> events = new ArrayList<>();
    if (list != null && list.payload != null && listNumber > after && events.size() < most) {
      events.add(
          Map.entry(new Fact.Event(feed, generation, listNumber, true, list.payload), list.bornAt));
    }
    for (Map.Entry<Long, Entry> one : changes.tailMap(after, false).entrySet()) {
      if (events.size() >= most) {
        break;
      }
      if (one.getValue().payload != null) {
        events.add(
            Map.entry(
                new Fact.Event(feed, generation, one.getKey(), false, one.getValue().payload),
                one.getValue().bornAt));
      }
    }
    return events;
  }

  @Override
  public String toString() {
    return generation + " " + listNumber + " " + list + " " + floor + " " + changes;
  }
}
