package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Explores all that can happen to three members within budgets, from one event to the next: each
 * message may come, be lost, or come again late; at each timer one may be stopped, killed and begun
 * anew with an earlier birth, or ways cut for a while. Times are kept relative to now, so that
 * equal futures are explored once. Draws are left out: with three, all others are asked anyhow.
 */
final class MembershipModelChecker {

  /** What may go wrong: messages lost, doubled late, and one each of these, at any moment. */
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

  /** Which directed ways are cut, as bits of from * 3 + to; who may be held away by it. */
  enum Partition {
    ONE_PAIR(0b000_000_010, -1),
    INTO_ONE(0b000_100_100, 2),
    OUT_OF_ONE(0b011_000_000, 2);

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

  record Exploration(int states, List<String> violations, int faultyCount) {}

  private record MessageInFlight(
      int from, int to, long arrivesNanos, Message message, boolean queuedAtPaused) {}

  private static final class State {
    final Membership[] members = new Membership[3];
    final long[] pausedUntilNanos = {-1, -1, -1};
    final long[] restartNanos = {-1, -1, -1};
    List<MessageInFlight> inFlight = new ArrayList<>();
    Partition partition;
    long partitionUntilNanos = -1;
    FaultBudget budget;
    long nowNanos;

    /** Who may be held away from some moment on, as bits. */
    int excused;

    State copy(int changed) {
      State copy = new State();
      for (int i = 0; i < 3; i++) {
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

    /** A message with its number told from the last that whoever asked gave out. */
    private List<Object> messageKey(MessageInFlight flight) {
      Message message = flight.message;
      int requester =
          switch (message.kind()) {
            case PROBE, PROBE_FOR -> flight.from;
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
      for (int i = 0; i < 3; i++) {
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

  private final MembershipSettings told;
  private final List<Partition> partitions;
  private final long pauseNanos;

  /** What a seeded defect makes of a message before its machine is told. */
  private final BiFunction<Membership, Message, Message> defect;

  private final List<String> violations = new ArrayList<>();
  private int faultyCount;

  MembershipModelChecker(MembershipSettings told, List<Partition> partitions) {
    this(told, partitions, PAUSE_NANOS, (machine, message) -> message);
  }

  MembershipModelChecker(
      MembershipSettings told,
      List<Partition> partitions,
      long pauseNanos,
      BiFunction<Membership, Message, Message> defect) {
    this.told = told;
    this.partitions = partitions;
    this.pauseNanos = pauseNanos;
    this.defect = defect;
  }

  /** Until no new state is left, more are found than told, or a rule is broken. */
  Exploration explore(FaultBudget budget, int maxStates) {
    State initial = first(budget);
    Set<Object> visited = new HashSet<>(Set.of(initial.stateKey()));
    ArrayDeque<State> open = new ArrayDeque<>(List.of(initial));
    while (!open.isEmpty() && violations.isEmpty()) {
      State state = open.poll();
      for (State successor : successors(state)) {
        if (visited.add(successor.stateKey())) {
          open.add(successor);
          if (visited.size() % 256 == 0 && !heals(successor)) {
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

  /** All joined, with nothing to tell; then a while, for the way in to be behind them. */
  private State first(FaultBudget budget) {
    State state = new State();
    state.budget = new FaultBudget(0, 0, 0, 0, 0);
    for (int i = 0; i < 3; i++) {
      state.nowNanos = (1 + 37L * i) * NANOS_PER_MILLI;
      state.members[i] = newMember(i, 1_000, state.nowNanos);
      for (int other = 0; other < 3; other++) {
        if (other != i) {
          Member start = new Member(address(other), 1_000);
          state.members[i].onMessage(
              new Message(Message.Kind.WELCOME, start, 1_000, 1, start, List.of()),
              Duration.ofNanos(state.nowNanos));
        }
      }
      state.members[i].clearPending();
    }
    long until = state.nowNanos + 10 * PERIOD_NANOS;
    while (state.nowNanos < until) {
      state = successors(state).get(0);
    }
    state.budget = budget;
    return state;
  }

  private Membership newMember(int index, long incarnation, long now) {
    List<Address> seeds =
        incarnation == 1_000
            ? List.of()
            : List.of(address((index + 1) % 3), address((index + 2) % 3));
    return new Membership(
        told,
        new Member(address(index), incarnation),
        seeds,
        Duration.ofNanos(now),
        new DeterministicRandom(0),
        REQUEST_ID_LIMIT);
  }

  private static Address address(int index) {
    return new Address("m" + index, 7_000);
  }

  /** The first thing that happens next, in every way in which it may. */
  private List<State> successors(State state) {
    long atNanos = Long.MAX_VALUE;
    int timerIndex = -1;
    for (int i = 0; i < 3; i++) {
      long due = nextDueNanos(state, i);
      if (due < atNanos) {
        atNanos = due;
        timerIndex = i;
      }
    }
    MessageInFlight initial = null;
    for (MessageInFlight flight : state.inFlight) {
      if (!flight.queuedAtPaused
          && flight.arrivesNanos <= atNanos
          && (initial == null || flight.arrivesNanos < initial.arrivesNanos)) {
        initial = flight;
      }
    }
    if (state.partitionUntilNanos >= 0
        && state.partitionUntilNanos <= (initial == null ? atNanos : initial.arrivesNanos)) {
      State healed = state.copy(-1);
      healed.nowNanos = Math.max(state.nowNanos, state.partitionUntilNanos);
      healed.partition = null;
      healed.partitionUntilNanos = -1;
      return List.of(healed);
    }
    return initial != null
        ? arrivalSuccessors(state, initial)
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
    State delivered = state.copy(-1);
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
    successors.add(told(delivered, flight));
    if (state.budget.losses > 0) {
      State lost = delivered.copy(-1);
      lost.budget = lost.budget.minus(1, 0, 0, 0, 0);
      successors.add(lost);
    }
    if (state.budget.duplicates > 0) {
      State duplicated = told(delivered, flight);
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

  private State told(State state, MessageInFlight flight) {
    State successor = state.copy(flight.to);
    long incarnation = knownIncarnation(successor, flight.to, flight.message.from().address());
    Membership machine = successor.members[flight.to];
    boolean forOtherIncarnation =
        flight.message.targetIncarnation() != 0
            && flight.message.targetIncarnation() != machine.self().incarnation();
    List<Action> actions =
        machine.onMessage(
            defect.apply(machine, flight.message), Duration.ofNanos(successor.nowNanos));
    if (forOtherIncarnation
        && actions.stream()
            .anyMatch(
                action ->
                    action instanceof Action.IncarnationRaised
                        || action instanceof Action.Send send
                            && send.message().kind() == Message.Kind.ACK)) {
      violations.add(
          "what was meant for a former self of " + flight.to + " was taken: " + flight.message);
    }
    apply(successor, flight.to, actions);
    if (knownIncarnation(successor, flight.to, flight.message.from().address()) < incarnation) {
      violations.add("a former self of " + flight.message.from() + " counts at " + flight.to);
    }
    return successor;
  }

  private static long knownIncarnation(State state, int atNanos, Address subjectIndex) {
    return state.members[atNanos].members().keySet().stream()
        .filter(member -> member.address().equals(subjectIndex))
        .mapToLong(Member::incarnation)
        .findFirst()
        .orElse(0);
  }

  private List<State> timerSuccessors(State state, int index, long atNanos) {
    List<State> successors = new ArrayList<>();
    State now = state.copy(-1);
    now.nowNanos = Math.max(state.nowNanos, atNanos);
    if (now.restartNanos[index] >= 0) {
      now.restartNanos[index] = -1;
      now.members[index] = newMember(index, 500, now.nowNanos);
      return List.of(now);
    }
    if (now.pausedUntilNanos[index] >= 0) {
      return List.of(resume(now, index));
    }
    State ticked = now.copy(index);
    apply(ticked, index, ticked.members[index].tick(Duration.ofNanos(ticked.nowNanos)));
    successors.add(ticked);
    successors.addAll(faultSuccessors(now, index));
    return successors;
  }

  private List<State> faultSuccessors(State state, int index) {
    List<State> faults = new ArrayList<>();
    if (state.budget.pauses > 0) {
      State stopped = state.copy(-1);
      stopped.budget = state.budget.minus(0, 0, 1, 0, 0);
      stopped.pausedUntilNanos[index] = state.nowNanos + pauseNanos;
      faults.add(stopped);
    }
    if (state.budget.kills > 0) {
      State killed = state.copy(-1);
      killed.budget = state.budget.minus(0, 0, 0, 1, 0);
      killed.members[index] = null;
      killed.restartNanos[index] = state.nowNanos + DOWNTIME_NANOS;
      faults.add(killed);
    }
    for (Partition partition :
        state.budget.partitions > 0 && state.partition == null
            ? partitions
            : List.<Partition>of()) {
      State partitioned = state.copy(-1);
      partitioned.budget = state.budget.minus(0, 0, 0, 0, 1);
      partitioned.partition = partition;
      partitioned.partitionUntilNanos = state.nowNanos + PARTITION_NANOS;
      partitioned.excused |= partition.excused < 0 ? 0 : 1 << partition.excused;
      faults.add(partitioned);
    }
    return faults;
  }

  /** What waited is read first, as a socket's is; the first word has to be that it was stopped. */
  private State resume(State state, int index) {
    State successor = state.copy(index);
    successor.pausedUntilNanos[index] = -1;
    List<MessageInFlight> queued =
        successor.inFlight.stream().filter(f -> f.queuedAtPaused && f.to == index).toList();
    successor.inFlight.removeAll(queued);
    Duration now = Duration.ofNanos(successor.nowNanos);
    List<Action> actions = new ArrayList<>();
    queued.forEach(
        flight -> actions.addAll(successor.members[index].onMessage(flight.message, now)));
    actions.addAll(successor.members[index].tick(now));
    if (!(actions.get(0) instanceof Action.StatusChanged touch)
        || touch.status().connectivity() != Action.Connectivity.PAUSED) {
      violations.add(index + " did not find out that it was stopped");
    }
    apply(successor, index, actions);
    return successor;
  }

  private void apply(State state, int index, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        int to = send.to().host().charAt(1) - '0';
        state.inFlight.add(
            new MessageInFlight(index, to, state.nowNanos + DELAY_NANOS, send.message(), false));
      } else if (action instanceof Action.StateChanged became
          && became.state() == MemberState.AWAY) {
        onFaulty(state, index, became.member());
      }
    }
  }

  private void onFaulty(State state, int observer, Member about) {
    faultyCount++;
    int subjectIndex = about.address().host().charAt(1) - '0';
    Membership subject = state.members[subjectIndex];
    if (subject == null || !subject.self().equals(about)) {
      return;
    }
    if ((state.excused & 1 << subjectIndex) == 0) {
      violations.add(observer + " holds " + subjectIndex + " away, which lives and can be reached");
    } else if (state.partition != null
        && state.pausedUntilNanos[subjectIndex] < 0
        && subject.localStatus(Duration.ofNanos(state.nowNanos)).isConnected()) {
      violations.add(subjectIndex + " holds itself in touch while " + observer + " holds it away");
    }
  }

  /**
   * Whether, with nothing more going wrong, all hold all to be alive in the end, and themselves in
   * touch.
   */
  private boolean heals(State start) {
    State state = start.copy(-1);
    for (int i = 0; i < 3; i++) {
      state.members[i] = state.members[i] == null ? null : state.members[i].copy();
    }
    state.budget = new FaultBudget(0, 0, 0, 0, 0);
    state.partition = null;
    state.partitionUntilNanos = -1;
    long until = state.nowNanos + 60 * PERIOD_NANOS;
    while (state.nowNanos < until) {
      state = successors(state).get(0);
    }
    for (Membership machine : state.members) {
      if (!machine.localStatus(Duration.ofNanos(state.nowNanos)).isConnected()
          || machine.members().size() != 2
          || !Set.of(MemberState.ALIVE).containsAll(machine.members().values())) {
        return false;
      }
    }
    return true;
  }
}
