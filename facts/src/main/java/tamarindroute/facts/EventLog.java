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
  static final int MAX_EVENT_BYTES = 8 << 10;

  /** A thousand caches at some 200 bytes each. */
  static final int MAX_SNAPSHOT_BYTES = 256 << 10;

  /** All changes together: what a gateway of 32 MB can spare. */
  static final int MAX_TOTAL_BYTES = 512 << 10;

  static final int MAX_EVENTS = 4096;

  /** What is held of one number; no payload where two were told. */
  private record StoredEvent(Payload payload, Duration observedAt) {

    StoredEvent merge(StoredEvent other) {
      boolean same = payload != null && payload.equals(other.payload);
      return new StoredEvent(same ? payload : null, later(observedAt, other.observedAt));
    }
  }

  /** One payload to be applied. */
  public record PendingEvent(long number, Payload payload, Duration age) {}

  /**
   * What to apply, in this order.
   *
   * @param snapshot all that holds at its number, to be taken in place of all before, or null
   * @param firstMissing the first number that later ones are known of and which is not held or not
   *     believed; 0 for none
   */
  public record Updates(PendingEvent snapshot, List<PendingEvent> changes, long firstMissing) {}

  private final String feed;
  private long generation;
  private long snapshotNumber;
  private StoredEvent snapshot;

  /** Up to here changes fell out for want of room: known to be missing, and not taken again. */
  private long evictedUpTo;

  private final TreeMap<Long, StoredEvent> changes = new TreeMap<>();
  private int totalBytes;

  EventLog(String feed) {
    this.feed = feed;
  }

  /** Whether it was new here. */
  boolean add(Fact.Event event, Duration observedAt) {
    if (!event.feed().equals(feed) || event.generation() < generation) {
      return false;
    }
    if (event.generation() > generation) {
      generation = event.generation();
      snapshot = null;
      snapshotNumber = 0;
      evictedUpTo = 0;
      changes.clear();
      totalBytes = 0;
    }
    StoredEvent received = new StoredEvent(event.payload(), observedAt);
    return event.snapshot()
        ? snapshot(event.number(), received)
        : addChange(event.number(), received);
  }

  private boolean snapshot(long number, StoredEvent received) {
    if (number < snapshotNumber) {
      return false;
    }
    StoredEvent before = number == snapshotNumber ? snapshot : null;
    snapshot = before == null ? received : before.merge(received);
    snapshotNumber = number;
    while (!changes.isEmpty() && changes.firstKey() <= number) {
      totalBytes -= size(changes.pollFirstEntry().getValue());
    }
    return before == null;
  }

  private boolean addChange(long number, StoredEvent received) {
    if (number <= snapshotNumber || number <= evictedUpTo) {
      return false;
    }
    StoredEvent before = changes.get(number);
    StoredEvent merged = before == null ? received : before.merge(received);
    changes.put(number, merged);
    totalBytes += size(merged) - (before == null ? 0 : size(before));
    while (changes.size() > MAX_EVENTS || totalBytes > MAX_TOTAL_BYTES) {
      // The oldest: whoever lacks it finds the gap, and the next list closes it.
      evictedUpTo = changes.firstKey();
      totalBytes -= size(changes.pollFirstEntry().getValue());
    }
    return before == null;
  }

  private static int size(StoredEvent entry) {
    return entry.payload == null ? 0 : entry.payload.size();
  }

  private static Duration later(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /** What follows on what was applied up to this number; never an older state over a newer one. */
  public Updates updatesAfter(long applied, Duration now) {
    PendingEvent base = null;
    long last = applied;
    if (snapshot != null && snapshot.payload != null && snapshotNumber > applied) {
      base = new PendingEvent(snapshotNumber, snapshot.payload, now.minus(snapshot.observedAt));
      last = snapshotNumber;
    }
    List<PendingEvent> next = new ArrayList<>();
    StoredEvent entry = changes.get(last + 1);
    while (entry != null && entry.payload != null) {
      last++;
      next.add(new PendingEvent(last, entry.payload, now.minus(entry.observedAt)));
      entry = changes.get(last + 1);
    }
    return new Updates(base, List.copyOf(next), last < highestKnown() ? last + 1 : 0);
  }

  private long highestKnown() {
    return changes.isEmpty() ? Math.max(snapshotNumber, evictedUpTo) : changes.lastKey();
  }

  public long generation() {
    return generation;
  }

  /** Up to here nothing is missing. */
  public long contiguousUpTo() {
    long last = snapshotNumber;
    while (changes.containsKey(last + 1)) {
      last++;
    }
    return last;
  }

  /** Numbers of which two payloads were told. */
  public List<Long> conflictingNumbers() {
    List<Long> numbers = new ArrayList<>();
    if (snapshot != null && snapshot.payload == null) {
      numbers.add(snapshotNumber);
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
  List<Map.Entry<Fact.Event, Duration>> eventsSince(
      long peerGeneration, long peerContiguousUpTo, int maxEvents) {
    long after =
        peerGeneration == generation
            ? peerContiguousUpTo
            : peerGeneration > generation ? Long.MAX_VALUE : 0;
    List<Map.Entry<Fact.Event, Duration>> events = new ArrayList<>();
    if (snapshot != null
        && snapshot.payload != null
        && snapshotNumber > after
        && events.size() < maxEvents) {
      events.add(
          Map.entry(
              new Fact.Event(feed, generation, snapshotNumber, true, snapshot.payload),
              snapshot.observedAt));
    }
    for (Map.Entry<Long, StoredEvent> one : changes.tailMap(after, false).entrySet()) {
      if (events.size() >= maxEvents) {
        break;
      }
      if (one.getValue().payload != null) {
        events.add(
            Map.entry(
                new Fact.Event(feed, generation, one.getKey(), false, one.getValue().payload),
                one.getValue().observedAt));
      }
    }
    return events;
  }

  @Override
  public String toString() {
    return generation + " " + snapshotNumber + " " + snapshot + " " + evictedUpTo + " " + changes;
  }
}
