package tamarindroute.windows;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import tamarindroute.windows.Entry.Phase;
import tamarindroute.windows.Life.Action;
import tamarindroute.windows.Life.Matter;
import tamarindroute.windows.Plan.Lack;

/**
 * The next step of each window, judged on one state. At most one is put at a time, and only by a
 * leader in touch.
 */
final class Steps {
  private final Life.State state;
  private final Duration now;
  private final Life.Settings settings;
  private final Life.Judge judge;
  private final List<Action> actions;
  private final SortedSet<String> told = new TreeSet<>();
  private boolean put;

  Steps(
      Life.State state,
      Duration now,
      Life.Settings settings,
      Life.Judge judge,
      List<Action> actions) {
    this.state = state;
    this.now = now;
    this.settings = settings;
    this.judge = judge;
    this.actions = actions;
  }

  Life.Step go() {
    boolean touch = now.compareTo(state.until()) < 0;
    boolean waits =
        state.sent() != null && now.compareTo(state.sent().plus(settings.patience())) < 0;
    put = waits || !touch || !state.leads();
    // Those under way first: what must come back must not wait behind what wants to go.
    for (Phase phase :
        List.of(Phase.RETURNING, Phase.OPEN, Phase.DRAINING, Phase.RESERVED, Phase.ASKED)) {
      state.entries().values().stream().filter(e -> e.phase() == phase).forEach(this::step);
    }
    state.entries().values().stream().filter(e -> e.phase().ended()).forEach(this::forget);
    ask();
    Duration sent =
        actions.stream().anyMatch(a -> a instanceof Life.Agree) ? now : waits ? state.sent() : null;
    return new Life.Step(
        new Life.State(
            state.number(),
            state.entries(),
            state.until(),
            state.leads(),
            sent,
            state.seen(),
            state.words(),
            state.wishes(),
            state.drains(),
            told),
        actions);
  }

  private void step(Entry entry) {
    switch (entry.phase()) {
      case ASKED -> reserve(entry);
      case RESERVED -> drain(entry);
      case DRAINING -> open(entry);
      case OPEN -> look(entry);
      case RETURNING -> close(entry);
      default -> throw new IllegalStateException(entry.toString());
    }
  }

  private void reserve(Entry entry) {
    if (withdrawn(entry) || tooLate(entry)) {
      callOff(entry);
      return;
    }
    if (put) {
      // Not judged this time: what was told of it stands.
      state.told().stream()
          .filter(t -> t.startsWith(Matter.NO_TIME + " " + entry.id()))
          .forEach(told::add);
      return;
    }
    Life.Slot slot =
        judge.place(
            entry,
            state.entries().values().stream()
                .filter(e -> e.phase() == Phase.RESERVED || e.phase().holds())
                .toList(),
            now);
    if (slot.start() == null) {
      tell(Matter.NO_TIME, entry, slot.lack());
    } else {
      put(entry, entry.at(Phase.RESERVED, slot.start(), slot.start().plus(entry.length())));
    }
  }

  private void drain(Entry entry) {
    if (withdrawn(entry) || tooLate(entry)) {
      callOff(entry);
    } else if (now.compareTo(entry.start()) >= 0) {
      Lack lack = judge.lack(out(entry, true), true, now);
      if (lack != null) {
        tell(Matter.HELD_UP, entry, lack);
      } else {
        put(entry, entry.at(Phase.DRAINING, now, now.plus(entry.length())));
      }
    }
  }

  private void open(Entry entry) {
    Lack lack = judge.lack(out(null, false), true, now);
    if (lack != null) {
      tell(Matter.CALL_BACK, entry, lack);
    }
    if (lack != null || withdrawn(entry) || now.compareTo(entry.end()) >= 0) {
      uncovered(entry);
      put(entry, entry.at(Phase.RETURNING, entry.start(), earlier(entry.end())));
    } else if (entry.caches().stream()
            .allMatch(
                c ->
                    since(entry, c) != null && (since(entry, c).drained() || !since(entry, c).up()))
        && judge.lack(out(null, true), true, now) == null) {
      put(entry, entry.in(Phase.OPEN));
    }
  }

  private void look(Entry entry) {
    Lack lack = judge.lack(out(null, false), true, now);
    if (lack != null) {
      uncovered(entry);
      tell(Matter.CALL_BACK, entry, lack);
    }
    // One whose cache is down can't be called back by us: operators are told, its end stands.
    boolean back =
        lack != null && entry.caches().stream().anyMatch(c -> word(c) != null && word(c).up());
    if (back || withdrawn(entry) || now.compareTo(entry.end()) >= 0) {
      put(entry, entry.at(Phase.RETURNING, entry.start(), earlier(entry.end())));
    }
  }

  private void close(Entry entry) {
    uncovered(entry);
    if (entry.caches().stream()
        .allMatch(c -> since(entry, c) != null && since(entry, c).up() && since(entry, c).warm())) {
      put(entry, entry.in(Phase.CLOSED));
    } else if (now.compareTo(entry.end().plus(settings.giveUp())) >= 0) {
      tell(Matter.LOST, entry, null);
      put(entry, entry.in(Phase.CLOSED));
    } else if (now.compareTo(entry.end().plus(settings.warmUp())) >= 0) {
      tell(Matter.LATE, entry, null);
    }
  }

  private void uncovered(Entry entry) {
    Lack lack = judge.lack(out(null, false), false, now);
    if (lack != null) {
      tell(Matter.UNCOVERED, entry, lack);
    }
  }

  private void callOff(Entry entry) {
    if (!withdrawn(entry)) {
      tell(Matter.CALLED_OFF, entry, null);
    }
    put(entry, entry.in(Phase.CALLED_OFF));
  }

  private void forget(Entry entry) {
    if (now.compareTo(entry.latest().plus(settings.keep())) >= 0) {
      put(entry, null);
    }
  }

  private void ask() {
    for (Entry wish : state.wishes().asked().values()) {
      if (!state.entries().containsKey(wish.id()) && !tooLate(wish)) {
        if (state.entries().size() >= Life.MOST_WINDOWS) {
          tell(Matter.TOO_MANY, wish, null);
        } else {
          put(wish, wish);
        }
      }
    }
  }

  private boolean withdrawn(Entry entry) {
    return state.wishes().revision() > entry.revision()
        && !state.wishes().asked().containsKey(entry.id());
  }

  private boolean tooLate(Entry entry) {
    return now.plus(entry.length()).compareTo(entry.latest()) > 0;
  }

  private Duration earlier(Duration end) {
    return end.compareTo(now) < 0 ? end : now;
  }

  /**
   * What must not be counted on: caches of windows under way, of the one that wants to go, down or
   * cold. Before a step those not heard of too; they call nothing back, or a leader that has just
   * started would.
   */
  private SortedSet<String> out(Entry more, boolean unheard) {
    SortedSet<String> out = new TreeSet<>();
    state.entries().values().stream()
        .filter(e -> e.phase().holds())
        .forEach(e -> out.addAll(e.caches()));
    if (more != null) {
      out.addAll(more.caches());
    }
    judge.caches().stream()
        .filter(c -> word(c) == null ? unheard : !word(c).up() || !word(c).warm())
        .forEach(out::add);
    return out;
  }

  private Life.Word word(String cache) {
    Life.Word word = state.words().get(cache);
    return word == null || word.at().plus(settings.stale()).compareTo(now) < 0 ? null : word;
  }

  /** A word of the cache that is from after this gateway saw the window in its phase. */
  private Life.Word since(Entry entry, String cache) {
    Life.Word word = word(cache);
    return word == null || word.at().compareTo(state.seen().get(entry.id()).since()) < 0
        ? null
        : word;
  }

  private void put(Entry entry, Entry value) {
    if (!put && !Objects.equals(state.entries().get(entry.id()), value)) {
      put = true;
      actions.add(new Life.Agree(entry.key(), state.number(), value));
    }
  }

  private void tell(Matter matter, Entry entry, Lack lack) {
    // A leader tells, once as long as it stays so; one out of touch tells too what it sees
    // uncovered.
    if (state.leads() || matter == Matter.UNCOVERED) {
      String what =
          matter + " " + entry.id() + (lack == null ? "" : " " + lack.range() + " " + lack.cache());
      if (told.add(what) && !state.told().contains(what)) {
        actions.add(new Life.Tell(matter, entry.id(), lack));
      }
    }
  }
}
