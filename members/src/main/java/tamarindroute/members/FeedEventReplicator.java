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
import java.util.OptionalLong;
import java.util.zip.CRC32;
import tamarindroute.log.Log;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Replicates the latest events of the control feed between members, so that a gateway whose own
 * feed is down receives drains and purges. New events are pushed to some members, which push them
 * on; besides, each member polls a random one regularly.
 *
 * <p>Events are applied in the order of their numbers, and only if the event before has the same
 * checksum here: events of different feeds are never mixed.
 */
final class FeedEventReplicator {

  /** Follows the control feed. */
  interface FeedFollower {

    /** Number of the last event applied. */
    long lastNumber();

    /**
     * Applies an event if it is the next one.
     *
     * @return whether it was
     */
    boolean apply(long number, String event) throws MalformedMessageException;
  }

  /** Sends to other members. */
  interface Peers {

    /** The live members without this one; may be modified by the caller. */
    List<Member> liveOthers();

    /** Sends to exactly this incarnation; the message may be lost. */
    void send(Member to, MemberMessage.Payload payload);
  }

  private static final String TOPIC = "feed-event";
  private static final String HISTORY_TOPIC = "feed-history-differs";
  private static final String INVALID_TOPIC = "feed-event-invalid";

  /** With each receiver pushing on as well, thousands are reached in four or five steps. */
  private static final int PUSH_FANOUT = 8;

  /** Five polls fit into the 500 ms that a drain may take to reach all. */
  static final Duration POLL_PERIOD = Duration.ofMillis(100);

  /** A longer text is a list of all endpoints, which does not fit into a message anyway. */
  private static final int MAX_FEED_TEXT_LENGTH = 1 << 20;

  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private final FeedFollower follower;
  private final Scheduler scheduler;
  private final Peers peers;
  private final FeedEventStore store = new FeedEventStore();
  private final byte[] seed;
  private int drawCount;

  /**
   * Creates a replicator; {@link #poll} starts it.
   *
   * @param self seeds the random choice of peers, which has to differ between members
   */
  FeedEventReplicator(Address self, FeedFollower follower, Scheduler scheduler, Peers peers) {
    this.seed = self.toString().getBytes(StandardCharsets.US_ASCII);
    this.follower = follower;
    this.scheduler = scheduler;
    this.peers = peers;
  }

  /** Asks a random member for newer events, and does so again after each period. */
  void poll() {
    randomPeers(1).forEach(this::requestEvents);
    scheduler.schedule(POLL_PERIOD, this::poll);
  }

  private void requestEvents(Member peer) {
    peers.send(peer, new MemberMessage.FeedEventsPayload(follower.lastNumber(), List.of()));
  }

  /** Stores the events of a text of the own feed, which were applied already, and pushes them. */
  void onFeedText(String text) {
    long previousLast = store.lastNumber();
    // After a restart of the feed's numbers, events of the old numbers must not be passed on.
    store.removeAfter(follower.lastNumber());
    if (text.length() > MAX_FEED_TEXT_LENGTH) {
      return;
    }
    try {
      JsonArray events = JsonParser.parseString(text).getAsJsonObject().getAsJsonArray("events");
      for (JsonElement element : events) {
        JsonObject event = element.getAsJsonObject();
        storeIfApplied(event.get("n").getAsLong(), event.toString());
      }
    } catch (JsonParseException
        | IllegalStateException
        | NumberFormatException
        | ClassCastException e) {
      Log.info(TOPIC, "the feed's text can't be passed on: " + e.getMessage());
    }
    if (previousLast > 0 && store.lastNumber() > previousLast) {
      pushAfter(previousLast);
    }
  }

  private void storeIfApplied(long number, String event) {
    if (number <= follower.lastNumber()) {
      store.put(number, event);
    }
  }

  /**
   * Handles a poll or events of another member: applies what comes next, sends what the other
   * lacks, and requests what is lacking here.
   */
  void onFeedEvents(Member from, MemberMessage.FeedEventsPayload message) {
    long previousLast = follower.lastNumber();
    for (MemberMessage.FeedEvent event : message.events()) {
      if (event.number() == follower.lastNumber() + 1 && !apply(from, event)) {
        break;
      }
    }
    long last = follower.lastNumber();
    boolean advanced = last > previousLast;
    if (advanced) {
      pushAfter(previousLast);
    }
    if (message.lastNumber() < last) {
      sendAfter(from, message.lastNumber());
    } else if (message.lastNumber() > last && (advanced || message.events().isEmpty())) {
      // Not if none of its events could be applied: the two would ask each other without end.
      requestEvents(from);
    }
  }

  /** Applies the next event; returns whether it was applied. */
  private boolean apply(Member from, MemberMessage.FeedEvent event) {
    OptionalLong previousChecksum = store.checksum(follower.lastNumber());
    if (previousChecksum.isEmpty() || previousChecksum.getAsLong() != event.previousChecksum()) {
      Log.infoWithFields(
          HISTORY_TOPIC,
          "the event before event " + event.number() + " is not the same here",
          "from",
          from);
      return false;
    }
    try {
      boolean applied = follower.apply(event.number(), event.json());
      if (applied) {
        storeIfApplied(event.number(), event.json());
        Log.change(TOPIC, "event " + event.number() + " received from " + from);
      }
      return applied;
    } catch (MalformedMessageException e) {
      Log.infoWithFields(INVALID_TOPIC, e.getMessage(), "from", from);
      return false;
    }
  }

  private void pushAfter(long number) {
    randomPeers(PUSH_FANOUT).forEach(peer -> sendAfter(peer, number));
  }

  private void sendAfter(Member to, long number) {
    List<MemberMessage.FeedEvent> events = store.eventsAfter(number);
    if (!events.isEmpty()) {
      peers.send(to, new MemberMessage.FeedEventsPayload(follower.lastNumber(), events));
    }
  }

  private List<Member> randomPeers(int count) {
    List<Member> candidates = peers.liveOthers();
    List<Member> chosen = new ArrayList<>();
    for (int i = 0; i < count && !candidates.isEmpty(); i++) {
      chosen.add(candidates.remove(nextRandom(candidates.size())));
    }
    return chosen;
  }

  private int nextRandom(int bound) {
    CRC32 crc = new CRC32();
    crc.update(seed);
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(drawCount).flip());
    drawCount++;
    // CRC-32 is linear; without mixing the choices of neighbours would be correlated.
    long mixed = (crc.getValue() + 1) * GOLDEN_GAMMA;
    long positive = (mixed ^ mixed >>> 32) >>> 16 & Integer.MAX_VALUE;
    return (int) positive % bound;
  }
}
