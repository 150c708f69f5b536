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

  /** Incarnation of a restarted member, as after a restart with a clock that was set back. */
  private static final long EARLIER_INCARNATION = 500;

  private static final long PERIOD_NANOS = MembershipModelChecker.PERIOD_NANOS;
  private static final long PARTITION_NANOS = 9 * PERIOD_NANOS;
  private static final long DOWNTIME_NANOS = 2 * PERIOD_NANOS;
  private static final long MESSAGE_DELAY_NANOS = 10 * NANOS_PER_MILLI;
  private static final long DUPLICATE_DELAY_NANOS = 3 * PERIOD_NANOS;

  /** Small, so that request ids repeat soon and the number of states stays bounded. */
  private static final int REQUEST_ID_LIMIT = 6;

  private final MembershipSettings settings;
  private final List<Partition> partitions;
  private final long pauseNanos;

  /** Changes each message before the given member handles it, to seed a defect. */
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

  /** Returns the violations found so far. The model checker adds its own to this list. */
  List<String> violations() {
    return violations;
  }

  /** Returns the number of times that a member was declared faulty so far. */
  int faultyCount() {
    return faultyCount;
  }

  /** Starts a member. A restarted one, with an earlier incarnation, has to join again. */
  Membership newMember(int index, long incarnation, long nowNanos) {
    List<Address> seeds =
        incarnation == FIRST_INCARNATION
            ? List.of()
            : List.of(
                address((index + 1) % ModelState.MEMBER_COUNT),
                address((index + 2) % ModelState.MEMBER_COUNT));
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

  /**
   * Returns all states that can follow the next event: an arrival, a timer or a partition's end.
   */
  List<ModelState> successors(ModelState state) {
    long atNanos = Long.MAX_VALUE;
    int timerIndex = -1;
    for (int i = 0; i < ModelState.MEMBER_COUNT; i++) {
      long due = state.nextDueNanos(i);
      if (due < atNanos) {
        atNanos = due;
        timerIndex = i;
      }
    }
    MessageInFlight next = null;
    for (MessageInFlight flight : state.inFlight) {
      if (!flight.queuedWhilePaused()
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
      healed.partitionUntilNanos = ModelState.NONE;
      return List.of(healed);
    }
    return next != null
        ? arrivalSuccessors(state, next)
        : timerSuccessors(state, timerIndex, atNanos);
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
    Address sender = flight.message().from().address();
    long incarnation = successor.knownIncarnation(flight.to(), sender);
    Membership member = successor.members[flight.to()];
    boolean forOtherIncarnation =
        flight.message().targetIncarnation() != 0
            && flight.message().targetIncarnation() != member.self().incarnation();
    List<Action> actions =
        member.onMessage(
            defect.apply(member, flight.message()), Duration.ofNanos(successor.nowNanos));
    if (forOtherIncarnation && actions.stream().anyMatch(ModelTransitions::isAcceptance)) {
      violations.add(
          "message for a former incarnation of member "
              + flight.to()
              + " was accepted: "
              + flight.message());
    }
    apply(successor, flight.to(), actions);
    if (successor.knownIncarnation(flight.to(), sender) < incarnation) {
      violations.add(
          "member "
              + flight.to()
              + " replaced incarnation "
              + incarnation
              + " by the former incarnation "
              + flight.message().from());
    }
    return successor;
  }

  private static boolean isAcceptance(Action action) {
    if (action instanceof Action.Send send) {
      return send.message().kind() == Message.Kind.ACK;
    }
    return action instanceof Action.IncarnationRaised;
  }

  private List<ModelState> timerSuccessors(ModelState state, int index, long atNanos) {
    List<ModelState> successors = new ArrayList<>();
    ModelState due = state.copy(ModelState.UNCHANGED);
    due.nowNanos = Math.max(state.nowNanos, atNanos);
    if (due.restartNanos[index] >= 0) {
      due.restartNanos[index] = ModelState.NONE;
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
      partitioned.mayBeFaulty |= partition.mayBeFaulty < 0 ? 0 : 1 << partition.mayBeFaulty;
      faults.add(partitioned);
    }
    return faults;
  }

  /** Delivers the messages received during a pause. The first action has to report the pause. */
  private ModelState resume(ModelState state, int index) {
    ModelState successor = state.copy(index);
    successor.pausedUntilNanos[index] = ModelState.NONE;
    List<MessageInFlight> queued =
        successor.inFlight.stream()
            .filter(flight -> flight.queuedWhilePaused() && flight.to() == index)
            .toList();
    successor.inFlight.removeAll(queued);
    Duration now = Duration.ofNanos(successor.nowNanos);
    List<Action> actions = new ArrayList<>();
    queued.forEach(
        flight -> actions.addAll(successor.members[index].onMessage(flight.message(), now)));
    actions.addAll(successor.members[index].tick(now));
    if (!(actions.get(0) instanceof Action.StatusChanged change)
        || change.status().connectivity() != Connectivity.PAUSED) {
      violations.add("member " + index + " did not notice its pause");
    }
    apply(successor, index, actions);
    return successor;
  }

  private void apply(ModelState state, int index, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        int to = indexOf(send.to());
        state.inFlight.add(
            new MessageInFlight(
                index, to, state.nowNanos + MESSAGE_DELAY_NANOS, send.message(), false));
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
    if ((state.mayBeFaulty & 1 << subjectIndex) == 0) {
      violations.add(
          "member "
              + observer
              + " declared "
              + subjectIndex
              + " faulty, which is alive and reachable");
    } else if (state.partition != null
        && state.pausedUntilNanos[subjectIndex] < 0
        && subject.localStatus(Duration.ofNanos(state.nowNanos)).isConnected()) {
      violations.add(
          "member " + subjectIndex + " is connected while " + observer + " declares it faulty");
    }
  }
}
