package tamarindroute.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Trip;
import tamarindroute.host.Clock;
import tamarindroute.host.Report;
import tamarindroute.log.Log;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;

/**
 * The last stage: notes how each trip came back, tells the module, and gives each view its one
 * final answer. It must never give two, nor tell the module of an outcome twice.
 */
final class Book {

  /** What a cache's word means; any other is an error, after which it may have run. */
  private static final Map<String, Result> WORDS =
      Map.of(
          "ACK",
          Result.HONOURED,
          "NOMOD",
          Result.HONOURED,
          "NOENT",
          Result.MISSED,
          "AGAIN",
          Result.TURNED_AWAY,
          "EIO",
          Result.ERRED,
          "STALE",
          Result.EXPIRED);

  private static final Map<String, Detail> NOTES =
      Map.of(
          "hit",
          Detail.HIT,
          "filled",
          Detail.FILLED,
          "via_origin",
          Detail.FROM_ORIGIN,
          "joined",
          Detail.JOINED,
          "stale",
          Detail.OLD,
          "src_refused",
          Detail.SOURCE_REFUSED,
          "src_broke",
          Detail.SOURCE_FAILED,
          "src_lacks",
          Detail.SOURCE_LACKS,
          "no_slot",
          Detail.NO_ROOM_FOR_FILL,
          "origin_failed",
          Detail.ORIGIN_FAILED);

  /** What a cache tells of a wait in milliseconds is within this, or it is none. */
  private static final double LONGEST_TOLD = 1e6;

  /** Unix milliseconds of the next millennia; what lies past them is no date. */
  private static final double LATEST_DATE = 1e14;

  /**
   * The protocol's allowance on all limits of time, between the clocks and roundings of two
   * machines.
   */
  private static final Duration SLACK = Duration.ofMillis(50);

  private final Clock clock;
  private final Decisions decisions;
  private final Route route;
  private Admit admit;

  Book(Clock clock, Decisions decisions, Route route) {
    this.clock = clock;
    this.decisions = decisions;
    this.route = route;
  }

  void chain(Admit first) {
    admit = first;
  }

  /** A cache's answer has come whole. */
  void answered(Send.TripOut out, String word, Fields fields) {
    Result result = WORDS.getOrDefault(word, Result.ERRED);
    Detail detail = NOTES.getOrDefault(String.valueOf(fields.text("why")), Detail.UNTOLD);
    Duration wait = null;
    try {
      // Zero is no wait told, as on the simulator's wire.
      double first = fields.number("first", 0, LONGEST_TOLD);
      wait = first == 0 ? null : Duration.ofNanos((long) (first * 1e6));
      report(out, fields);
    } catch (MalformedException e) {
      Log.line("cache-unreadable", e.getMessage());
    }
    boolean unchanged = word.equals("NOMOD");
    if (unchanged && !names(out.held.copy, fields)) {
      Log.line(
          "cache-unreadable", "an answer that the client's copy holds, which is not the client's");
      result = Result.ERRED;
    }
    if (result == Result.HONOURED && tooOld(out.trip, fields)) {
      Log.line("cache-unreadable", "a copy from before a purge that the cache was told of");
      result = Result.ERRED;
    }
    if (result == Result.HONOURED && !out.held.over) {
      out.passage.finish(fields, unchanged);
    } else {
      out.passage.drop();
    }
    end(out, result, detail, wait, out.held.over || result == Result.HONOURED);
  }

  /** Whether a cache that says that the copy holds means the one that this client has. */
  private static boolean names(String copy, Fields fields) {
    String named = fields.text("digest");
    return named != null && named.equals(copy);
  }

  /**
   * Whether a copy is older than the trip allowed, which binds after a purge: its cache goes wrong,
   * not its view.
   */
  private boolean tooOld(Trip trip, Fields fields) {
    if (trip.oldest == null || fields.text("dated") == null) {
      return false;
    }
    try {
      Duration made = clock.at((long) fields.number("dated", 0, LATEST_DATE));
      return made.compareTo(trip.sent.minus(trip.oldest).minus(SLACK)) < 0;
    } catch (MalformedException e) {
      return true;
    }
  }

  private void report(Send.TripOut out, Fields fields) throws MalformedException {
    Load load = Report.load(fields);
    if (load != null) {
      decisions.loaded(out.trip.cache, load, clock.now());
    }
  }

  /** A trip came back without an answer. */
  void broken(Send.TripOut out, Result result) {
    out.passage.drop();
    end(out, result, Detail.UNTOLD, null, out.held.over);
  }

  private void end(Send.TripOut out, Result result, Detail detail, Duration wait, boolean closed) {
    Held held = out.held;
    if (!held.out.remove(out)) {
      return;
    }
    if (closed) {
      over(held);
    }
    out.trip.outcome = new Outcome(result, detail, clock.now().minus(out.trip.sent), wait, closed);
    route.after(held, out.trip);
    out.over();
    if (held.over && held.out.isEmpty()) {
      held.release();
    }
  }

  /** The client's time is over: what is out is too late, and the final answer is due. */
  void cutOff(Held held) {
    // Told of the first trip's end the module may name another, which nobody would wait for.
    held.noMore = true;
    for (Send.TripOut out : List.copyOf(held.out)) {
      out.quit();
      out.passage.drop();
      end(out, out.ifBegun(Result.TIMED_OUT), Detail.UNTOLD, null, held.over);
    }
    if (!held.over) {
      Log.line("defect", "no final answer at the cut-off");
      terminate(held);
    }
  }

  /**
   * The client seems to have gone: a trip that waits for its connection ends now, and none more is
   * begun.
   */
  void unwanted(Held held) {
    held.noMore = true;
    for (Send.TripOut out : List.copyOf(held.out)) {
      if (!out.begun) {
        out.quit();
        broken(out, Result.NOT_SENT);
      }
    }
  }

  void vanished(Held held) {
    over(held);
    for (Send.TripOut out : List.copyOf(held.out)) {
      out.quit();
      broken(out, out.ifBegun(Result.RECALLED));
    }
    if (held.out.isEmpty()) {
      held.release();
    }
  }

  void dismiss(Held held, Duration comeBack) {
    held.client.outlet.word(
        held.tag,
        "NAK",
        new Fields().with("backoff", comeBack == null ? null : Math.max(1, comeBack.toMillis())));
    close(held);
  }

  void terminate(Held held) {
    held.client.outlet.word(held.tag, "FAIL");
    close(held);
  }

  private void close(Held held) {
    over(held);
    if (held.out.isEmpty()) {
      held.release();
    }
  }

  private void over(Held held) {
    if (!held.over) {
      held.over = true;
      held.patience.run();
      held.cutOff.run();
      admit.done(held);
    }
  }
}
