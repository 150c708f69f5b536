package tamarindroute.endings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tamarindroute.endings.Journal.Event;
import tamarindroute.endings.Journal.Kind;
import tamarindroute.endings.World.Lane;

/**
 * One request as the journal tells it: what its client did, its attempts, its answers. It must
 * never judge.
 */
final class Story {

  /**
   * One attempt: when it came to a cache, the first answer of that cache to it, and how else it
   * ended.
   */
  static final class Attempt {
    final Event asked;
    Event told;
    Event quit;
    Event cut;

    Attempt(Event asked) {
      this.asked = asked;
    }

    /** When a word that proves that it never ran was written; the far future without one. */
    long proven() {
      return told != null && NEVER_RAN.contains(told.field("word")) ? told.at() : Long.MAX_VALUE;
    }
  }

  private static final Set<String> NEVER_RAN = Set.of("NOENT", "AGAIN", "STALE");

  final String rid;
  final Event sent;
  final List<Event> answers = new ArrayList<>();
  final List<Attempt> attempts = new ArrayList<>();

  /** The client cancelled it; null if not. */
  final Event cancelled;

  /** The client left, or spoilt its connection, with it open; null if not. */
  final Event left;

  /** The gateway ended the connection that it was sent on, then or later; null if not. */
  final Event ended;

  Story(String rid, List<Event> events, Map<String, Event> ends) {
    this.rid = rid;
    sent = first(events, Kind.SENT);
    cancelled = first(events, Kind.CANCELLED);
    left = first(events, Kind.LEFT);
    ended = sent == null ? null : ends.get(sent.where());
    for (Event event : events) {
      switch (event.kind()) {
        case ANSWERED -> answers.add(event);
        case ASKED -> attempts.add(new Attempt(event));
        case TOLD -> {
          Attempt attempt = attempt(event);
          attempt.told = attempt.told == null ? event : attempt.told;
        }
        case QUIT -> {
          if (!event.field("attempt").isEmpty()) {
            attempt(event).quit = event;
          }
        }
        case CUT -> attempt(event).cut = event;
        default -> {}
      }
    }
  }

  private Attempt attempt(Event event) {
    return attempts.stream()
        .filter(a -> a.asked.field("attempt").equals(event.field("attempt")))
        .findFirst()
        .orElseThrow();
  }

  private static Event first(List<Event> events, Kind kind) {
    return events.stream().filter(e -> e.kind() == kind).findFirst().orElse(null);
  }

  Lane lane() {
    return Lane.valueOf(sent.field("class"));
  }

  static List<Story> of(Journal journal) {
    Map<String, Event> ends = new HashMap<>();
    journal.of(Kind.ENDED).forEach(event -> ends.putIfAbsent(event.where(), event));
    return journal.byRequest().entrySet().stream()
        .map(e -> new Story(e.getKey(), e.getValue(), ends))
        .filter(story -> story.sent != null)
        .toList();
  }

  /**
   * When an attempt was written: what a cache that does not accept reads late tells how long its
   * client still waited.
   */
  long begun(Attempt attempt) {
    long read = attempt.asked.from();
    return sent == null || attempt.asked.field("ttl").isEmpty() || sent.field("budget").isEmpty()
        ? read
        : Math.min(
            read, sent.at() + (long) ((sent.number("budget") - attempt.asked.number("ttl")) * 1e6));
  }
}
