package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Explicit-state model checker: explores all behaviours of three members within a budget of faults,
 * breadth first. Each message may arrive, be lost, or arrive a second time later. At each timer, a
 * member may be paused, a member may be killed and later restarted with an earlier incarnation, or
 * links may be cut for a while.
 *
 * <p>States are compared by keys whose times are relative to now, so that states with equal future
 * behaviour are explored once. Random choices always take the first alternative, because with three
 * members both other members are selected anyway.
 */
final class MembershipModelChecker {

  /**
   * Result of an exploration.
   *
   * @param states number of distinct states reached
   * @param violations descriptions of the violated invariants
   * @param faultyCount number of times that a member was declared faulty
   */
  record Exploration(int states, List<String> violations, int faultyCount) {}

  /** One state out of this number is checked for recovery, because the check is slow. */
  private static final int RECOVERY_CHECK_INTERVAL = 256;

  /** Time without faults after which all members have to be connected again. */
  private static final int RECOVERY_PERIODS = 60;

  /** Time from the admission of all members to the initial state. */
  private static final int SETTLING_PERIODS = 10;

  /** Settings of a group so small that its states can be enumerated. */
  static final MembershipSettings SMALL_SETTINGS =
      new MembershipSettings(
          Duration.ofMillis(1_000),
          Duration.ofMillis(100),
          Duration.ofMillis(2_000),
          2,
          5,
          2,
          5,
          8,
          1_000_000,
          8,
          MembershipSettings.Guards.ALL);

  static final long PERIOD_NANOS = SMALL_SETTINGS.probePeriod().toNanos();
  static final long PAUSE_NANOS = SMALL_SETTINGS.toleratedPause().toNanos();
  private final ModelTransitions transitions;

  /** Creates a checker of members without a defect, with pauses of the tolerated length. */
  MembershipModelChecker(MembershipSettings settings, List<Partition> partitions) {
    this(settings, partitions, PAUSE_NANOS, (member, message) -> message);
  }

  /**
   * Creates a checker.
   *
   * @param partitions partitions that may occur
   * @param pauseNanos length of each pause
   * @param defect function that changes each message before the given member handles it
   */
  MembershipModelChecker(
      MembershipSettings settings,
      List<Partition> partitions,
      long pauseNanos,
      BiFunction<Membership, Message, Message> defect) {
    transitions = new ModelTransitions(settings, partitions, pauseNanos, defect);
  }

  /**
   * Explores until all states are visited or an invariant is violated. More states than the maximum
   * count as a violation.
   */
  Exploration explore(FaultBudget budget, int maxStates) {
    ModelState initial = initialState(budget);
    List<String> violations = transitions.violations();
    Set<Object> visited = new HashSet<>(Set.of(initial.stateKey()));
    ArrayDeque<ModelState> open = new ArrayDeque<>(List.of(initial));
    while (!open.isEmpty() && violations.isEmpty()) {
      ModelState state = open.poll();
      for (ModelState successor : transitions.successors(state)) {
        if (visited.add(successor.stateKey())) {
          open.add(successor);
          if (visited.size() % RECOVERY_CHECK_INTERVAL == 0 && !recovers(successor)) {
            violations.add(
                "members do not all become alive and connected within "
                    + RECOVERY_PERIODS
                    + " periods after the last fault");
          }
        }
      }
      if (visited.size() > maxStates) {
        violations.add("explored " + visited.size() + " states, more than the limit " + maxStates);
      }
    }
    return new Exploration(visited.size(), violations, transitions.faultyCount());
  }

  /** Returns a state in which all members joined some periods ago and have no queued updates. */
  private ModelState initialState(FaultBudget budget) {
    ModelState state = new ModelState();
    state.budget = FaultBudget.NONE;
    for (int i = 0; i < ModelState.MEMBER_COUNT; i++) {
      state.nowNanos = (1 + 37L * i) * ModelTransitions.NANOS_PER_MILLI;
      state.members[i] =
          transitions.newMember(i, ModelTransitions.FIRST_INCARNATION, state.nowNanos);
      for (int other = 0; other < ModelState.MEMBER_COUNT; other++) {
        if (other != i) {
          Member from =
              new Member(ModelTransitions.address(other), ModelTransitions.FIRST_INCARNATION);
          state.members[i].onMessage(
              new Message(
                  Message.Kind.WELCOME,
                  from,
                  ModelTransitions.FIRST_INCARNATION,
                  1,
                  from,
                  List.of()),
              Duration.ofNanos(state.nowNanos));
        }
      }
      state.members[i].clearPending();
    }
    long endNanos = state.nowNanos + SETTLING_PERIODS * PERIOD_NANOS;
    while (state.nowNanos < endNanos) {
      state = transitions.successors(state).get(0);
    }
    state.budget = budget;
    return state;
  }

  /** Whether without further faults all members become connected and regard each other as alive. */
  private boolean recovers(ModelState start) {
    ModelState state = start.copy(ModelState.UNCHANGED);
    for (int i = 0; i < ModelState.MEMBER_COUNT; i++) {
      state.members[i] = state.members[i] == null ? null : state.members[i].copy();
    }
    state.budget = FaultBudget.NONE;
    state.partition = null;
    state.partitionUntilNanos = ModelState.NONE;
    long endNanos = state.nowNanos + RECOVERY_PERIODS * PERIOD_NANOS;
    while (state.nowNanos < endNanos) {
      state = transitions.successors(state).get(0);
    }
    for (Membership member : state.members) {
      if (!member.localStatus(Duration.ofNanos(state.nowNanos)).isConnected()
          || member.members().size() != 2
          || !Set.of(MemberState.ALIVE).containsAll(member.members().values())) {
        return false;
      }
    }
    return true;
  }
}
