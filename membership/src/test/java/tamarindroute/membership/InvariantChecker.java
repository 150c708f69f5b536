package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the invariants of a simulation by what is delivered to nodes and by their actions,
 * compared to the faults injected. Reads no state of a member but its local status.
 */
final class InvariantChecker implements SimulationObserver {

  /** What has to hold in every simulation. */
  enum Invariant {
    /** A paused process notices its pause before anything else. */
    PAUSE_IS_NOTICED,
    /** No member is declared faulty that runs and can be reached. */
    NO_FALSE_FAULT,
    /** A member that others declare faulty does not regard itself as connected. */
    ISOLATION_IS_NOTICED,
    /** Messages of and for former incarnations have no effect. */
    FORMER_INCARNATIONS_ARE_IGNORED,
    /** No member is declared faulty on the report of a single observer. */
    SEVERAL_OBSERVERS_AGREE,
    /** No member declares the same incarnation faulty twice in one phase. */
    NO_FLAPPING
  }

  /**
   * One violation.
   *
   * @param invariant what was violated
   * @param at virtual time
   * @param description by whom and how
   */
  record Violation(Invariant invariant, Duration at, String description) {}

  /** Longer pauses have to be noticed; the detection's own bound is a quarter of a period. */
  private static final Duration NOTICEABLE_PAUSE = Duration.ofMillis(300);

  private static final int MAX_VIOLATIONS = 50;
  private static final int MIN_OBSERVERS = 2;

  private record ObserverAndSubject(int observer, Member subject) {}

  private final MembershipSimulator simulator;
  private final Duration toleratedPause;
  private final Map<Address, Integer> indexByAddress = new HashMap<>();
  private final Map<ObserverAndSubject, Set<Address>> reporters = new HashMap<>();
  private final Map<ObserverAndSubject, Integer> faultyDeclarations = new HashMap<>();
  private final Map<Integer, Map<Address, Long>> knownIncarnations = new HashMap<>();
  private final Set<Integer> excused = new HashSet<>();
  private final Set<Integer> excusedFromKnowing = new HashSet<>();
  private final Set<Integer> mustNoticePause = new HashSet<>();

  /** Message of the current delivery by node if it must have no effect there. */
  private final Map<Integer, Message> staleMessages = new HashMap<>();

  final List<Violation> violations = new ArrayList<>();
  int faultyCount;

  /**
   * Starts to observe a simulation.
   *
   * @param toleratedPause the longest pause without consequences, whatever the members' settings
   */
  InvariantChecker(MembershipSimulator simulator, Duration toleratedPause) {
    this.simulator = simulator;
    this.toleratedPause = toleratedPause;
    for (int i = 0; i < simulator.nodes.size(); i++) {
      indexByAddress.put(simulator.nodes.get(i).address, i);
    }
    simulator.observers.add(this);
  }

  /** Most members can't reach this one; it may be declared faulty once it knows its isolation. */
  void excuse(int index) {
    excused.add(index);
  }

  /** This member can't know its isolation: nothing of those that declare it faulty reaches it. */
  void excuseFromKnowing(int index) {
    excusedFromKnowing.add(index);
  }

  /** The network changes: a member declared faulty before may be so again. */
  void beginPhase() {
    faultyDeclarations.clear();
  }

  void onPause(int index, Duration duration) {
    if (duration.compareTo(NOTICEABLE_PAUSE) > 0) {
      mustNoticePause.add(index);
    }
    if (duration.compareTo(toleratedPause) > 0) {
      excuse(index);
    }
  }

  @Override
  public void onDelivery(int node, Message message) {
    for (MembershipUpdate update : message.updates()) {
      if (update.state() == MemberState.SUSPECT || update.state() == MemberState.FAULTY) {
        addReporter(node, update);
      }
    }
    Member sender = message.from();
    Map<Address, Long> known = knownIncarnations(node);
    boolean fromFormerIncarnation = sender.incarnation() < known.getOrDefault(sender.address(), 0L);
    boolean forOtherIncarnation =
        message.targetIncarnation() != 0
            && message.targetIncarnation()
                != simulator.nodes.get(node).membership.self().incarnation();
    if (fromFormerIncarnation || forOtherIncarnation) {
      staleMessages.put(node, message);
    } else {
      staleMessages.remove(node);
      known.merge(sender.address(), sender.incarnation(), Math::max);
    }
  }

  private void addReporter(int node, MembershipUpdate update) {
    reporters
        .computeIfAbsent(new ObserverAndSubject(node, update.member()), key -> new HashSet<>())
        .add(update.observer());
  }

  private Map<Address, Long> knownIncarnations(int node) {
    return knownIncarnations.computeIfAbsent(node, key -> new HashMap<>());
  }

  @Override
  public void onActions(int node, List<Action> actions) {
    Message staleMessage = staleMessages.remove(node);
    if (!simulator.nodes.get(node).paused && mustNoticePause.remove(node)) {
      reportIf(
          !isPauseReport(actions.get(0)),
          Invariant.PAUSE_IS_NOTICED,
          node + " went on without noticing its pause");
    }
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        onSend(node, send, staleMessage);
      } else if (action instanceof Action.StateChanged change) {
        onStateChanged(node, change);
      } else if (action instanceof Action.IncarnationRaised) {
        reportIf(
            staleMessage != null,
            Invariant.FORMER_INCARNATIONS_ARE_IGNORED,
            node + " raised its incarnation because of a message for a former one");
      }
    }
  }

  private static boolean isPauseReport(Action action) {
    return action instanceof Action.StatusChanged change
        && change.status().connectivity() == Connectivity.PAUSED;
  }

  private void onSend(int node, Action.Send send, Message staleMessage) {
    Message message = send.message();
    for (MembershipUpdate update : message.updates()) {
      if (update.observer().equals(simulator.nodes.get(node).address)) {
        addReporter(node, update);
      }
    }
    reportIf(
        staleMessage != null
            && message.kind() != Message.Kind.SUPERSEDED
            && message.kind() != Message.Kind.GOSSIP
            && send.to().equals(staleMessage.from().address())
            && message.requestId() == staleMessage.requestId(),
        Invariant.FORMER_INCARNATIONS_ARE_IGNORED,
        node + " answered " + staleMessage);
  }

  private void onStateChanged(int node, Action.StateChanged change) {
    Member member = change.member();
    long known = knownIncarnations(node).merge(member.address(), member.incarnation(), Math::max);
    reportIf(
        known > member.incarnation() && change.state().compareTo(MemberState.FAULTY) < 0,
        Invariant.FORMER_INCARNATIONS_ARE_IGNORED,
        node + " regards the former incarnation " + member + " as " + change.state());
    if (change.state() == MemberState.FAULTY) {
      faultyCount++;
      onDeclaredFaulty(node, member);
    }
  }

  private void onDeclaredFaulty(int node, Member member) {
    int subjectIndex = indexByAddress.get(member.address());
    MembershipSimulator.Node subject = simulator.nodes.get(subjectIndex);
    long subjectIncarnation = subject.membership.self().incarnation();
    boolean ended = subject.killed || subjectIncarnation != member.incarnation();
    reportIf(
        !ended && !excused.contains(subjectIndex),
        Invariant.NO_FALSE_FAULT,
        node + " declared " + member + " faulty");
    boolean regardsItselfAsConnected =
        !ended && !subject.paused && simulator.localStatus(subjectIndex).isConnected();
    reportIf(
        regardsItselfAsConnected
            && excused.contains(subjectIndex)
            && !excusedFromKnowing.contains(subjectIndex),
        Invariant.ISOLATION_IS_NOTICED,
        subjectIndex + " regards itself as connected while " + node + " declares it faulty");
    ObserverAndSubject key = new ObserverAndSubject(node, member);
    int observers = reporters.getOrDefault(key, Set.of()).size();
    boolean replaced = subjectIncarnation > member.incarnation();
    reportIf(
        observers < MIN_OBSERVERS && !replaced,
        Invariant.SEVERAL_OBSERVERS_AGREE,
        node + " declared " + member + " faulty on " + observers + " observers' reports");
    reportIf(
        faultyDeclarations.merge(key, 1, Integer::sum) > 1,
        Invariant.NO_FLAPPING,
        node + " declared " + member + " faulty again");
  }

  private void reportIf(boolean violated, Invariant invariant, String description) {
    if (violated && violations.size() < MAX_VIOLATIONS) {
      violations.add(new Violation(invariant, simulator.now(), description));
    }
  }

  boolean hasViolation(Invariant invariant) {
    return violations.stream().anyMatch(violation -> violation.invariant() == invariant);
  }
}
