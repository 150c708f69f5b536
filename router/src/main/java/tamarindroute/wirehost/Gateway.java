package tamarindroute.wirehost;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/** One gateway: its views in hand, its timers and the ids at its door. It decides nothing. */
final class Gateway {

  /** A view in hand, or one that is over with trips still out. */
  private static final class Held {
    final int request;
    final View view;
    int out;
    int wait;
    boolean over;

    Held(int request, View view) {
      this.request = request;
      this.view = view;
    }
  }

  private static final long LIST_CALL = 1L << 62;
  private static final Detail[] DETAILS = Detail.values();

  private final int instance;
  private final long opened;
  private final int parentKind;
  private final int originKind;
  private final Duration mustAskWithin;
  private final List<Profile> profiles;
  private final List<String> reportFields;
  private final Decisions decisions;
  private final Reply reply;
  private final Map<Integer, Held> held = new HashMap<>();
  private final TreeMap<Long, Cache> caches = new TreeMap<>();

  Gateway(int instance, long opened, SettingsReader settings, Decisions decisions, Reply reply)
      throws MalformedSettingsException {
    this.instance = instance;
    this.opened = opened;
    this.parentKind = settings.parentKind();
    this.originKind = settings.originKind();
    this.mustAskWithin = settings.mustAskWithin();
    this.profiles = settings.profiles();
    this.reportFields = settings.reportFields();
    this.decisions = decisions;
    this.reply = reply;
    if (settings.mustAskForList()) {
      reply.observe(instance);
    }
  }

  void take(int code, ByteBuffer record, ByteBuffer list, long clock)
      throws MalformedFrameException {
    Duration now = Duration.ofNanos(clock - opened);
    switch (code) {
      case 17 -> listNews(record, list, clock, now);
      case 18 -> arrival(record, now);
      case 19 -> started(record);
      case 20 -> outcome(record, now);
      case 21 -> vanished(record);
      case 22 -> timer(record.getLong(3), now);
      case 23 -> report(cache(record.getInt(3)), record, 17, now);
      case 24 -> {}
      case 26 -> purged(record, now);
      default -> throw new MalformedFrameException("no open instance gets the event code " + code);
    }
  }

  private void listNews(ByteBuffer record, ByteBuffer list, long clock, Duration now)
      throws MalformedFrameException {
    int how = record.get(7);
    if (how == 3) {
      // A broken subscription is asked for again well within the time that the settings allow.
      reply.remind(instance, clock + mustAskWithin.toNanos() / 4, LIST_CALL);
      return;
    }
    if (how < 0 || how > 3) {
      throw new MalformedFrameException("no list news is of the kind " + how);
    }
    Set<Cache> listed = new HashSet<>();
    while (list.hasRemaining()) {
      Cache cache = caches.computeIfAbsent(Integer.toUnsignedLong(list.getInt()), Cache::new);
      cache.zone = Byte.toUnsignedInt(list.get());
      int standing = list.get();
      if (standing < 0 || standing > 2) {
        throw new MalformedFrameException("no cache has the availability " + standing);
      }
      cache.standing =
          switch (standing) {
            case 2 -> Cache.Standing.READY;
            case 1 -> Cache.Standing.DRAINING;
            default -> Cache.Standing.GONE;
          };
      cache.cell = Short.toUnsignedInt(list.getShort());
      long up = list.getLong();
      cache.upSince = up == 0 ? null : Duration.ofNanos(up - opened);
      int kind = Byte.toUnsignedInt(list.get());
      cache.tier =
          kind == originKind
              ? Cache.Tier.ORIGIN
              : kind == parentKind ? Cache.Tier.PARENT : Cache.Tier.EDGE;
      cache.weight = list.getFloat();
      listed.add(cache);
    }
    if (how != 0) {
      for (Cache cache : caches.values()) {
        if (!listed.contains(cache)) {
          cache.standing = Cache.Standing.GONE;
        }
      }
    }
    decisions.listed(new ArrayList<>(caches.values()), now);
  }

  private void arrival(ByteBuffer record, Duration now) throws MalformedFrameException {
    int profile = Short.toUnsignedInt(record.getShort(7));
    if (profile >= profiles.size()) {
      throw new MalformedFrameException("no class stands at " + profile);
    }
    View view =
        new View(
            profiles.get(profile),
            record.getLong(12),
            (int) record.getFloat(28),
            (int) record.getFloat(32),
            record.getFloat(36),
            now,
            now.plusNanos(record.getLong(20)));
    Held arrived = new Held(record.getInt(3), view);
    held.put(arrived.request, arrived);
    write(arrived, decisions.place(view, now), now);
  }

  /** Writes an answer and sets the timer for the next question, if one is due. */
  private void write(Held one, Answer answer, Duration now) {
    one.wait++;
    if (answer instanceof Trip trip) {
      trip.sent = now;
      one.view.trips.add(trip);
      one.out++;
      reply.trip(instance, one.request, trip);
    } else if (answer instanceof Answer.Recall recall) {
      reply.recall(instance, one.request, one.view.trips.indexOf(recall.trip()));
    } else if (answer instanceof Answer.Dismissal dismissal) {
      reply.dismissal(instance, one.request, dismissal.comeBack());
      close(one);
    } else if (answer instanceof Answer.Termination) {
      reply.termination(instance, one.request);
      close(one);
    }
    if (!one.over) {
      Duration patience = decisions.patience(one.view, now);
      if (patience != null) {
        long cookie = Integer.toUnsignedLong(one.request) << 24 | one.wait & 0xffffff;
        reply.remind(instance, opened + now.plus(patience).toNanos(), cookie);
      }
    }
  }

  private void close(Held one) {
    one.over = true;
    if (one.out == 0) {
      held.remove(one.request);
    }
  }

  private void started(ByteBuffer record) {
    Held one = held.get(record.getInt(3));
    if (one != null) {
      one.wait++;
    }
  }

  private void outcome(ByteBuffer record, Duration now) throws MalformedFrameException {
    Held one = held.get(record.getInt(3));
    int number = Byte.toUnsignedInt(record.get(7));
    Result result =
        switch (record.getShort(12)) {
          case 10 -> Result.HONOURED;
          case 20 -> Result.ERRED;
          case 30 -> Result.TURNED_AWAY;
          case 40 -> Result.TIMED_OUT;
          case 50 -> Result.UNREACHED;
          case 60 -> Result.BROKEN;
          case 70 -> Result.RECALLED;
          case 80 -> Result.NOT_SENT;
          case 90 -> Result.MISSED;
          default ->
              throw new MalformedFrameException("no outcome has the code " + record.getShort(12));
        };
    report(cache(record.getInt(8)), record, 35, now);
    if (one == null
        || number >= one.view.trips.size()
        || one.view.trips.get(number).outcome != null) {
      return;
    }
    int detail = record.getInt(23);
    long sourceWait = record.getLong(27);
    boolean closed = one.over || record.get(22) != 0;
    Trip trip = one.view.trips.get(number);
    trip.outcome =
        new Outcome(
            result,
            detail > 0 && detail < DETAILS.length ? DETAILS[detail] : Detail.UNTOLD,
            Duration.ofNanos(record.getLong(14)),
            sourceWait == 0 ? null : Duration.ofNanos(sourceWait),
            closed);
    one.out--;
    Answer answer = decisions.after(one.view, trip, now);
    if (closed) {
      one.over = true;
    }
    write(one, answer, now);
    if (one.over) {
      close(one);
    }
  }

  private void vanished(ByteBuffer record) {
    Held one = held.get(record.getInt(3));
    if (one != null) {
      close(one);
    }
  }

  private void timer(long cookie, Duration now) {
    if (cookie == LIST_CALL) {
      reply.observe(instance);
      return;
    }
    Held one = held.get((int) (cookie >>> 24));
    if (one != null && !one.over && (one.wait & 0xffffff) == (cookie & 0xffffff)) {
      write(one, decisions.place(one.view, now), now);
    }
  }

  private void purged(ByteBuffer record, Duration now) {
    long object = record.getLong(3);
    decisions.purged(
        new Purge(
            object == 0 ? null : object,
            Short.toUnsignedInt(record.getShort(11)),
            now.minusNanos(record.getLong(13))),
        now);
  }

  private Cache cache(int id) throws MalformedFrameException {
    Cache cache = caches.get(Integer.toUnsignedLong(id));
    if (cache == null) {
      throw new MalformedFrameException(
          "no list has named the cache " + Integer.toUnsignedString(id));
    }
    return cache;
  }

  private void report(Cache cache, ByteBuffer record, int at, Duration now) {
    Load load = new Load(value(record, at, "utilization"), value(record, at, "outstanding"));
    if (load.told()) {
      decisions.loaded(cache, load, now);
    }
  }

  /** A value of the load report; not a number where it is not told. */
  private double value(ByteBuffer record, int at, String name) {
    int place = reportFields.indexOf(name);
    return place < 0 || place >= record.get(at) ? Double.NaN : record.getFloat(at + 1 + 4 * place);
  }
}
