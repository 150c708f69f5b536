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
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Timers;
import tamarindroute.protocol.MalformedException;

/**
 * Owns what the control feed told lately and passes it on by its numbers, so that a member whose
 * feed is down keeps drains and purges that another was told. A new event goes to some at once, who
 * pass it on; and each asks one other, again and again, whether it knows more. It must never take
 * an event out of order, nor one whose history is another than its own: each names the event before
 * it.
 */
final class FeedNews {

  /**
   * So many are told at once: with each passing it on as well, thousands know after four or five
   * steps.
   */
  private static final int PUSHED_TO = 8;

  /**
   * Who was missed by all learns it from one it asks; five tries within the 500 ms that a drain may
   * take.
   */
  static final Duration PERIOD = Duration.ofMillis(100);

  /** Some hours of ordinary drains and purges; who lacks more waits for its feed. */
  private static final int MOST_KEPT = 256;

  /** An event that has room in a datagram with its head; only its mark is kept of longer ones. */
  static final int LONGEST = 3_400;

  /** Events in one datagram together. */
  private static final int MOST_BYTES = 3_600;

  /** What one event takes besides its text. */
  private static final int HEAD = 24;

  /**
   * A longer text is a whole list, of which nothing could be passed on; it is not taken apart for
   * its mark.
   */
  private static final int LONGEST_TEXT = 1 << 20;

  /** Who follows the feed. */
  interface Reader {

    long last();

    /** Takes the event if it is the next one. */
    boolean told(long number, String event) throws MalformedException;
  }

  /** The others, and the way to them. */
  interface Others {

    List<Member> alive();

    void send(Member to, Letter.Body body);
  }

  /** One event; the text null where it is too long to be passed on. */
  private record Kept(String text, long mark) {}

  private final Reader reader;
  private final Timers timers;
  private final Others others;
  private final TreeMap<Long, Kept> kept = new TreeMap<>();
  private final byte[] seed;
  private int draws;

  /** The name makes its draws others than its fellows', who would all ask the same few else. */
  FeedNews(Address name, Reader reader, Timers timers, Others others) {
    this.seed = name.toString().getBytes(StandardCharsets.US_ASCII);
    this.reader = reader;
    this.timers = timers;
    this.others = others;
  }

  /** Asks one other from now on, and again after each period. */
  void start() {
    some(1).forEach(one -> others.send(one, new Letter.News(reader.last(), List.of())));
    timers.after(PERIOD, this::start);
  }

  /** The feed told this, and it was taken. */
  void read(String text) {
    long before = kept.isEmpty() ? 0 : kept.lastKey();
    // Where the feed counts anew, what was kept of the old numbers must not be passed on.
    kept.tailMap(reader.last(), false).clear();
    if (text.length() > LONGEST_TEXT) {
      return;
    }
    try {
      JsonArray events = JsonParser.parseString(text).getAsJsonObject().getAsJsonArray("events");
      for (JsonElement event : events) {
        JsonObject one = event.getAsJsonObject();
        keep(one.get("n").getAsLong(), one.toString());
      }
    } catch (JsonParseException
        | IllegalStateException
        | NumberFormatException
        | ClassCastException e) {
      Log.line("news", "not passed on: " + e.getMessage());
    }
    if (!kept.isEmpty() && kept.lastKey() > before && before > 0) {
      push(before);
    }
  }

  private void keep(long number, String text) {
    if (number > reader.last()) {
      return;
    }
    CRC32 crc = new CRC32();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    crc.update(bytes);
    kept.put(number, new Kept(bytes.length > LONGEST ? null : text, crc.getValue()));
    while (kept.size() > MOST_KEPT) {
      kept.pollFirstEntry();
    }
  }

  /** Another's word: takes what comes next, gives what it lacks, asks for what is lacking here. */
  void taken(Member from, Letter.News news) {
    long before = reader.last();
    for (Letter.Event event : news.events()) {
      if (event.number() == reader.last() + 1 && !take(from, event)) {
        break;
      }
    }
    boolean fresh = reader.last() > before;
    if (fresh) {
      push(before);
    }
    if (news.last() < reader.last()) {
      give(from, news.last());
    } else if (news.last() > reader.last() && (fresh || news.events().isEmpty())) {
      // Not where nothing of its answer could be taken: the two would ask each other without end.
      others.send(from, new Letter.News(reader.last(), List.of()));
    }
  }

  private boolean take(Member from, Letter.Event event) {
    Kept mine = kept.get(reader.last());
    if (mine == null || mine.mark != event.before()) {
      Log.event(
          "news-differs",
          "what came before event " + event.number() + " is not the same here",
          "from",
          from);
      return false;
    }
    try {
      boolean next = reader.told(event.number(), event.text());
      if (next) {
        keep(event.number(), event.text());
        Log.change("news", "event " + event.number() + " by " + from);
      }
      return next;
    } catch (MalformedException e) {
      Log.event("news-unreadable", e.getMessage(), "from", from);
      return false;
    }
  }

  /** What came after this number goes to some. */
  private void push(long after) {
    some(PUSHED_TO).forEach(one -> give(one, after));
  }

  /**
   * The events after this number, as many as have room; none where the next one is not known here.
   */
  private void give(Member to, long after) {
    List<Letter.Event> events = new ArrayList<>();
    int bytes = 0;
    for (long number = after + 1;
        kept.containsKey(number) && kept.containsKey(number - 1);
        number++) {
      String text = kept.get(number).text;
      bytes += text == null ? 0 : HEAD + text.getBytes(StandardCharsets.UTF_8).length;
      if (text == null || bytes > MOST_BYTES) {
        break;
      }
      events.add(new Letter.Event(number, kept.get(number - 1).mark, text));
    }
    if (!events.isEmpty()) {
      others.send(to, new Letter.News(reader.last(), events));
    }
  }

  /** So many of the others, drawn by the name and a counter. */
  private List<Member> some(int most) {
    List<Member> alive = others.alive();
    List<Member> some = new ArrayList<>();
    for (int i = 0; i < most && !alive.isEmpty(); i++) {
      CRC32 crc = new CRC32();
      crc.update(seed);
      crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(draws++).flip());
      // CRC-32 is linear, so that neighbours' draws would go in step: its value is spread before it
      // is used.
      long spread = (crc.getValue() + 1) * 0x9E3779B97F4A7C15L;
      some.add(
          alive.remove((int) ((spread ^ spread >>> 32) >>> 16 & Integer.MAX_VALUE) % alive.size()));
    }
    return some;
  }
}
