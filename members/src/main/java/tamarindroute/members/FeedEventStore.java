package tamarindroute.members;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.zip.CRC32;
import tamarindroute.members.wire.MemberMessage;

/**
 * The latest events of the control feed, by number. Bounded; drops the oldest event when full. Of
 * an event that does not fit into a message only the checksum is kept.
 */
final class FeedEventStore {

  private static final int MAX_EVENTS = 256;

  /** Longest event that fits into a message. */
  static final int MAX_EVENT_BYTES = 3_400;

  /** Bound on the events of one message. */
  private static final int MAX_MESSAGE_BYTES = 3_600;

  /** Bytes of an event's number, checksum and field headers. */
  private static final int EVENT_OVERHEAD_BYTES = 24;

  /**
   * A stored event.
   *
   * @param json null if it is too long for a message
   */
  private record StoredEvent(String json, long checksum) {}

  private final TreeMap<Long, StoredEvent> events = new TreeMap<>();

  void put(long number, String json) {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    CRC32 crc = new CRC32();
    crc.update(bytes);
    String kept = bytes.length > MAX_EVENT_BYTES ? null : json;
    events.put(number, new StoredEvent(kept, crc.getValue()));
    while (events.size() > MAX_EVENTS) {
      events.pollFirstEntry();
    }
  }

  /** Drops all events after this number. */
  void removeAfter(long number) {
    events.tailMap(number, false).clear();
  }

  /** Number of the last event, or 0 if there is none. */
  long lastNumber() {
    return events.isEmpty() ? 0 : events.lastKey();
  }

  /** CRC-32 of an event's JSON, if the event is stored. */
  OptionalLong checksum(long number) {
    StoredEvent event = events.get(number);
    return event == null ? OptionalLong.empty() : OptionalLong.of(event.checksum);
  }

  /**
   * The events after this number, as many as fit into a message. Empty if the next one is not
   * stored, or not the one before it, whose checksum is needed.
   */
  List<MemberMessage.FeedEvent> eventsAfter(long number) {
    List<MemberMessage.FeedEvent> next = new ArrayList<>();
    int bytes = 0;
    long previousNumber = number;
    while (events.containsKey(previousNumber) && events.containsKey(previousNumber + 1)) {
      String json = events.get(previousNumber + 1).json;
      if (json == null) {
        break;
      }
      bytes += EVENT_OVERHEAD_BYTES + json.getBytes(StandardCharsets.UTF_8).length;
      if (bytes > MAX_MESSAGE_BYTES) {
        break;
      }
      long previousChecksum = events.get(previousNumber).checksum;
      next.add(new MemberMessage.FeedEvent(previousNumber + 1, previousChecksum, json));
      previousNumber++;
    }
    return next;
  }
}
