package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the invariants of a simulation. Compares the messages delivered to nodes and the actions
 * of nodes with the injected faults. Of a member's state it reads only the local status and the
 * incarnation, as callers of the member do.
 */
final class InvariantChecker implements SimulationObserver {

  /** Condition that has to hold in every simulation. */
  enum Invariant {
    /** The first action of a process after a pause is the report of the pause. */
    PAUSE_IS_NOTICED,
    /** No running and reachable member is declared faulty. */
    NO_FALSE_FAULT,
    /** A member that others declare faulty does not regard itself as connected. */
    ISOLATION_IS_NOTICED,
    /** Messages from and to former incarnations have no effect. */
    FORMER_INCARNATIONS_ARE_IGNORED,
    /** No member is declared faulty on the report of a single observer. */
    SEVERAL_OBSERVERS_AGREE,
    /** No member declares the same incarnation faulty twice in one phase. */
    NO_FLAPPING
  }

  /**
   * Violation of an invariant.
   *
   * @param invariant the violated invariant
   * @param at virtual time of the violation
   * @param description which member violated it, and how
   */
  record Violation(Invariant invariant, Duration at, String description) {}

  /**
   * A member has to notice pauses longer than this. It detects a pause from a quarter of a probe
   * period, which is 250 ms by default.
   */
  private static final Duration NOTICEABLE_PAUSE = Duration.ofMillis(300);

  /** Bound on the stored violations, which keeps the message of a failed test short. */
  private static final int MAX_VIOLATIONS = 50;

  /** Number of observers that have to report a member before it is declared faulty. */
  private static final int MIN_OBSERVERS = 2;

  private record ObserverAndSubject(int observer, Member subject) {}

  private final MembershipSimulator simulator;
  private final Duration toleratedPause;
  private final Map<Address, Integer> indexByAddress = new HashMap<>();
  private final Map<ObserverAndSubject, Set<Address>> reporters = new HashMap<>();
  private final Map<ObserverAndSubject, Integer> faultyDeclarations = new HashMap<>();
  private final Map<Integer, Map<Address, Long>> knownIncarnations = new HashMap<>();

  /** Nodes that may be declared faulty. */
  private final Set<Integer> mayBeFaulty = new HashSet<>();

  private final Set<Integer> mayMissIsolation = new HashSet<>();

  /** Nodes that were paused and have to report it in their next step. */
  private final Set<Integer> mustNoticePause = new HashSet<>();

  /** Message that is being delivered to a node and must have no effect, by node. */
  private final Map<Integer, Message> staleMessages = new HashMap<>();

  final List<Violation> violations = new ArrayList<>();

  /** Number of declarations that a member is faulty, by all nodes. */
  int faultyCount;

  /**
   * Starts to observe a simulation.
   *
   * @param toleratedPause longest pause after which a member must not be declared faulty; does not
   *     depend on the settings of the members, which may contain a seeded defect
   */
  InvariantChecker(MembershipSimulator simulator, Duration toleratedPause) {
    this.simulator = simulator;
    this.toleratedPause = toleratedPause;
    for (int i = 0; i < simulator.nodes.size(); i++) {
      indexByAddress.put(simulator.nodes.get(i).address, i);
    }
    simulator.observers.add(this);
  }

  /**
   * Permits that a member is declared faulty once it has detected its own isolation, because most
   * members cannot reach it.
   */
  void permitFaulty(int index) {
    mayBeFaulty.add(index);
  }

  /**
   * Permits that a member regards itself as connected although others declare it faulty, because no
   * message of these others reaches it.
   */
  void permitUndetectedIsolation(int index) {
    mayMissIsolation.add(index);
  }

  /**
   * Starts a phase after a change of the network, in which a member may be declared faulty again.
   */
  void beginPhase() {
    faultyDeclarations.clear();
  }

  /** Records that a process is about to be paused. */
  void onPause(int index, Duration duration) {
    if (duration.compareTo(NOTICEABLE_PAUSE) > 0) {
      mustNoticePause.add(index);
    }
    if (duration.compareTo(toleratedPause) > 0) {
      permitFaulty(index);
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
          "member " + node + " continued after a pause without reporting it");
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
            "member " + node + " raised its incarnation because of a message for a former one");
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
        "member " + node + " answered a message from or to a former incarnation: " + staleMessage);
  }

  private void onStateChanged(int node, Action.StateChanged change) {
    Member member = change.member();
    long known = knownIncarnations(node).merge(member.address(), member.incarnation(), Math::max);
    reportIf(
        known > member.incarnation() && change.state().compareTo(MemberState.FAULTY) < 0,
        Invariant.FORMER_INCARNATIONS_ARE_IGNORED,
        "member " + node + " regards the former incarnation " + member + " as " + change.state());
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
        !ended && !mayBeFaulty.contains(subjectIndex),
        Invariant.NO_FALSE_FAULT,
        "member " + node + " declared " + member + " faulty, which is alive and reachable");
    boolean regardsItselfAsConnected =
        !ended && !subject.paused && simulator.localStatus(subjectIndex).isConnected();
    reportIf(
        regardsItselfAsConnected
            && mayBeFaulty.contains(subjectIndex)
            && !mayMissIsolation.contains(subjectIndex),
        Invariant.ISOLATION_IS_NOTICED,
        "member " + subjectIndex + " is connected while " + node + " declares it faulty");
    ObserverAndSubject key = new ObserverAndSubject(node, member);
    int observers = reporters.getOrDefault(key, Set.of()).size();
    boolean replaced = subjectIncarnation > member.incarnation();
    reportIf(
        observers < MIN_OBSERVERS && !replaced,
        Invariant.SEVERAL_OBSERVERS_AGREE,
        "member "
            + node
            + " declared "
            + member
            + " faulty, reported by "
            + observers
            + " observers, expected at least "
            + MIN_OBSERVERS);
    reportIf(
        faultyDeclarations.merge(key, 1, Integer::sum) > 1,
        Invariant.NO_FLAPPING,
        "member " + node + " declared " + member + " faulty again in the same phase");
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
