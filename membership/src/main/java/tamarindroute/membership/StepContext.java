package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns who this one is, the moment of the step, and the step's actions; what all the parts of the
 * machine share.
 */
final class StepContext {

  final MembershipSettings settings;
  final DeterministicRandom random;
  final MemberTable memberTable;
  final GossipQueue gossipQueue;
  final HealthScore healthScore;
  final long periodNanos;
  Member self;
  long refutation;
  long nowNanos;
  long lastRequestId;

  /** Sending that is left, in bytes times nanoseconds a second; may not fall below zero. */
  private double room;

  private long allowanceUpdatedNanos;

  /** Numbers start again after this; small where every way is explored. */
  final long requestIdLimit;

  private List<Action> pendingActions = new ArrayList<>();

  StepContext(
      MembershipSettings settings,
      Member self,
      DeterministicRandom random,
      long requestIdLimit,
      long nowNanos) {
    this(
        settings,
        self,
        random,
        new MemberTable(settings.maxMembers()),
        new GossipQueue(),
        new HealthScore(settings),
        requestIdLimit);
    this.nowNanos = nowNanos;
    this.room = settings.maxBytesPerSecond();
    this.allowanceUpdatedNanos = nowNanos;
  }

  private StepContext(
      MembershipSettings settings,
      Member self,
      DeterministicRandom random,
      MemberTable memberTable,
      GossipQueue gossipQueue,
      HealthScore healthScore,
      long requestIdLimit) {
    this.settings = settings;
    this.self = self;
    this.random = random;
    this.memberTable = memberTable;
    this.gossipQueue = gossipQueue;
    this.healthScore = healthScore;
    this.requestIdLimit = requestIdLimit;
    this.periodNanos = settings.probePeriod().toNanos();
  }

  StepContext copy() {
    StepContext copy =
        new StepContext(
            settings,
            self,
            random.copy(),
            memberTable.copy(),
            gossipQueue.copy(),
            healthScore.copy(),
            requestIdLimit);
    copy.refutation = refutation;
    copy.nowNanos = nowNanos;
    copy.lastRequestId = lastRequestId;
    copy.room = room;
    copy.allowanceUpdatedNanos = allowanceUpdatedNanos;
    return copy;
  }

  /**
   * Room to send is left out: it is refilled long before a small world needs it; numbers count from
   * the last one.
   */
  List<Object> stateKey(long atNanos) {
    return List.of(
        self,
        refutation,
        memberTable.stateKey(atNanos),
        gossipQueue.stateKey(),
        healthScore.stateKey());
  }

  /** A number told from the last one that was given out. */
  long requestIdAge(long requestId) {
    return Math.floorMod(lastRequestId - requestId, requestIdLimit);
  }

  long nextRequestId() {
    lastRequestId = lastRequestId % requestIdLimit + 1;
    return lastRequestId;
  }

  void emit(Action action) {
    pendingActions.add(action);
  }

  void emitStateChange(MemberEntry entry) {
    emit(new Action.StateChanged(entry.member, entry.state));
  }

  List<Action> drainActions() {
    List<Action> drained = List.copyOf(pendingActions);
    pendingActions = new ArrayList<>();
    return drained;
  }

  MembershipUpdate selfUpdate() {
    return new MembershipUpdate(self, MemberState.ALIVE, refutation, self.address());
  }

  boolean isSelf(Address address) {
    return address.equals(self.address());
  }

  /** How many bytes are left of the second's; a part is kept for probes and answers. */
  boolean room(int bytes, boolean essential) {
    room =
        Math.min(
            settings.maxBytesPerSecond(),
            room + (nowNanos - allowanceUpdatedNanos) * 1e-9 * settings.maxBytesPerSecond());
    allowanceUpdatedNanos = nowNanos;
    if (room < bytes + (essential ? 0 : settings.maxBytesPerSecond() / 2)) {
      return false;
    }
    room -= bytes;
    return true;
  }
}
