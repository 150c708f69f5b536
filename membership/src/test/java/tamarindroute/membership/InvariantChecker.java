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
final class InvariantChecker implements MembershipSimulator.SimulationObserver {

  /**
   * Beyond it a stopped process has to find out; the machine's own bound is a quarter of a period.
   */
  private static final long NOTICE_AFTER_NANOS = Duration.ofMillis(300).toNanos();

  private record ObserverAndSubject(int at, Member of) {}

  private final MembershipSimulator simulator;
  private final Duration toleratedPause;
  private final Map<Address, Integer> indexByAddress = new HashMap<>();
  private final Map<ObserverAndSubject, Set<Address>> observers = new HashMap<>();
  private final Map<ObserverAndSubject, Integer> faultyDeclarations = new HashMap<>();
  private final Map<Integer, Map<Address, Long>> knownIncarnations = new HashMap<>();
  private final Set<Integer> excused = new HashSet<>();
  private final Set<Integer> excusedFromKnowing = new HashSet<>();
  private final Map<Integer, Long> pausedAtNanos = new HashMap<>();
  private final Set<Integer> mustPause = new HashSet<>();
  private final Map<Integer, Message> told = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int faultyCount;

  /** Stated is the pause that has to be borne, whatever the machines were told. */
  InvariantChecker(MembershipSimulator simulator, Duration toleratedPause) {
    this.simulator = simulator;
    this.toleratedPause = toleratedPause;
    for (int i = 0; i < simulator.nodes.size(); i++) {
      indexByAddress.put(simulator.nodes.get(i).address, i);
    }
    simulator.observers.add(this);
  }

  /**
   * It can't be reached by most: it may be held away, once it knows itself that it is not in touch.
   */
  void excuse(int index) {
    excused.add(index);
  }

  /** It can't know: neither it nor anybody on its side hears those that hold it to be away. */
  void excuseFromKnowing(int index) {
    excusedFromKnowing.add(index);
  }

  /** The world is another from here on: what was cut may be cut again. */
  void beginPhase() {
    faultyDeclarations.clear();
  }

  void onPause(int index, Duration span) {
    pausedAtNanos.put(index, simulator.now().toNanos());
    if (span.toNanos() > NOTICE_AFTER_NANOS) {
      mustPause.add(index);
    }
    if (span.compareTo(toleratedPause) > 0) {
      excuse(index);
    }
  }

  @Override
  public void onDelivery(int node, Message message) {
    told.put(node, message);
    Map<Address, Long> known = knownIncarnations.computeIfAbsent(node, n -> new HashMap<>());
    for (MembershipUpdate update : message.updates()) {
      if (update.state() == MemberState.SUSPECT || update.state() == MemberState.AWAY) {
        observers
            .computeIfAbsent(new ObserverAndSubject(node, update.member()), p -> new HashSet<>())
            .add(update.observer());
      }
    }
    boolean fromFormerIncarnation =
        message.from().incarnation() < known.getOrDefault(message.from().address(), 0L);
    boolean forOtherIncarnation =
        message.targetIncarnation() != 0
            && message.targetIncarnation()
                != simulator.nodes.get(node).membership.self().incarnation();
    if (!fromFormerIncarnation && !forOtherIncarnation) {
      told.remove(node);
      known.merge(message.from().address(), message.from().incarnation(), Math::max);
    }
  }

  @Override
  public void onActions(int node, List<Action> actions) {
    Message staleMessage = told.remove(node);
    if (mustPause.contains(node) && !simulator.nodes.get(node).paused) {
      mustPause.remove(node);
      boolean first =
          actions.get(0) instanceof Action.StatusChanged touch
              && touch.status().connectivity() == Action.Connectivity.PAUSED;
      reportIf(!first, "PAUSE " + node + " went on without finding out that it had been stopped");
    }
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        onSend(node, send, staleMessage);
      } else if (action instanceof Action.StateChanged became) {
        onStateChanged(node, became);
      } else if (action instanceof Action.IncarnationRaised) {
        reportIf(
            staleMessage != null,
            "FORMER " + node + " took a birth on a word meant for a former self");
      }
    }
  }

  private void onSend(int node, Action.Send send, Message staleMessage) {
    Message message = send.message();
    for (MembershipUpdate update : message.updates()) {
      if (update.observer().equals(simulator.nodes.get(node).address)) {
        observers
            .computeIfAbsent(new ObserverAndSubject(node, update.member()), p -> new HashSet<>())
            .add(update.observer());
      }
    }
    reportIf(
        staleMessage != null
            && message.kind() != Message.Kind.SUPERSEDED
            && message.kind() != Message.Kind.GOSSIP
            && send.to().equals(staleMessage.from().address())
            && message.requestId() == staleMessage.requestId(),
        "FORMER " + node + " answered " + staleMessage);
  }

  private void onStateChanged(int node, Action.StateChanged became) {
    Member about = became.member();
    long known =
        knownIncarnations
            .computeIfAbsent(node, n -> new HashMap<>())
            .merge(about.address(), about.incarnation(), Math::max);
    reportIf(
        known > about.incarnation() && became.state().compareTo(MemberState.AWAY) < 0,
        "FORMER " + node + " holds a former self of " + about + " to be " + became.state());
    if (became.state() != MemberState.AWAY) {
      return;
    }
    faultyCount++;
    int subjectIndex = indexByAddress.get(about.address());
    MembershipSimulator.Node subject = simulator.nodes.get(subjectIndex);
    boolean ended =
        subject.killed || subject.membership.self().incarnation() != about.incarnation();
    reportIf(
        !ended && !excused.contains(subjectIndex),
        "FALSE " + node + " holds " + about + " to be away");
    boolean inTouch =
        !ended
            && !subject.paused
            && subject.membership.localStatus(simulator.localTime(subject)).isConnected();
    reportIf(
        inTouch && excused.contains(subjectIndex) && !excusedFromKnowing.contains(subjectIndex),
        "UNKNOWING " + subjectIndex + " holds itself in touch while " + node + " holds it away");
    boolean later =
        simulator.nodes.get(subjectIndex).membership.self().incarnation() > about.incarnation();
    int count = observers.getOrDefault(new ObserverAndSubject(node, about), Set.of()).size();
    reportIf(
        count < 2 && !later,
        "ALONE " + node + " cut " + about + " on " + count + " observers' word");
    reportIf(
        faultyDeclarations.merge(new ObserverAndSubject(node, about), 1, Integer::sum) > 1,
        "FLAP " + node + " cut " + about + " again");
  }

  private void reportIf(boolean violated, String description) {
    if (violated && violations.size() < 50) {
      violations.add(simulator.now().toMillis() + " ms " + description);
    }
  }

  boolean hasViolation(String kind) {
    return violations.stream().anyMatch(b -> b.contains(" ms " + kind));
  }
}
