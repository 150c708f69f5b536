package tamarindroute.endings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * All that happened in one play, on one monotonic clock: clients, caches and the feed live in one
 * process. It owns the events and must never judge them.
 */
final class Journal {

  /** What an event says; its fields are listed with each. */
  enum Kind {
    /** A client wrote a whole request: class, budget, obj, piece, ver, slow. */
    SENT,
    /** A client wrote a cancel. */
    CANCELLED,
    /** A client gave its connection up, or spoilt it, with this request open: how. */
    LEFT,
    /** A client read a whole answer: word, fields, bytes (right or wrong). */
    ANSWERED,
    /**
     * A client's connection ended by the gateway's doing: how. One event for each request open on
     * it, and one.
     */
    ENDED,
    /** A cache read a whole request: cache, attempt, parent, accept, got. */
    ASKED,
    /** A cache read that a request is given up: cache, attempt. */
    QUIT,
    /** A cache wrote a whole answer: cache, attempt, word, digest, dated. */
    TOLD,
    /** A connection with this request open ended at a cache: cache, attempt, how. */
    CUT,
    /** An event came into being at the feed: n, and drain, state or obj, lot, made, age. */
    MADE,
    /** The feed wrote an answer with this event whole: n. */
    FED,
    /** The program was told to end. */
    TERM,
    /** The program ended: code. */
    EXIT,
    /** This machine held the test itself up: ms. */
    STALL,
    /** For those who read. */
    NOTE
  }

  /** From is the earliest, at the latest moment of what was seen; on the monotonic clock. */
  record Event(
      long from, long at, Kind kind, String rid, String where, Map<String, String> fields) {

    String field(String name) {
      return fields.getOrDefault(name, "");
    }

    double number(String name) {
      return fields.containsKey(name) ? Double.parseDouble(fields.get(name)) : Double.NaN;
    }
  }

  static final long MS = 1_000_000;

  private final List<Event> events = new ArrayList<>();
  private final long zero;

  Journal() {
    this(System.nanoTime());
  }

  Journal(long zero) {
    this.zero = zero;
  }

  /** Adds what is seen now; the words are names and values by turns. */
  void add(Kind kind, String rid, String where, Object... words) {
    long now = System.nanoTime();
    add(now, now, kind, rid, where, words);
  }

  synchronized void add(long from, long at, Kind kind, String rid, String where, Object... words) {
    Map<String, String> fields = new TreeMap<>();
    for (int i = 0; i < words.length; i += 2) {
      if (words[i + 1] != null) {
        fields.put(words[i].toString(), words[i + 1].toString());
      }
    }
    events.add(new Event(from, at, kind, rid, where, fields));
  }

  synchronized List<Event> all() {
    return events.stream().sorted(Comparator.comparingLong(Event::at)).toList();
  }

  List<Event> of(Kind kind) {
    return all().stream().filter(e -> e.kind() == kind).toList();
  }

  /** The events of each request, in their order. */
  Map<String, List<Event>> byRequest() {
    return all().stream()
        .filter(e -> !e.rid().isEmpty())
        .collect(Collectors.groupingBy(Event::rid, TreeMap::new, Collectors.toList()));
  }

  /**
   * What a check may allow beside the protocol's figures: a busy machine's usual, and what this one
   * did.
   */
  long allowance() {
    double worst = of(Kind.STALL).stream().mapToDouble(e -> e.number("ms")).max().orElse(0);
    return (long) ((USUAL_MS + Math.min(worst, MOST_MS)) * MS);
  }

  /**
   * Of a machine on which all cores are busy: threads of the test and of the gateway wait for a
   * turn.
   */
  private static final double USUAL_MS = 150;

  /** However busy the machine, more than this is never put down to it. */
  private static final double MOST_MS = 400;

  String line(Event event) {
    return String.format(
        "%9.1f %s%-9s %s %s %s",
        (event.at() - zero) / 1e6,
        event.from() == event.at()
            ? ""
            : String.format("(from %.1f) ", (event.from() - zero) / 1e6),
        event.kind(),
        event.rid(),
        event.where(),
        event.fields());
  }

  /** The lines around one request, and what the feed and the signals did meanwhile. */
  String about(String rid) {
    List<Event> all = all();
    long first =
        all.stream().filter(e -> e.rid().equals(rid)).mapToLong(Event::from).min().orElse(0);
    long last = all.stream().filter(e -> e.rid().equals(rid)).mapToLong(Event::at).max().orElse(0);
    return all.stream()
        .filter(
            e ->
                e.rid().equals(rid)
                    || e.rid().isEmpty()
                        && e.kind() != Kind.FED
                        && e.at() >= first - 200 * MS
                        && e.at() <= last + 200 * MS)
        .map(this::line)
        .collect(Collectors.joining("\n"));
  }
}
