package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * State of the members, the network and the faults in the model checker. States may share members,
 * so a member has to be copied before it changes.
 */
final class ModelState {
  static final int MEMBER_COUNT = 3;

  /** Argument of {@link #copy} if no member is about to change. */
  static final int UNCHANGED = -1;

  /** Value of a time that is not set. */
  static final long NONE = -1;

  /** The members by index; null for one that is killed and not restarted yet. */
  final Membership[] members = new Membership[MEMBER_COUNT];

  final long[] pausedUntilNanos = {NONE, NONE, NONE};
  final long[] restartNanos = {NONE, NONE, NONE};
  List<MessageInFlight> inFlight = new ArrayList<>();

  /** Links that are currently cut, or null. */
  Partition partition;

  long partitionUntilNanos = NONE;
  FaultBudget budget;
  long nowNanos;

  /** Members that may be declared faulty from now on, one bit per index. */
  int mayBeFaulty;

  /**
   * Returns a copy that shares all members except one.
   *
   * @param changed index of the member to copy, or {@link #UNCHANGED}
   */
  ModelState copy(int changed) {
    ModelState copy = new ModelState();
    for (int i = 0; i < MEMBER_COUNT; i++) {
      copy.members[i] = i == changed && members[i] != null ? members[i].copy() : members[i];
      copy.pausedUntilNanos[i] = pausedUntilNanos[i];
      copy.restartNanos[i] = restartNanos[i];
    }
    copy.inFlight = new ArrayList<>(inFlight);
    copy.partition = partition;
    copy.partitionUntilNanos = partitionUntilNanos;
    copy.budget = budget;
    copy.nowNanos = nowNanos;
    copy.mayBeFaulty = mayBeFaulty;
    return copy;
  }

  /** Returns when a member's next timer, restart or end of a pause is due. */
  long nextDueNanos(int index) {
    if (restartNanos[index] >= 0) {
      return restartNanos[index];
    }
    if (pausedUntilNanos[index] >= 0) {
      return pausedUntilNanos[index];
    }
    return nowNanos + members[index].untilNextTick(Duration.ofNanos(nowNanos)).toNanos();
  }

  /** Returns the incarnation at an address that a member knows; 0 if it knows none. */
  long knownIncarnation(int observer, Address subject) {
    return members[observer].members().keySet().stream()
        .filter(member -> member.address().equals(subject))
        .mapToLong(Member::incarnation)
        .findFirst()
        .orElse(0);
  }

  /** Returns the key of a message, with its request id relative to the requester's last one. */
  private List<Object> messageKey(MessageInFlight flight) {
    Message message = flight.message();
    int requester =
        switch (message.kind()) {
          case PROBE, INDIRECT_PROBE -> flight.from();
          case ACK, NACK -> flight.to();
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

  /** Returns the state that determines future behaviour, with times relative to now. */
  Object stateKey() {
    List<Object> key = new ArrayList<>();
    for (int i = 0; i < MEMBER_COUNT; i++) {
      key.add(members[i] == null ? "" : members[i].stateKey(Duration.ofNanos(nowNanos)));
      key.add(pausedUntilNanos[i] < 0 ? -1 : pausedUntilNanos[i] - nowNanos);
      key.add(restartNanos[i] < 0 ? -1 : restartNanos[i] - nowNanos);
    }
    inFlight.forEach(
        flight ->
            key.add(
                List.of(
                    flight.from(),
                    flight.to(),
                    flight.queuedWhilePaused() ? 0 : flight.arrivesNanos() - nowNanos,
                    messageKey(flight),
                    flight.queuedWhilePaused())));
    key.add(
        List.of(
            partition == null ? "" : partition,
            partitionUntilNanos < 0 ? -1 : partitionUntilNanos - nowNanos,
            budget,
            mayBeFaulty));
    return key;
  }
}
