package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.windows.Plan.Lack;

/**
 * What a gateway knows of all windows and does about them: (state, event, now) to (state, actions).
 * A step is a put that the agreed view takes only while it still has the number that the step was
 * judged on; so of two gateways that judge at once one is refused and judges anew. Nothing but the
 * view is needed to go on: a killed leader leaves no half window.
 */
public final class Life {
  private Life() {}

  /** What plans and judges; pure. */
  public interface Judge {
    /** When the window may start beside the others, or what lacks. */
    Slot place(Entry asked, Collection<Entry> others, Duration now);

    /**
     * What lacks now while these caches are out, with one further failure borne or without; null if
     * nothing.
     */
    Lack lack(SortedSet<String> out, boolean reserve, Duration now);

    /** All caches that may be cover: those nothing is heard of count as out. */
    Set<String> caches();
  }

  public record Slot(Duration start, Lack lack) {}

  /**
   * @param warmUp how long a returned cache may be cold before it is called late
   * @param giveUp from a window's end, when a cache that is not back is given up: the window
   *     closes, and the cache counts as failed. Longer than {@code stale}, so that nobody holds an
   *     older good word of it
   * @param stale older words of a cache count as none
   * @param patience after which an unanswered put is judged and sent anew; its number makes a
   *     double harmless
   * @param keep how long an ended window is kept after its latest time, so that slow settings don't
   *     ask it again
   */
  public record Settings(
      Duration warmUp, Duration giveUp, Duration stale, Duration patience, Duration keep) {
    public Settings {
      if (giveUp.compareTo(stale) <= 0) {
        throw new IllegalArgumentException("giving up after " + giveUp + " is not after " + stale);
      }
    }
  }

  /**
   * A word of a cache: its birth orders words of one process and its successors; {@code at} is when
   * it was true.
   */
  public record Word(long birth, boolean up, boolean warm, boolean drained, Duration at) {}

  /**
   * The wishes of the settings, whole: a window that a later revision no longer has is withdrawn.
   */
  public record Wishes(int revision, Map<String, Entry> asked) {}

  /**
   * The phase of an entry, and when this gateway first saw it in it: earlier words tell nothing of
   * it.
   */
  public record Seen(Entry.Phase phase, Duration since) {}

  /** {@code sent} is when a put went out that is not yet answered, or null. */
  public record State(
      long number,
      SortedMap<String, Entry> entries,
      Duration until,
      boolean leads,
      Duration sent,
      SortedMap<String, Seen> seen,
      SortedMap<String, Word> words,
      Wishes wishes,
      SortedSet<String> drains,
      SortedSet<String> told) {}

  public sealed interface Event {}

  /** The agreed view, whole, held until a time on this gateway's monotonic clock. */
  public record Agreed(long number, SortedMap<String, Entry> entries, Duration until)
      implements Event {}

  /** A put was refused: the view has this number now, and comes on its own. */
  public record Refused(long number) implements Event {}

  public record OutOfTouch() implements Event {}

  public record Leads(boolean now) implements Event {}

  public record Wished(Wishes wishes) implements Event {}

  /** Words of some caches, as many as came together: each event is judged once. */
  public record Heard(Map<String, Word> words) implements Event {}

  public record Tick() implements Event {}

  public sealed interface Action {}

  /** Put if the view still has this number; no value takes the key away. */
  public record Agree(String key, long expected, Entry value) implements Action {}

  public record Drain(String cache) implements Action {}

  public record Release(String cache) implements Action {}

  /** Told to operators once, until it has changed. */
  public record Tell(Matter matter, String window, Lack lack) implements Action {}

  public enum Matter {
    NO_TIME,
    HELD_UP,
    CALL_BACK,
    UNCOVERED,
    LATE,
    LOST,
    CALLED_OFF,
    TOO_MANY
  }

  public record Step(State state, List<Action> actions) {}

  /**
   * Windows agreed at once, ended ones kept for a while included: a location's night has some tens
   * of batches.
   */
  public static final int MOST_WINDOWS = 256;

  /** As many caches as the planner takes. */
  public static final int MOST_WORDS = World.MOST_CACHES;

  public static State initial() {
    return new State(
        -1,
        new TreeMap<>(),
        Duration.ZERO,
        false,
        null,
        new TreeMap<>(),
        new TreeMap<>(),
        new Wishes(0, Map.of()),
        new TreeSet<>(),
        new TreeSet<>());
  }

  public static Step next(State state, Event event, Duration now, Settings settings, Judge judge) {
    List<Action> actions = new ArrayList<>();
    State told = take(state, event, now, actions);
    return new Steps(told, now, settings, judge, actions).go();
  }

  private static State take(State s, Event event, Duration now, List<Action> actions) {
    if (event instanceof Agreed agreed) {
      return agreed(s, agreed, now, actions);
    } else if (event instanceof Refused refused) {
      // What was judged on an old view is judged anew on the next.
      return with(s, s.until, s.leads, refused.number > s.number ? now : null, s.words, s.wishes);
    } else if (event instanceof OutOfTouch) {
      return with(s, now, s.leads, null, s.words, s.wishes);
    } else if (event instanceof Leads leads) {
      return with(s, s.until, leads.now, s.sent, s.words, s.wishes);
    } else if (event instanceof Wished wished) {
      return wished.wishes.revision < s.wishes.revision
          ? s
          : with(s, s.until, s.leads, s.sent, s.words, wished.wishes);
    } else if (event instanceof Heard heard) {
      return heard(s, heard);
    }
    return s;
  }

  private static State heard(State s, Heard heard) {
    SortedMap<String, Word> words = new TreeMap<>(s.words);
    heard.words.forEach(
        (cache, word) -> {
          Word old = words.get(cache);
          boolean older =
              old != null
                  && (word.birth < old.birth
                      || word.birth == old.birth && word.at.compareTo(old.at) < 0);
          if (!older && (old != null || words.size() < MOST_WORDS)) {
            words.put(cache, word);
          }
        });
    return with(s, s.until, s.leads, s.sent, words, s.wishes);
  }

  private static State agreed(State s, Agreed agreed, Duration now, List<Action> actions) {
    if (agreed.number < s.number || agreed.entries.size() > MOST_WINDOWS) {
      return s;
    }
    SortedMap<String, Seen> seen = new TreeMap<>();
    SortedSet<String> drains = new TreeSet<>();
    agreed.entries.forEach(
        (id, entry) -> {
          Seen before = s.seen.get(id);
          seen.put(
              id,
              before != null && before.phase == entry.phase()
                  ? before
                  : new Seen(entry.phase(), now));
          if (entry.phase() == Entry.Phase.DRAINING || entry.phase() == Entry.Phase.OPEN) {
            drains.addAll(entry.caches());
          }
        });
    drains.stream().filter(c -> !s.drains.contains(c)).forEach(c -> actions.add(new Drain(c)));
    s.drains.stream().filter(c -> !drains.contains(c)).forEach(c -> actions.add(new Release(c)));
    return new State(
        agreed.number,
        new TreeMap<>(agreed.entries),
        agreed.until,
        s.leads,
        agreed.number > s.number ? null : s.sent,
        seen,
        s.words,
        s.wishes,
        drains,
        s.told);
  }

  private static State with(
      State s,
      Duration until,
      boolean leads,
      Duration sent,
      SortedMap<String, Word> words,
      Wishes wishes) {
    return new State(
        s.number, s.entries, until, leads, sent, s.seen, words, wishes, s.drains, s.told);
  }
}
