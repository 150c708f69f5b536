package tamarindroute.host;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Trip;
import tamarindroute.log.Log;
import tamarindroute.net.CacheLine;
import tamarindroute.net.Feed;
import tamarindroute.protocol.MalformedException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns the list of caches by their ids, their connections, and the number of the last event read.
 * Each event is taken once, in order, and told to the module; it must never judge a cache, nor drop
 * a list for a bad event.
 */
public final class Roster implements Feed.Reader {

  /** Makes the connections to a cache. */
  public interface Lines {
    CacheLine make(String id, InetSocketAddress address);
  }

  /**
   * The feed tells some gateways later than others, by seconds; past this it counts anew and is not
   * late.
   */
  private static final Duration LATE = Duration.ofSeconds(10);

  private final List<Decisions> modules;
  private final Clock clock;
  private final Lines lines;
  private final List<String> zones;
  private final List<String> kinds;
  private final int parentKind;
  private final int originKind;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<Cache, Entry> entryOf = new IdentityHashMap<>();
  private long last;

  /** The last that the feed itself told, and when others told one past it; null for never. */
  private long fed;

  private Duration toldAt;
  private Consumer<String> whenRead = text -> {};
  private boolean listed;

  /** How often events were missed before the one of this number. */
  private int gaps;

  private long gapBefore;
  private Runnable whenListed = () -> {};
  private Runnable whenChanged = () -> {};
  private List<Cache> caches = List.of();
  private Duration heardAt;

  /** A cache, its id and connections, and how many trips that are out name it. */
  private static final class Entry {
    final String id;
    final Cache cache;
    CacheLine line;
    int out;

    Entry(String id) {
      this.id = id;
      this.cache = new Cache(mark(id));
    }
  }

  public Roster(SettingsReader settings, List<Decisions> modules, Clock clock, Lines lines)
      throws MalformedSettingsException {
    this.modules = List.copyOf(modules);
    this.clock = clock;
    this.lines = lines;
    this.zones = settings.zones();
    this.kinds = settings.kinds();
    this.parentKind = settings.parentKind();
    this.originKind = settings.originKind();
  }

  public String id(Cache cache) {
    return entryOf.get(cache).id;
  }

  public CacheLine line(Cache cache) {
    return entryOf.get(cache).line;
  }

  /** Where clients of the cache reach it. */
  public InetSocketAddress address(Cache cache) {
    return entryOf.get(cache).line.address();
  }

  /** The caches on the list, without those that are gone; in the order of their ids' marks. */
  public List<Cache> caches() {
    return caches;
  }

  /** When the feed last gave an answer that could be read; null before. */
  public Duration heardAt() {
    return heardAt;
  }

  /** Told after each change of the list, once the modules know of it. */
  public void whenChanged(Runnable task) {
    whenChanged = task;
  }

  /**
   * A trip goes out, or has come back and been judged: a cache that is gone is forgotten when none
   * is out.
   */
  public void out(Trip trip, int change) {
    entryOf.get(trip.cache).out += change;
    entryOf.get(trip.source).out += change;
  }

  /** Whether a whole list has come. */
  public boolean listed() {
    return listed;
  }

  /** Told once, when the first whole list is in. */
  public void whenListed(Runnable task) {
    whenListed = task;
  }

  /** Closes the connections to all caches. */
  public void letGo() {
    entries.values().forEach(entry -> entry.line.letGo());
  }

  @Override
  public long last() {
    return last;
  }

  @Override
  public void read(String text) throws MalformedException {
    Events events = new Events(text);
    boolean late =
        toldAt != null && events.newest() >= fed && Steady.now().minus(toldAt).compareTo(LATE) < 0;
    if (events.newest() < last && !late) {
      // The feed counts anew, or an earlier answer was nonsense: all is read again from the first.
      last = 0;
      throw new MalformedException("the numbers went back");
    }
    events.each(new Taking());
    fed = Math.min(last, events.newest());
    heardAt = clock.now();
    whenRead.accept(text);
  }

  /** Told each text of the feed that was read whole, after it was. */
  public void whenRead(Consumer<String> task) {
    whenRead = task;
  }

  /**
   * Another gateway's feed told this event: taken if it is the next one. The feed itself is no
   * fresher by it.
   */
  public boolean told(long number, String event) throws MalformedException {
    if (number != last + 1) {
      return false;
    }
    Events events = new Events("{\"n\":" + number + ",\"events\":[" + event + "]}");
    if (!events.only(number)) {
      throw new MalformedException("not the event " + number + " alone");
    }
    events.each(new Taking());
    toldAt = Steady.now();
    return true;
  }

  /**
   * Takes each event once. What cannot be read is passed over, lest one bad event hide every later
   * drain.
   */
  private final class Taking implements Events.Taker {

    private final Set<String> told = new HashSet<>();

    @Override
    public boolean wants(long number) throws MalformedException {
      if (number <= last) {
        return false;
      }
      checkGap(number);
      return true;
    }

    @Override
    public void server(JsonObject entry) {
      readable(
          () -> {
            told.add(entry.get("id").getAsString());
            member(entry);
          },
          entry.get("id"));
    }

    @Override
    public void members(boolean full) {
      if (full || !listed) {
        entries.forEach(
            (id, entry) ->
                entry.cache.standing =
                    told.contains(id) ? entry.cache.standing : Cache.Standing.GONE);
      }
      told.clear();
      tell();
    }

    @Override
    public void purge(JsonObject purge) {
      readable(() -> purged(purge), "a purge");
    }

    /** All that the JSON library and our own reading throw at an entry of another form. */
    private void readable(Runnable reading, Object what) {
      try {
        reading.run();
      } catch (IllegalArgumentException
          | NullPointerException
          | IllegalStateException
          | ClassCastException
          | UnsupportedOperationException e) {
        Log.line("event-unreadable", what + ": " + e.getMessage());
      }
    }

    @Override
    public void over(long number) {
      last = number;
    }
  }

  /**
   * Events that are missing may hold a drain: they are asked for again, then all from the first,
   * and only if they are missing still is what there is taken. The count is the gap's own: events
   * before it that come anew with it must not start it again, or all behind the gap would be asked
   * for, and never taken, for good.
   */
  private void checkGap(long number) throws MalformedException {
    if (number == last + 1) {
      return;
    }
    gaps = number == gapBefore ? gaps + 1 : 1;
    gapBefore = number;
    if (gaps <= 2) {
      long after = last;
      last = gaps == 2 ? 0 : last;
      throw new MalformedException("events are missing between " + after + " and " + number);
    }
  }

  /** The modules hear of the list as it is now. */
  private void tell() {
    List<Cache> all =
        entries.values().stream()
            .sorted(
                Comparator.comparingLong((Entry entry) -> entry.cache.mark)
                    .thenComparing(entry -> entry.id))
            .map(entry -> entry.cache)
            .toList();
    modules.forEach(module -> module.listed(all, clock.now()));
    // Told once as gone, it is forgotten, or the list would grow with each cache that was ever
    // replaced.
    for (Cache cache : all) {
      Entry entry = entryOf.get(cache);
      if (cache.standing == Cache.Standing.GONE) {
        entry.line.letGo();
        if (entry.out == 0) {
          entries.remove(entry.id);
          entryOf.remove(cache);
        }
      }
    }
    caches = all.stream().filter(cache -> cache.standing != Cache.Standing.GONE).toList();
    if (!listed) {
      listed = true;
      whenListed.run();
    }
    whenChanged.run();
  }

  /** Reads an entry whole before it changes anything; what a change leaves out stays as it was. */
  private void member(JsonObject entry) {
    String id = entry.get("id").getAsString();
    Entry known = entries.get(id);
    Entry of = known == null ? new Entry(id) : known;
    Cache cache = of.cache;
    Cache.Standing standing =
        switch (entry.get("state").getAsString()) {
          case "ready" -> Cache.Standing.READY;
          case "draining" -> Cache.Standing.DRAINING;
          case "gone" -> Cache.Standing.GONE;
          default -> throw new IllegalArgumentException("a state of " + entry.get("state"));
        };
    int zone = entry.has("zone") ? place(zones, entry.get("zone").getAsString()) : cache.zone;
    int cell = entry.has("cell") ? entry.get("cell").getAsInt() : cache.cell;
    double told = entry.has("weight") ? entry.get("weight").getAsDouble() : cache.weight;
    // What is no weight would make the cache the first or the last for all; the rest of the entry
    // holds.
    double weight = told > 0 && told < Double.POSITIVE_INFINITY ? told : cache.weight;
    int kind = entry.has("kind") ? place(kinds, entry.get("kind").getAsString()) : -1;
    Cache.Tier tier =
        kind < 0
            ? cache.tier
            : kind == originKind
                ? Cache.Tier.ORIGIN
                : kind == parentKind ? Cache.Tier.PARENT : Cache.Tier.EDGE;
    long up = entry.has("started_ms") ? entry.get("started_ms").getAsLong() : 0;
    CacheLine line = of.line;
    InetSocketAddress address =
        entry.has("addr")
            ? Config.address(entry.get("addr").getAsString())
            : line == null ? null : line.address();
    if (address == null) {
      throw new IllegalArgumentException("no address");
    }
    entries.put(id, of);
    entryOf.put(cache, of);
    cache.standing = standing;
    cache.zone = zone;
    cache.cell = cell;
    cache.weight = weight;
    cache.tier = tier;
    if (entry.has("started_ms")) {
      cache.upSince = up == 0 ? null : past(up);
    }
    if (line == null || !line.address().equals(address) || line.isLetGo()) {
      if (line != null) {
        line.letGo();
      }
      of.line = lines.make(id, address);
    }
  }

  private static int place(List<String> names, String name) {
    int place = names.indexOf(SettingsReader.plain(name));
    if (place < 0) {
      throw new IllegalArgumentException("the settings name no " + name);
    }
    return place;
  }

  /** The same at every gateway and after every restart. */
  private static long mark(String id) {
    CRC32 crc = new CRC32();
    crc.update(id.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  /**
   * What is told has happened; a time to come, or one past all reckoning, would bind for as long.
   */
  private Duration past(long unixMillis) {
    Duration now = clock.now();
    Duration at = clock.at(Math.max(0, unixMillis));
    return at.compareTo(now) < 0 ? at : now;
  }

  private void purged(JsonObject purge) {
    Long object =
        purge.has("key") ? Long.parseUnsignedLong(purge.get("key").getAsString(), 16) : null;
    Purge told =
        new Purge(
            object,
            object == null ? purge.get("group").getAsInt() : -1,
            past(purge.get("at").getAsLong()));
    modules.forEach(module -> module.purged(told, clock.now()));
  }
}
