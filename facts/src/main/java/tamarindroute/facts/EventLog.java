package tamarindroute.facts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Events of the control feed by number: the latest snapshot, and the changes after it. The result
 * does not depend on the order or number of copies in which events arrive. If two payloads arrive
 * for one number, neither is ever used; the next snapshot passes over that number.
 */
public final class EventLog {

  /** Largest payload of a change, in bytes. */
  static final int MAX_EVENT_BYTES = 8 << 10;

  /** Largest payload of a snapshot, in bytes: a thousand caches of about 200 bytes each. */
  static final int MAX_SNAPSHOT_BYTES = 256 << 10;

  /** Bound of all changes' payloads together, in bytes. */
  static final int MAX_TOTAL_BYTES = 512 << 10;

  /** Bound of the number of changes held. */
  static final int MAX_EVENTS = 4096;

  /**
   * What is held of one number.
   *
   * @param payload null if conflicting payloads were received
   * @param observedAt when the event was observed, at the earliest
   */
  private record StoredEvent(Payload payload, Duration observedAt) {

    StoredEvent merge(StoredEvent other) {
      boolean same = payload != null && payload.equals(other.payload);
      return new StoredEvent(same ? payload : null, later(observedAt, other.observedAt));
    }

    int size() {
      return payload == null ? 0 : payload.size();
    }
  }

  /** An event to be applied. */
  public record PendingEvent(long number, Payload payload, Duration age) {}

  /**
   * Events to be applied, in this order.
   *
   * @param snapshot state to replace everything before, or null
   * @param changes changes to apply after it
   * @param firstMissing first number that is missing or conflicting although a later one is known;
   *     0 if none
   */
  public record Updates(PendingEvent snapshot, List<PendingEvent> changes, long firstMissing) {}

  private final String feed;
  private long generation;
  private long snapshotNumber;
  private StoredEvent snapshot;

  /** Changes up to this number were evicted; they are known to exist and are not accepted again. */
  private long evictedUpTo;

  private final TreeMap<Long, StoredEvent> changes = new TreeMap<>();
  private int totalBytes;

  EventLog(String feed) {
    this.feed = feed;
  }

  /** Adds an event. Returns whether its number was not held before. */
  boolean add(Fact.Event event, Duration observedAt) {
    if (!event.feed().equals(feed) || event.generation() < generation) {
      return false;
    }
    if (event.generation() > generation) {
      beginGeneration(event.generation());
    }
    StoredEvent received = new StoredEvent(event.payload(), observedAt);
    return event.snapshot()
        ? addSnapshot(event.number(), received)
        : addChange(event.number(), received);
  }

  private void beginGeneration(long newGeneration) {
    generation = newGeneration;
    snapshot = null;
    snapshotNumber = 0;
    evictedUpTo = 0;
    changes.clear();
    totalBytes = 0;
  }

  private boolean addSnapshot(long number, StoredEvent received) {
    if (number < snapshotNumber) {
      return false;
    }
    StoredEvent previous = number == snapshotNumber ? snapshot : null;
    snapshot = previous == null ? received : previous.merge(received);
    snapshotNumber = number;
    while (!changes.isEmpty() && changes.firstKey() <= number) {
      totalBytes -= changes.pollFirstEntry().getValue().size();
    }
    return previous == null;
  }

  private boolean addChange(long number, StoredEvent received) {
    if (number <= snapshotNumber || number <= evictedUpTo) {
      return false;
    }
    StoredEvent previous = changes.get(number);
    StoredEvent merged = previous == null ? received : previous.merge(received);
    changes.put(number, merged);
    totalBytes += merged.size() - (previous == null ? 0 : previous.size());
    while (changes.size() > MAX_EVENTS || totalBytes > MAX_TOTAL_BYTES) {
      evictOldestChange();
    }
    return previous == null;
  }

  /** Leaves a gap that is known as one, until the next snapshot closes it. */
  private void evictOldestChange() {
    evictedUpTo = changes.firstKey();
    totalBytes -= changes.pollFirstEntry().getValue().size();
  }

  private static Duration later(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  /** Returns what to apply after this number. Never leads back to an older state. */
  public Updates updatesAfter(long applied, Duration now) {
    PendingEvent base = null;
    long last = applied;
    if (hasUsableSnapshotAfter(applied)) {
      base = pending(snapshotNumber, snapshot, now);
      last = snapshotNumber;
    }
    List<PendingEvent> next = new ArrayList<>();
    StoredEvent event = changes.get(last + 1);
    while (event != null && event.payload != null) {
      last++;
      next.add(pending(last, event, now));
      event = changes.get(last + 1);
    }
    return new Updates(base, List.copyOf(next), last < highestKnown() ? last + 1 : 0);
  }

  private boolean hasUsableSnapshotAfter(long number) {
    return snapshot != null && snapshot.payload != null && snapshotNumber > number;
  }

  private static PendingEvent pending(long number, StoredEvent event, Duration now) {
    return new PendingEvent(number, event.payload, now.minus(event.observedAt));
  }

  private long highestKnown() {
    return changes.isEmpty() ? Math.max(snapshotNumber, evictedUpTo) : changes.lastKey();
  }

  /** Returns the generation of the numbers held. */
  public long generation() {
    return generation;
  }

  /** Returns the number up to which no event is missing. */
  public long contiguousUpTo() {
    long last = snapshotNumber;
    while (changes.containsKey(last + 1)) {
      last++;
    }
    return last;
  }

  /** Returns the numbers for which conflicting payloads were received. */
  public List<Long> conflictingNumbers() {
    List<Long> numbers = new ArrayList<>();
    if (snapshot != null && snapshot.payload == null) {
      numbers.add(snapshotNumber);
    }
    changes.forEach(
        (number, event) -> {
          if (event.payload == null) {
            numbers.add(number);
          }
        });
    return numbers;
  }

  /**
   * Returns events for a peer that lacks nothing up to a number, each with the time it was observed
   * at.
   *
   * @param peerGeneration the generation that the peer knows
   * @param peerContiguousUpTo the number up to which the peer lacks nothing of that generation
   * @param maxEvents bound of the result's size
   */
  List<Map.Entry<Fact.Event, Duration>> eventsSince(
      long peerGeneration, long peerContiguousUpTo, int maxEvents) {
    long after = lastNumberToSkip(peerGeneration, peerContiguousUpTo);
    List<Map.Entry<Fact.Event, Duration>> events = new ArrayList<>();
    if (hasUsableSnapshotAfter(after) && events.size() < maxEvents) {
      events.add(toEvent(snapshotNumber, true, snapshot));
    }
    for (Map.Entry<Long, StoredEvent> change : changes.tailMap(after, false).entrySet()) {
      if (events.size() >= maxEvents) {
        break;
      }
      if (change.getValue().payload != null) {
        events.add(toEvent(change.getKey(), false, change.getValue()));
      }
    }
    return events;
  }

  /** Returns the last number that a peer does not need; the largest if its generation is newer. */
  private long lastNumberToSkip(long peerGeneration, long peerContiguousUpTo) {
    if (peerGeneration > generation) {
      return Long.MAX_VALUE;
    }
    return peerGeneration == generation ? peerContiguousUpTo : 0;
  }

  private Map.Entry<Fact.Event, Duration> toEvent(
      long number, boolean isSnapshot, StoredEvent event) {
    return Map.entry(
        new Fact.Event(feed, generation, number, isSnapshot, event.payload), event.observedAt);
  }

  @Override
  public String toString() {
    return generation + " " + snapshotNumber + " " + snapshot + " " + evictedUpTo + " " + changes;
  }
}
