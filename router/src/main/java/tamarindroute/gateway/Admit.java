package tamarindroute.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.decision.Profile;
import tamarindroute.decision.View;
import tamarindroute.host.Clock;
import tamarindroute.log.Log;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * The second stage: makes a view in hand of a call, sets its cut-off, and turns away what cannot be
 * one, at once and harmlessly, since nothing has run. It must never turn away for any reason but
 * bad fields, memory, or the number of views that the settings or the protocol allow.
 */
final class Admit {

  /** The protocol's figures: digits of ids and of keys, the last group. */
  private static final int ID = 16;

  private static final int KEY = 32;
  private static final int LAST_GROUP = 255;

  /** A part of a gigabyte is none: an answer has 240,000 bytes at most. */
  private static final double MOST_KB = 1e6;

  /**
   * No client waits so many times the longest cut-off that the settings tell; it is a figure gone
   * wrong.
   */
  private static final int MUCH_LONGER = 20;

  private final Clock clock;
  private final Route route;
  private final Book book;

  /** By their names as the settings spell them, without spaces and commas. */
  private final Map<String, Profile> profiles;

  private final int most;
  private final double longestWait;

  /** The views in hand by their ids. */
  private final Map<String, Held> open = new HashMap<>();

  private volatile int inHand;
  private boolean ready;
  private boolean leaving;

  Admit(SettingsReader settings, Clock clock, Route route, Book book)
      throws MalformedSettingsException {
    this.clock = clock;
    this.route = route;
    this.book = book;
    this.profiles = settings.profilesByName();
    this.most = settings.mostInHand();
    this.longestWait = MUCH_LONGER * settings.longestCutOff().toMillis();
  }

  /** Whether clients may be sent here; what comes all the same is served. */
  boolean ready() {
    return ready;
  }

  void ready(boolean now) {
    ready = now;
  }

  /** Whether the gateway is past taking in. */
  boolean leaving() {
    return leaving;
  }

  /**
   * From now on all is turned away, and a client's connection goes when the last that is open on it
   * ends.
   */
  void leave() {
    leaving = true;
  }

  int inHand() {
    return inHand;
  }

  /** Takes a call, or turns it away; false where its fields could not be used. */
  boolean call(TakeIn client, TakeIn.Call call, boolean expected) {
    Held held = null;
    if (leaving || client.outlet.connection.isLeft()) {
      // Sent on, it would be out when this gateway ends, or for a client that is not there.
      call.body().forEach(IoBuffer::free);
      client.outlet.word(call.tag(), "NAK");
      return true;
    }
    boolean room = !call.roomless() && open.size() < most;
    if (!room) {
      Log.line("no-room", open.size() + " views in hand");
    } else {
      try {
        held = expected ? held(client, call) : null;
      } catch (MalformedException e) {
        Log.line("bad-fields", e.getMessage());
      }
    }
    if (held == null) {
      call.body().forEach(IoBuffer::free);
      client.outlet.word(call.tag(), "NAK");
      return !room || !expected;
    }
    Held admitted = held;
    client.open.put(held.tag, held);
    open.put(held.id, held);
    inHand = open.size();
    held.cutOff = clock.after(held.left(clock.now()), () -> book.cutOff(admitted));
    route.place(held);
    return true;
  }

  /**
   * Reads what a cache could use, and no more: what none could would end its connection, others'
   * views too.
   */
  private Held held(TakeIn client, TakeIn.Call call) throws MalformedException {
    Profile profile = profiles.get(SettingsReader.plain(call.profile()));
    if (profile == null || call.profile().indexOf(',') >= 0) {
      throw new MalformedException("no such profile");
    }
    Fields fields = Fields.read(call.fields());
    String id = hex(fields, "rid", ID);
    String object = hex(fields, "obj", ID);
    String key = hex(fields, "token", KEY);
    String copy = hex(fields, "ver", ID);
    if (id == null || object == null || fields.text("budget") == null) {
      throw new MalformedException("no id, no object or no time to wait");
    }
    if (key == null && profile.repeat() == Profile.Repeat.NUMBERED) {
      throw new MalformedException("no number in a numbered profile");
    }
    if (open.containsKey(id)) {
      throw new MalformedException("an id that is open");
    }
    double budget = fields.number("budget", 0, longestWait);
    if (budget == 0) {
      throw new MalformedException("no time to wait");
    }
    Duration arrived = client.outlet.connection.readAt();
    View view =
        new View(
            profile,
            Long.parseUnsignedLong(object, 16),
            fields.whole("piece", Integer.MAX_VALUE),
            fields.whole("lot", LAST_GROUP),
            fields.number("mem", 0, MOST_KB),
            arrived,
            arrived.plusNanos((long) (budget * 1e6)));
    return new Held(client, call, view, id, object, key, copy);
  }

  /** So many hexadecimal digits; null where the field is absent. */
  private static String hex(Fields fields, String name, int digits) throws MalformedException {
    String text = fields.text(name);
    if (text != null
        && (text.length() != digits
            || !text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128))) {
      throw new MalformedException(name + " is not of " + digits + " hexadecimal digits");
    }
    return text;
  }

  /** The client waits no more: nothing is owed. */
  void vanished(Held held) {
    book.vanished(held);
  }

  /** Nobody may wait for it any more: what has not gone out does not. */
  void unwanted(Held held) {
    book.unwanted(held);
  }

  /** The end has come: whatever is in hand gets its final answer now. */
  void endAll() {
    List.copyOf(open.values()).forEach(book::cutOff);
  }

  /** A view got its final answer, or wants none. */
  void done(Held held) {
    held.client.done(held);
    open.remove(held.id);
    inHand = open.size();
  }
}
