package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Explores all behaviours of three members within a budget of faults, from event to event. Each
 * message may arrive, be lost, or arrive a second time later; at each timer a member may be paused
 * or killed and restarted with an earlier incarnation, or links may be cut for a while.
 *
 * <p>States are compared by keys with times relative to now, so that equal futures are explored
 * once. Random choices are left out: with three members all others are asked anyway.
 */
final class MembershipModelChecker {

  /**
   * Result of an exploration.
   *
   * @param states number of distinct states
   * @param violations descriptions of violated invariants
   * @param faultyCount how often a member was declared faulty
   */
  record Exploration(int states, List<String> violations, int faultyCount) {}

  /** Of this many states one is checked for healing, which takes long. */
  private static final int HEALING_CHECK_INTERVAL = 256;

  private static final int HEALING_PERIODS = 60;
  private static final int SETTLING_PERIODS = 10;
  static final MembershipSettings SMALL =
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
  static final long PERIOD_NANOS = SMALL.probePeriod().toNanos();
  static final long PAUSE_NANOS = SMALL.toleratedPause().toNanos();
  private final ModelTransitions transitions;

  MembershipModelChecker(MembershipSettings settings, List<Partition> partitions) {
    this(settings, partitions, PAUSE_NANOS, (member, message) -> message);
  }

  MembershipModelChecker(
      MembershipSettings settings,
      List<Partition> partitions,
      long pauseNanos,
      BiFunction<Membership, Message, Message> defect) {
    transitions = new ModelTransitions(settings, partitions, pauseNanos, defect);
  }

  /** Explores until all states are visited, there are too many, or an invariant is violated. */
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
          if (visited.size() % HEALING_CHECK_INTERVAL == 0 && !heals(successor)) {
            violations.add("does not heal");
          }
        }
      }
      if (visited.size() > maxStates) {
        violations.add("more than " + maxStates + " states");
      }
    }
    return new Exploration(visited.size(), violations, transitions.faultyCount());
  }

  /** All members joined, with nothing queued, some periods after that. */
  private ModelState initialState(FaultBudget budget) {
    ModelState state = new ModelState();
    state.budget = FaultBudget.NONE;
    for (int i = 0; i < ModelState.MEMBERS; i++) {
      state.nowNanos = (1 + 37L * i) * ModelTransitions.NANOS_PER_MILLI;
      state.members[i] =
          transitions.newMember(i, ModelTransitions.FIRST_INCARNATION, state.nowNanos);
      for (int other = 0; other < ModelState.MEMBERS; other++) {
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
    long until = state.nowNanos + SETTLING_PERIODS * PERIOD_NANOS;
    while (state.nowNanos < until) {
      state = transitions.successors(state).get(0);
    }
    state.budget = budget;
    return state;
  }

  /** Whether without further faults all members end up alive to each other and connected. */
  private boolean heals(ModelState start) {
    ModelState state = start.copy(ModelState.UNCHANGED);
    for (int i = 0; i < ModelState.MEMBERS; i++) {
      state.members[i] = state.members[i] == null ? null : state.members[i].copy();
    }
    state.budget = FaultBudget.NONE;
    state.partition = null;
    state.partitionUntilNanos = -1;
    long until = state.nowNanos + HEALING_PERIODS * PERIOD_NANOS;
    while (state.nowNanos < until) {
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
