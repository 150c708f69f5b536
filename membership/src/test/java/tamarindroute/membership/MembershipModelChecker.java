package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
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

  /** How many faults of each kind may still be injected. */
  record FaultBudget(int losses, int duplicates, int pauses, int kills, int partitions) {
    FaultBudget minus(int loss, int duplicate, int pause, int kill, int partition) {
      return new FaultBudget(
          losses - loss,
          duplicates - duplicate,
          pauses - pause,
          kills - kill,
          partitions - partition);
    }
  }

  /**
   * Directed links that are cut together, as bits {@code from * 3 + to}, and the member that may be
   * declared faulty because of it, or {@link #NOBODY}.
   */
  enum Partition {
    ONE_LINK(0b000_000_010, Partition.NOBODY),
    INTO_ONE(0b000_100_100, 2),
    OUT_OF_ONE(0b011_000_000, 2);

    private static final int NOBODY = -1;
    private final int links;
    private final int excused;

    Partition(int links, int excused) {
      this.links = links;
      this.excused = excused;
    }

    boolean isCut(int from, int to) {
      return (links & 1 << from * 3 + to) != 0;
    }
  }

  /**
   * Result of an exploration.
   *
   * @param states number of distinct states
   * @param violations descriptions of violated invariants
   * @param faultyCount how often a member was declared faulty
   */
  record Exploration(int states, List<String> violations, int faultyCount) {}

  /**
   * A message under way, or received by a paused process and not read yet.
   *
   * @param queuedAtPaused whether it was received while the process was paused
   */
  private record MessageInFlight(
      int from, int to, long arrivesNanos, Message message, boolean queuedAtPaused) {}

  /** State of the members, the network and the faults; members may be shared between states. */
  private static final class State {
    final Membership[] members = new Membership[MEMBERS];
    final long[] pausedUntilNanos = {-1, -1, -1};
    final long[] restartNanos = {-1, -1, -1};
    List<MessageInFlight> inFlight = new ArrayList<>();
    Partition partition;
    long partitionUntilNanos = -1;
    FaultBudget budget;
    long nowNanos;

    /** Members that may be declared faulty from now on, as bits. */
    int excused;

    /** Copies the state; of the members only the one about to change, by index or -1. */
    State copy(int changed) {
      State copy = new State();
      for (int i = 0; i < MEMBERS; i++) {
        copy.members[i] = i == changed && members[i] != null ? members[i].copy() : members[i];
        copy.pausedUntilNanos[i] = pausedUntilNanos[i];
        copy.restartNanos[i] = restartNanos[i];
      }
      copy.inFlight = new ArrayList<>(inFlight);
      copy.partition = partition;
      copy.partitionUntilNanos = partitionUntilNanos;
      copy.budget = budget;
      copy.nowNanos = nowNanos;
      copy.excused = excused;
      return copy;
    }

    /** The message with its request id relative to the last one of the requester. */
    private List<Object> messageKey(MessageInFlight flight) {
      Message message = flight.message;
      int requester =
          switch (message.kind()) {
            case PROBE, INDIRECT_PROBE -> flight.from;
            case ACK, NACK -> flight.to;
            default -> -1;
          };
      long requestIdAge =
          requester < 0 || members[requester] == null || message.requestId() == 0
              ? message.requestId()
              : members[requester].requestIdAge(message.requestId());
      return List.of(
          message.kind(),
          message.from(),
          message.targetIncarnation(),
          requester < 0 ? -1 : 0,
          requestIdAge,
          message.subject(),
          message.updates());
    }

    Object stateKey() {
      List<Object> key = new ArrayList<>();
      for (int i = 0; i < MEMBERS; i++) {
        key.add(members[i] == null ? "" : members[i].stateKey(Duration.ofNanos(nowNanos)));
        key.add(pausedUntilNanos[i] < 0 ? -1 : pausedUntilNanos[i] - nowNanos);
        key.add(restartNanos[i] < 0 ? -1 : restartNanos[i] - nowNanos);
      }
      inFlight.forEach(
          flight ->
              key.add(
                  List.of(
                      flight.from,
                      flight.to,
                      flight.queuedAtPaused ? 0 : flight.arrivesNanos - nowNanos,
                      messageKey(flight),
                      flight.queuedAtPaused)));
      key.add(
          List.of(
              partition == null ? "" : partition,
              partitionUntilNanos < 0 ? -1 : partitionUntilNanos - nowNanos,
              budget,
              excused));
      return key;
    }
  }

  private static final int MEMBERS = 3;

  /** Argument of {@link State#copy} if no member is about to change. */
  private static final int UNCHANGED = -1;

  private static final long FIRST_INCARNATION = 1_000;
  private static final long EARLIER_INCARNATION = 500;
  private static final FaultBudget NO_FAULTS = new FaultBudget(0, 0, 0, 0, 0);

  /** Of this many states one is checked for healing, which takes long. */
  private static final int HEALING_CHECK_INTERVAL = 256;

  private static final int HEALING_PERIODS = 60;
  private static final int SETTLING_PERIODS = 10;
  private static final long NANOS_PER_MILLI = 1_000_000;
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
  private static final long PARTITION_NANOS = 9 * PERIOD_NANOS;
  private static final long DOWNTIME_NANOS = 2 * PERIOD_NANOS;
  private static final long DELAY_NANOS = 10 * NANOS_PER_MILLI;
  private static final long DUPLICATE_DELAY_NANOS = 3 * PERIOD_NANOS;
  private static final int REQUEST_ID_LIMIT = 6;

  private final MembershipSettings settings;
  private final List<Partition> partitions;
  private final long pauseNanos;

  /** Changes messages before they are handled, to seed a defect. */
  private final BiFunction<Membership, Message, Message> defect;

  private final List<String> violations = new ArrayList<>();
  private int faultyCount;

  MembershipModelChecker(MembershipSettings settings, List<Partition> partitions) {
    this(settings, partitions, PAUSE_NANOS, (member, message) -> message);
  }

  MembershipModelChecker(
      MembershipSettings settings,
      List<Partition> partitions,
      long pauseNanos,
      BiFunction<Membership, Message, Message> defect) {
    this.settings = settings;
    this.partitions = partitions;
    this.pauseNanos = pauseNanos;
    this.defect = defect;
  }

  /** Explores until all states are visited, there are too many, or an invariant is violated. */
  Exploration explore(FaultBudget budget, int maxStates) {
    State initial = initialState(budget);
    Set<Object> visited = new HashSet<>(Set.of(initial.stateKey()));
    ArrayDeque<State> open = new ArrayDeque<>(List.of(initial));
    while (!open.isEmpty() && violations.isEmpty()) {
      State state = open.poll();
      for (State successor : successors(state)) {
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
    return new Exploration(visited.size(), violations, faultyCount);
  }

  /** All members joined, with nothing queued, some periods after that. */
  private State initialState(FaultBudget budget) {
    State state = new State();
    state.budget = NO_FAULTS;
    for (int i = 0; i < MEMBERS; i++) {
      state.nowNanos = (1 + 37L * i) * NANOS_PER_MILLI;
      state.members[i] = newMember(i, FIRST_INCARNATION, state.nowNanos);
      for (int other = 0; other < MEMBERS; other++) {
        if (other != i) {
          Member from = new Member(address(other), FIRST_INCARNATION);
          state.members[i].onMessage(
              new Message(Message.Kind.WELCOME, from, FIRST_INCARNATION, 1, from, List.of()),
              Duration.ofNanos(state.nowNanos));
        }
      }
      state.members[i].clearPending();
    }
    long until = state.nowNanos + SETTLING_PERIODS * PERIOD_NANOS;
    while (state.nowNanos < until) {
      state = successors(state).get(0);
    }
    state.budget = budget;
    return state;
  }

  private Membership newMember(int index, long incarnation, long now) {
    List<Address> seeds =
        incarnation == FIRST_INCARNATION
            ? List.of()
            : List.of(address((index + 1) % 3), address((index + 2) % 3));
    return new Membership(
        settings,
        new Member(address(index), incarnation),
        seeds,
        Duration.ofNanos(now),
        new DeterministicRandom(DeterministicRandom.ZERO_SEED),
        REQUEST_ID_LIMIT);
  }

  private static Address address(int index) {
    return new Address("m" + index, 7_000);
  }

  private static int indexOf(Address address) {
    return address.host().charAt(1) - '0';
  }

  /** All states after the next event. */
  private List<State> successors(State state) {
    long atNanos = Long.MAX_VALUE;
    int timerIndex = -1;
    for (int i = 0; i < MEMBERS; i++) {
      long due = nextDueNanos(state, i);
      if (due < atNanos) {
        atNanos = due;
        timerIndex = i;
      }
    }
    MessageInFlight next = null;
    for (MessageInFlight flight : state.inFlight) {
      if (!flight.queuedAtPaused
          && flight.arrivesNanos <= atNanos
          && (next == null || flight.arrivesNanos < next.arrivesNanos)) {
        next = flight;
      }
    }
    if (state.partitionUntilNanos >= 0
        && state.partitionUntilNanos <= (next == null ? atNanos : next.arrivesNanos)) {
      State healed = state.copy(UNCHANGED);
      healed.nowNanos = Math.max(state.nowNanos, state.partitionUntilNanos);
      healed.partition = null;
      healed.partitionUntilNanos = -1;
      return List.of(healed);
    }
    return next != null
        ? arrivalSuccessors(state, next)
        : timerSuccessors(state, timerIndex, atNanos);
  }

  private static long nextDueNanos(State state, int index) {
    if (state.restartNanos[index] >= 0) {
      return state.restartNanos[index];
    }
    if (state.pausedUntilNanos[index] >= 0) {
      return state.pausedUntilNanos[index];
    }
    return state.nowNanos
        + state.members[index].untilNextTick(Duration.ofNanos(state.nowNanos)).toNanos();
  }

  private List<State> arrivalSuccessors(State state, MessageInFlight flight) {
    List<State> successors = new ArrayList<>();
    State delivered = state.copy(UNCHANGED);
    delivered.nowNanos = Math.max(state.nowNanos, flight.arrivesNanos);
    delivered.inFlight.remove(flight);
    if (state.members[flight.to] == null
        || state.partition != null && state.partition.isCut(flight.from, flight.to)) {
      return List.of(delivered);
    }
    if (state.pausedUntilNanos[flight.to] >= 0) {
      delivered.inFlight.add(new MessageInFlight(flight.from, flight.to, 0, flight.message, true));
      return List.of(delivered);
    }
    successors.add(deliver(delivered, flight));
    if (state.budget.losses > 0) {
      State lost = delivered.copy(UNCHANGED);
      lost.budget = lost.budget.minus(1, 0, 0, 0, 0);
      successors.add(lost);
    }
    if (state.budget.duplicates > 0) {
      State duplicated = deliver(delivered, flight);
      duplicated.budget = duplicated.budget.minus(0, 1, 0, 0, 0);
      duplicated.inFlight.add(
          new MessageInFlight(
              flight.from,
              flight.to,
              delivered.nowNanos + DUPLICATE_DELAY_NANOS,
              flight.message,
              false));
      successors.add(duplicated);
    }
    return successors;
  }

  private State deliver(State state, MessageInFlight flight) {
    State successor = state.copy(flight.to);
    long incarnation = knownIncarnation(successor, flight.to, flight.message.from().address());
    Membership member = successor.members[flight.to];
    boolean forOtherIncarnation =
        flight.message.targetIncarnation() != 0
            && flight.message.targetIncarnation() != member.self().incarnation();
    List<Action> actions =
        member.onMessage(
            defect.apply(member, flight.message), Duration.ofNanos(successor.nowNanos));
    if (forOtherIncarnation
        && actions.stream()
            .anyMatch(
                action ->
                    action instanceof Action.IncarnationRaised
                        || action instanceof Action.Send send
                            && send.message().kind() == Message.Kind.ACK)) {
      violations.add(
          "message for a former incarnation of " + flight.to + " was accepted: " + flight.message);
    }
    apply(successor, flight.to, actions);
    if (knownIncarnation(successor, flight.to, flight.message.from().address()) < incarnation) {
      violations.add(flight.to + " accepts the former incarnation " + flight.message.from());
    }
    return successor;
  }

  private static long knownIncarnation(State state, int observer, Address subject) {
    return state.members[observer].members().keySet().stream()
        .filter(member -> member.address().equals(subject))
        .mapToLong(Member::incarnation)
        .findFirst()
        .orElse(0);
  }

  private List<State> timerSuccessors(State state, int index, long atNanos) {
    List<State> successors = new ArrayList<>();
    State due = state.copy(UNCHANGED);
    due.nowNanos = Math.max(state.nowNanos, atNanos);
    if (due.restartNanos[index] >= 0) {
      due.restartNanos[index] = -1;
      due.members[index] = newMember(index, EARLIER_INCARNATION, due.nowNanos);
      return List.of(due);
    }
    if (due.pausedUntilNanos[index] >= 0) {
      return List.of(resume(due, index));
    }
    State ticked = due.copy(index);
    apply(ticked, index, ticked.members[index].tick(Duration.ofNanos(ticked.nowNanos)));
    successors.add(ticked);
    successors.addAll(faultSuccessors(due, index));
    return successors;
  }

  private List<State> faultSuccessors(State state, int index) {
    List<State> faults = new ArrayList<>();
    if (state.budget.pauses > 0) {
      State paused = state.copy(UNCHANGED);
      paused.budget = state.budget.minus(0, 0, 1, 0, 0);
      paused.pausedUntilNanos[index] = state.nowNanos + pauseNanos;
      faults.add(paused);
    }
    if (state.budget.kills > 0) {
      State killed = state.copy(UNCHANGED);
      killed.budget = state.budget.minus(0, 0, 0, 1, 0);
      killed.members[index] = null;
      killed.restartNanos[index] = state.nowNanos + DOWNTIME_NANOS;
      faults.add(killed);
    }
    for (Partition partition :
        state.budget.partitions > 0 && state.partition == null
            ? partitions
            : List.<Partition>of()) {
      State partitioned = state.copy(UNCHANGED);
      partitioned.budget = state.budget.minus(0, 0, 0, 0, 1);
      partitioned.partition = partition;
      partitioned.partitionUntilNanos = state.nowNanos + PARTITION_NANOS;
      partitioned.excused |= partition.excused < 0 ? 0 : 1 << partition.excused;
      faults.add(partitioned);
    }
    return faults;
  }

  /** Delivers what has queued up; the first action has to be the report of the pause. */
  private State resume(State state, int index) {
    State successor = state.copy(index);
    successor.pausedUntilNanos[index] = -1;
    List<MessageInFlight> queued =
        successor.inFlight.stream()
            .filter(flight -> flight.queuedAtPaused && flight.to == index)
            .toList();
    successor.inFlight.removeAll(queued);
    Duration now = Duration.ofNanos(successor.nowNanos);
    List<Action> actions = new ArrayList<>();
    queued.forEach(
        flight -> actions.addAll(successor.members[index].onMessage(flight.message, now)));
    actions.addAll(successor.members[index].tick(now));
    if (!(actions.get(0) instanceof Action.StatusChanged change)
        || change.status().connectivity() != Connectivity.PAUSED) {
      violations.add(index + " did not notice its pause");
    }
    apply(successor, index, actions);
    return successor;
  }

  private void apply(State state, int index, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        int to = indexOf(send.to());
        state.inFlight.add(
            new MessageInFlight(index, to, state.nowNanos + DELAY_NANOS, send.message(), false));
      } else if (action instanceof Action.StateChanged change
          && change.state() == MemberState.FAULTY) {
        onFaulty(state, index, change.member());
      }
    }
  }

  private void onFaulty(State state, int observer, Member declared) {
    faultyCount++;
    int subjectIndex = indexOf(declared.address());
    Membership subject = state.members[subjectIndex];
    if (subject == null || !subject.self().equals(declared)) {
      return;
    }
    if ((state.excused & 1 << subjectIndex) == 0) {
      violations.add(
          observer + " declared " + subjectIndex + " faulty, which is alive and reachable");
    } else if (state.partition != null
        && state.pausedUntilNanos[subjectIndex] < 0
        && subject.localStatus(Duration.ofNanos(state.nowNanos)).isConnected()) {
      violations.add(
          subjectIndex + " regards itself as connected while " + observer + " declares it faulty");
    }
  }

  /** Whether without further faults all members end up alive to each other and connected. */
  private boolean heals(State start) {
    State state = start.copy(UNCHANGED);
    for (int i = 0; i < MEMBERS; i++) {
      state.members[i] = state.members[i] == null ? null : state.members[i].copy();
    }
    state.budget = NO_FAULTS;
    state.partition = null;
    state.partitionUntilNanos = -1;
    long until = state.nowNanos + HEALING_PERIODS * PERIOD_NANOS;
    while (state.nowNanos < until) {
      state = successors(state).get(0);
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
