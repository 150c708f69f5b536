package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges a play by what nodes are told and what they do, beside the truth of what was done to them;
 * it reads no machine's state but touch, as whoever acts reads it.
 */
final class Checker implements Sim.Observer {

  /**
   * Beyond it a stopped process has to find out; the machine's own bound is a quarter of a period.
   */
  private static final long NOTICED = Duration.ofMillis(300).toNanos();

  private record Pair(int at, Member of) {}

  private final Sim sim;
  private final Duration stated;
  private final Map<Address, Integer> places = new HashMap<>();
  private final Map<Pair, Set<Address>> observers = new HashMap<>();
  private final Map<Pair, Integer> cuts = new HashMap<>();
  private final Map<Integer, Map<Address, Long>> births = new HashMap<>();
  private final Set<Integer> excused = new HashSet<>();
  private final Set<Integer> blind = new HashSet<>();
  private final Map<Integer, Long> stoppedAt = new HashMap<>();
  private final Set<Integer> mustPause = new HashSet<>();
  private final Map<Integer, Message> told = new HashMap<>();
  final List<String> breaches = new ArrayList<>();
  int away;

  /** Stated is the pause that has to be borne, whatever the machines were told. */
  Checker(Sim sim, Duration stated) {
    this.sim = sim;
    this.stated = stated;
    for (int i = 0; i < sim.nodes.size(); i++) {
      places.put(sim.nodes.get(i).address, i);
    }
    sim.observers.add(this);
  }

  /**
   * It can't be reached by most: it may be held away, once it knows itself that it is not in touch.
   */
  void mayGo(int place) {
    excused.add(place);
  }

  /** It can't know: neither it nor anybody on its side hears those that hold it to be away. */
  void cannotKnow(int place) {
    blind.add(place);
  }

  /** The world is another from here on: what was cut may be cut again. */
  void phase() {
    cuts.clear();
  }

  void stopped(int place, Duration span) {
    stoppedAt.put(place, sim.now().toNanos());
    if (span.toNanos() > NOTICED) {
      mustPause.add(place);
    }
    if (span.compareTo(stated) > 0) {
      mayGo(place);
    }
  }

  @Override
  public void told(int node, Message message) {
    told.put(node, message);
    Map<Address, Long> known = births.computeIfAbsent(node, n -> new HashMap<>());
    for (Rumour rumour : message.rumours()) {
      if (rumour.standing() == Standing.SUSPECT || rumour.standing() == Standing.AWAY) {
        observers
            .computeIfAbsent(new Pair(node, rumour.about()), p -> new HashSet<>())
            .add(rumour.observer());
      }
    }
    boolean former = message.from().birth() < known.getOrDefault(message.from().address(), 0L);
    boolean otherLife =
        message.toBirth() != 0
            && message.toBirth() != sim.nodes.get(node).membership.self().birth();
    if (!former && !otherLife) {
      told.remove(node);
      known.merge(message.from().address(), message.from().birth(), Math::max);
    }
  }

  @Override
  public void did(int node, List<Action> actions) {
    Message notToAnswer = told.remove(node);
    if (mustPause.contains(node) && !sim.nodes.get(node).stopped) {
      mustPause.remove(node);
      boolean first =
          actions.get(0) instanceof Action.Touch touch
              && touch.state().condition() == Action.Condition.PAUSED;
      breach(!first, "PAUSE " + node + " went on without finding out that it had been stopped");
    }
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        sent(node, send, notToAnswer);
      } else if (action instanceof Action.Became became) {
        became(node, became);
      } else if (action instanceof Action.Reborn) {
        breach(
            notToAnswer != null,
            "FORMER " + node + " took a birth on a word meant for a former self");
      }
    }
  }

  private void sent(int node, Action.Send send, Message notToAnswer) {
    Message message = send.message();
    for (Rumour rumour : message.rumours()) {
      if (rumour.observer().equals(sim.nodes.get(node).address)) {
        observers
            .computeIfAbsent(new Pair(node, rumour.about()), p -> new HashSet<>())
            .add(rumour.observer());
      }
    }
    breach(
        notToAnswer != null
            && message.kind() != Message.Kind.SUPERSEDED
            && message.kind() != Message.Kind.GOSSIP
            && send.to().equals(notToAnswer.from().address())
            && message.number() == notToAnswer.number(),
        "FORMER " + node + " answered " + notToAnswer);
  }

  private void became(int node, Action.Became became) {
    Member about = became.about();
    long known =
        births
            .computeIfAbsent(node, n -> new HashMap<>())
            .merge(about.address(), about.birth(), Math::max);
    breach(
        known > about.birth() && became.standing().compareTo(Standing.AWAY) < 0,
        "FORMER " + node + " holds a former self of " + about + " to be " + became.standing());
    if (became.standing() != Standing.AWAY) {
      return;
    }
    away++;
    int of = places.get(about.address());
    Sim.Node subject = sim.nodes.get(of);
    boolean over = subject.dead || subject.membership.self().birth() != about.birth();
    breach(!over && !excused.contains(of), "FALSE " + node + " holds " + about + " to be away");
    boolean inTouch =
        !over && !subject.stopped && subject.membership.touch(sim.own(subject)).inTouch();
    breach(
        inTouch && excused.contains(of) && !blind.contains(of),
        "UNKNOWING " + of + " holds itself in touch while " + node + " holds it away");
    boolean later = sim.nodes.get(of).membership.self().birth() > about.birth();
    int count = observers.getOrDefault(new Pair(node, about), Set.of()).size();
    breach(
        count < 2 && !later,
        "ALONE " + node + " cut " + about + " on " + count + " observers' word");
    breach(
        cuts.merge(new Pair(node, about), 1, Integer::sum) > 1,
        "FLAP " + node + " cut " + about + " again");
  }

  private void breach(boolean is, String what) {
    if (is && breaches.size() < 50) {
      breaches.add(sim.now().toMillis() + " ms " + what);
    }
  }

  boolean caught(String kind) {
    return breaches.stream().anyMatch(b -> b.contains(" ms " + kind));
  }
}
