package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

/**
 * Computes all states that can follow a state of the model, and checks the invariants of each
 * transition.
 */
final class ModelTransitions {

  static final long FIRST_INCARNATION = 1_000;
  static final long NANOS_PER_MILLI = 1_000_000;
  private static final long EARLIER_INCARNATION = 500;
  private static final long PERIOD_NANOS = MembershipModelChecker.PERIOD_NANOS;
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

  ModelTransitions(
      MembershipSettings settings,
      List<Partition> partitions,
      long pauseNanos,
      BiFunction<Membership, Message, Message> defect) {
    this.settings = settings;
    this.partitions = partitions;
    this.pauseNanos = pauseNanos;
    this.defect = defect;
  }

  /** Violations found so far; may be added to. */
  List<String> violations() {
    return violations;
  }

  /** How often a member was declared faulty so far. */
  int faultyCount() {
    return faultyCount;
  }

  /** Starts a member; one with an earlier incarnation than the first has to join again. */
  Membership newMember(int index, long incarnation, long nowNanos) {
    List<Address> seeds =
        incarnation == FIRST_INCARNATION
            ? List.of()
            : List.of(
                address((index + 1) % ModelState.MEMBERS),
                address((index + 2) % ModelState.MEMBERS));
    return new Membership(
        settings,
        new Member(address(index), incarnation),
        seeds,
        Duration.ofNanos(nowNanos),
        new DeterministicRandom(DeterministicRandom.ZERO_SEED),
        REQUEST_ID_LIMIT);
  }

  static Address address(int index) {
    return new Address("m" + index, 7_000);
  }

  private static int indexOf(Address address) {
    return address.host().charAt(1) - '0';
  }

  /** All states after the next event. */
  List<ModelState> successors(ModelState state) {
    long atNanos = Long.MAX_VALUE;
    int timerIndex = -1;
    for (int i = 0; i < ModelState.MEMBERS; i++) {
      long due = nextDueNanos(state, i);
      if (due < atNanos) {
        atNanos = due;
        timerIndex = i;
      }
    }
    MessageInFlight next = null;
    for (MessageInFlight flight : state.inFlight) {
      if (!flight.queuedAtPaused()
          && flight.arrivesNanos() <= atNanos
          && (next == null || flight.arrivesNanos() < next.arrivesNanos())) {
        next = flight;
      }
    }
    if (state.partitionUntilNanos >= 0
        && state.partitionUntilNanos <= (next == null ? atNanos : next.arrivesNanos())) {
      ModelState healed = state.copy(ModelState.UNCHANGED);
      healed.nowNanos = Math.max(state.nowNanos, state.partitionUntilNanos);
      healed.partition = null;
      healed.partitionUntilNanos = -1;
      return List.of(healed);
    }
    return next != null
        ? arrivalSuccessors(state, next)
        : timerSuccessors(state, timerIndex, atNanos);
  }

  private static long nextDueNanos(ModelState state, int index) {
    if (state.restartNanos[index] >= 0) {
      return state.restartNanos[index];
    }
    if (state.pausedUntilNanos[index] >= 0) {
      return state.pausedUntilNanos[index];
    }
    return state.nowNanos
        + state.members[index].untilNextTick(Duration.ofNanos(state.nowNanos)).toNanos();
  }

  private List<ModelState> arrivalSuccessors(ModelState state, MessageInFlight flight) {
    List<ModelState> successors = new ArrayList<>();
    ModelState delivered = state.copy(ModelState.UNCHANGED);
    delivered.nowNanos = Math.max(state.nowNanos, flight.arrivesNanos());
    delivered.inFlight.remove(flight);
    boolean cut = state.partition != null && state.partition.isCut(flight.from(), flight.to());
    if (cut || state.members[flight.to()] == null) {
      return List.of(delivered);
    }
    if (state.pausedUntilNanos[flight.to()] >= 0) {
      delivered.inFlight.add(
          new MessageInFlight(flight.from(), flight.to(), 0, flight.message(), true));
      return List.of(delivered);
    }
    successors.add(deliver(delivered, flight));
    if (state.budget.losses() > 0) {
      ModelState lost = delivered.copy(ModelState.UNCHANGED);
      lost.budget = lost.budget.minus(1, 0, 0, 0, 0);
      successors.add(lost);
    }
    if (state.budget.duplicates() > 0) {
      ModelState duplicated = deliver(delivered, flight);
      duplicated.budget = duplicated.budget.minus(0, 1, 0, 0, 0);
      duplicated.inFlight.add(
          new MessageInFlight(
              flight.from(),
              flight.to(),
              delivered.nowNanos + DUPLICATE_DELAY_NANOS,
              flight.message(),
              false));
      successors.add(duplicated);
    }
    return successors;
  }

  private ModelState deliver(ModelState state, MessageInFlight flight) {
    ModelState successor = state.copy(flight.to());
    long incarnation = knownIncarnation(successor, flight.to(), flight.message().from().address());
    Membership member = successor.members[flight.to()];
    boolean forOtherIncarnation =
        flight.message().targetIncarnation() != 0
            && flight.message().targetIncarnation() != member.self().incarnation();
    List<Action> actions =
        member.onMessage(
            defect.apply(member, flight.message()), Duration.ofNanos(successor.nowNanos));
    if (forOtherIncarnation && actions.stream().anyMatch(ModelTransitions::isAcceptance)) {
      violations.add(
          "message for a former incarnation of "
              + flight.to()
              + " was accepted: "
              + flight.message());
    }
    apply(successor, flight.to(), actions);
    if (knownIncarnation(successor, flight.to(), flight.message().from().address()) < incarnation) {
      violations.add(flight.to() + " accepts the former incarnation " + flight.message().from());
    }
    return successor;
  }

  private static boolean isAcceptance(Action action) {
    if (action instanceof Action.Send send) {
      return send.message().kind() == Message.Kind.ACK;
    }
    return action instanceof Action.IncarnationRaised;
  }

  private static long knownIncarnation(ModelState state, int observer, Address subject) {
    return state.members[observer].members().keySet().stream()
        .filter(member -> member.address().equals(subject))
        .mapToLong(Member::incarnation)
        .findFirst()
        .orElse(0);
  }

  private List<ModelState> timerSuccessors(ModelState state, int index, long atNanos) {
    List<ModelState> successors = new ArrayList<>();
    ModelState due = state.copy(ModelState.UNCHANGED);
    due.nowNanos = Math.max(state.nowNanos, atNanos);
    if (due.restartNanos[index] >= 0) {
      due.restartNanos[index] = -1;
      due.members[index] = newMember(index, EARLIER_INCARNATION, due.nowNanos);
      return List.of(due);
    }
    if (due.pausedUntilNanos[index] >= 0) {
      return List.of(resume(due, index));
    }
    ModelState ticked = due.copy(index);
    apply(ticked, index, ticked.members[index].tick(Duration.ofNanos(ticked.nowNanos)));
    successors.add(ticked);
    successors.addAll(faultSuccessors(due, index));
    return successors;
  }

  private List<ModelState> faultSuccessors(ModelState state, int index) {
    List<ModelState> faults = new ArrayList<>();
    if (state.budget.pauses() > 0) {
      ModelState paused = state.copy(ModelState.UNCHANGED);
      paused.budget = state.budget.minus(0, 0, 1, 0, 0);
      paused.pausedUntilNanos[index] = state.nowNanos + pauseNanos;
      faults.add(paused);
    }
    if (state.budget.kills() > 0) {
      ModelState killed = state.copy(ModelState.UNCHANGED);
      killed.budget = state.budget.minus(0, 0, 0, 1, 0);
      killed.members[index] = null;
      killed.restartNanos[index] = state.nowNanos + DOWNTIME_NANOS;
      faults.add(killed);
    }
    for (Partition partition :
        state.budget.partitions() > 0 && state.partition == null
            ? partitions
            : List.<Partition>of()) {
      ModelState partitioned = state.copy(ModelState.UNCHANGED);
      partitioned.budget = state.budget.minus(0, 0, 0, 0, 1);
      partitioned.partition = partition;
      partitioned.partitionUntilNanos = state.nowNanos + PARTITION_NANOS;
      partitioned.excused |= partition.excused < 0 ? 0 : 1 << partition.excused;
      faults.add(partitioned);
    }
    return faults;
  }

  /** Delivers what has queued up; the first action has to be the report of the pause. */
  private ModelState resume(ModelState state, int index) {
    ModelState successor = state.copy(index);
    successor.pausedUntilNanos[index] = -1;
    List<MessageInFlight> queued =
        successor.inFlight.stream()
            .filter(flight -> flight.queuedAtPaused() && flight.to() == index)
            .toList();
    successor.inFlight.removeAll(queued);
    Duration now = Duration.ofNanos(successor.nowNanos);
    List<Action> actions = new ArrayList<>();
    queued.forEach(
        flight -> actions.addAll(successor.members[index].onMessage(flight.message(), now)));
    actions.addAll(successor.members[index].tick(now));
    if (!(actions.get(0) instanceof Action.StatusChanged change)
        || change.status().connectivity() != Connectivity.PAUSED) {
      violations.add(index + " did not notice its pause");
    }
    apply(successor, index, actions);
    return successor;
  }

  private void apply(ModelState state, int index, List<Action> actions) {
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

  private void onFaulty(ModelState state, int observer, Member declared) {
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
}
