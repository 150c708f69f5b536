package tamarindroute.members;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32;
import tamarindroute.log.Log;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Owns what the control feed told lately and passes it on by its numbers, so that a member whose
 * feed is down keeps drains and purges that another was told. A new event goes to some at once, who
 * pass it on; and each asks one other, again and again, whether it knows more. It must never take
 * an event out of order, nor one whose history is another than its own: each names the event before
 * it.
 */
final class FeedEventReplicator {

  /**
   * So many are told at once: with each passing it on as well, thousands know after four or five
   * steps.
   */
  private static final int PUSH_FANOUT = 8;

  /**
   * Who was missed by all learns it from one it asks; five tries within the 500 ms that a drain may
   * take.
   */
  static final Duration POLL_PERIOD = Duration.ofMillis(100);

  /** Some hours of ordinary drains and purges; who lacks more waits for its feed. */
  private static final int MAX_STORED_EVENTS = 256;

  /** An event that has room in a datagram with its head; only its mark is kept of longer ones. */
  static final int MAX_EVENT_BYTES = 3_400;

  /** Events in one datagram together. */
  private static final int MAX_EVENTS_BYTES = 3_600;

  /** What one event takes besides its text. */
  private static final int EVENT_OVERHEAD_BYTES = 24;

  /**
   * A longer text is a whole list, of which nothing could be passed on; it is not taken apart for
   * its mark.
   */
  private static final int MAX_FEED_TEXT_LENGTH = 1 << 20;

  /** Who follows the feed. */
  interface FeedFollower {

    long lastNumber();

    /** Takes the event if it is the next one. */
    boolean apply(long number, String event) throws MalformedMessageException;
  }

  /** The others, and the way to them. */
  interface Peers {

    List<Member> liveOthers();

    void send(Member to, MemberMessage.Payload payload);
  }

  /** One event; the text null where it is too long to be passed on. */
  private record StoredEvent(String json, long checksum) {}

  private final FeedFollower follower;
  private final Scheduler scheduler;
  private final Peers peers;
  private final TreeMap<Long, StoredEvent> storedEvents = new TreeMap<>();
  private final byte[] seed;
  private int drawCount;

  /** The name makes its draws others than its fellows', who would all ask the same few else. */
  FeedEventReplicator(Address name, FeedFollower follower, Scheduler scheduler, Peers peers) {
    this.seed = name.toString().getBytes(StandardCharsets.US_ASCII);
    this.follower = follower;
    this.scheduler = scheduler;
    this.peers = peers;
  }

  /** Asks one other from now on, and again after each period. */
  void poll() {
    randomPeers(1)
        .forEach(
            peer ->
                peers.send(
                    peer, new MemberMessage.FeedEventsPayload(follower.lastNumber(), List.of())));
    scheduler.schedule(POLL_PERIOD, this::poll);
  }

  /** The feed told this, and it was taken. */
  void onFeedText(String text) {
    long previousLast = storedEvents.isEmpty() ? 0 : storedEvents.lastKey();
    // Where the feed counts anew, what was kept of the old numbers must not be passed on.
    storedEvents.tailMap(follower.lastNumber(), false).clear();
    if (text.length() > MAX_FEED_TEXT_LENGTH) {
      return;
    }
    try {
      JsonArray events = JsonParser.parseString(text).getAsJsonObject().getAsJsonArray("events");
      for (JsonElement event : events) {
        JsonObject peer = event.getAsJsonObject();
        store(peer.get("n").getAsLong(), peer.toString());
      }
    } catch (JsonParseException
        | IllegalStateException
        | NumberFormatException
        | ClassCastException e) {
      Log.info("news", "not passed on: " + e.getMessage());
    }
    if (!storedEvents.isEmpty() && storedEvents.lastKey() > previousLast && previousLast > 0) {
      pushSince(previousLast);
    }
  }

  private void store(long number, String text) {
    if (number > follower.lastNumber()) {
      return;
    }
    CRC32 crc = new CRC32();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    crc.update(bytes);
    storedEvents.put(
        number, new StoredEvent(bytes.length > MAX_EVENT_BYTES ? null : text, crc.getValue()));
    while (storedEvents.size() > MAX_STORED_EVENTS) {
      storedEvents.pollFirstEntry();
    }
  }

  /** Another's word: takes what comes next, gives what it lacks, asks for what is lacking here. */
  void onFeedEvents(Member from, MemberMessage.FeedEventsPayload message) {
    long previousLast = follower.lastNumber();
    for (MemberMessage.FeedEvent event : message.events()) {
      if (event.number() == follower.lastNumber() + 1 && !apply(from, event)) {
        break;
      }
    }
    boolean advanced = follower.lastNumber() > previousLast;
    if (advanced) {
      pushSince(previousLast);
    }
    if (message.lastNumber() < follower.lastNumber()) {
      sendSince(from, message.lastNumber());
    } else if (message.lastNumber() > follower.lastNumber()
        && (advanced || message.events().isEmpty())) {
      // Not where nothing of its answer could be taken: the two would ask each other without end.
      peers.send(from, new MemberMessage.FeedEventsPayload(follower.lastNumber(), List.of()));
    }
  }

  private boolean apply(Member from, MemberMessage.FeedEvent event) {
    StoredEvent previous = storedEvents.get(follower.lastNumber());
    if (previous == null || previous.checksum != event.previousChecksum()) {
      Log.infoWithFields(
          "news-differs",
          "what came before event " + event.number() + " is not the same here",
          "from",
          from);
      return false;
    }
    try {
      boolean applied = follower.apply(event.number(), event.json());
      if (applied) {
        store(event.number(), event.json());
        Log.change("news", "event " + event.number() + " by " + from);
      }
      return applied;
    } catch (MalformedMessageException e) {
      Log.infoWithFields("news-unreadable", e.getMessage(), "from", from);
      return false;
    }
  }

  /** What came after this number goes to some. */
  private void pushSince(long after) {
    randomPeers(PUSH_FANOUT).forEach(peer -> sendSince(peer, after));
  }

  /**
   * The events after this number, as many as have room; none where the next one is not known here.
   */
  private void sendSince(Member to, long after) {
    List<MemberMessage.FeedEvent> events = new ArrayList<>();
    int bytes = 0;
    for (long number = after + 1;
        storedEvents.containsKey(number) && storedEvents.containsKey(number - 1);
        number++) {
      String text = storedEvents.get(number).json;
      bytes +=
          text == null ? 0 : EVENT_OVERHEAD_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
      if (text == null || bytes > MAX_EVENTS_BYTES) {
        break;
      }
      events.add(new MemberMessage.FeedEvent(number, storedEvents.get(number - 1).checksum, text));
    }
    if (!events.isEmpty()) {
      peers.send(to, new MemberMessage.FeedEventsPayload(follower.lastNumber(), events));
    }
  }

  /** So many of the others, drawn by the name and a counter. */
  private List<Member> randomPeers(int count) {
    List<Member> candidates = peers.liveOthers();
    List<Member> chosen = new ArrayList<>();
    for (int i = 0; i < count && !candidates.isEmpty(); i++) {
      CRC32 crc = new CRC32();
      crc.update(seed);
      crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(drawCount++).flip());
      // CRC-32 is linear, so that neighbours' draws would go in step: its value is spread before it
      // is used.
      long mixed = (crc.getValue() + 1) * 0x9E3779B97F4A7C15L;
      chosen.add(
          candidates.remove(
              (int) ((mixed ^ mixed >>> 32) >>> 16 & Integer.MAX_VALUE) % candidates.size()));
    }
    return chosen;
  }
}
