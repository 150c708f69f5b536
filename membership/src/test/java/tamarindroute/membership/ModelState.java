package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** State of the members, the network and the faults; members may be shared between states. */
final class ModelState {
  /** Number of members. */
  static final int MEMBERS = 3;

  /** Argument of {@link #copy} if no member is about to change. */
  static final int UNCHANGED = -1;

  /** Value of times that are not set. */
  static final long NONE = -1;

  final Membership[] members = new Membership[MEMBERS];
  final long[] pausedUntilNanos = {NONE, NONE, NONE};
  final long[] restartNanos = {NONE, NONE, NONE};
  List<MessageInFlight> inFlight = new ArrayList<>();
  Partition partition;
  long partitionUntilNanos = NONE;
  FaultBudget budget;
  long nowNanos;

  /** Members that may be declared faulty from now on, as bits. */
  int excused;

  /**
   * Copies the state; of the members only the one about to change, by index or {@link #UNCHANGED}.
   */
  ModelState copy(int changed) {
    ModelState copy = new ModelState();
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
                    flight.from(),
                    flight.to(),
                    flight.queuedAtPaused() ? 0 : flight.arrivesNanos() - nowNanos,
                    messageKey(flight),
                    flight.queuedAtPaused())));
    key.add(
        List.of(
            partition == null ? "" : partition,
            partitionUntilNanos < 0 ? -1 : partitionUntilNanos - nowNanos,
            budget,
            excused));
    return key;
  }
}
