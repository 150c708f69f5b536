package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * State shared by all components of one {@link Membership}: the identity of the local member, the
 * time of the current step, the member table and the actions collected in the step.
 */
final class StepContext {

  final MembershipSettings settings;
  final DeterministicRandom random;
  final MemberTable memberTable;
  final GossipQueue gossipQueue;
  final HealthScore healthScore;
  final SendRateLimiter sendRateLimiter;
  final long periodNanos;

  /**
   * Greatest request id, after which ids start again at 1. Small in a model checker, to bound the
   * number of its states.
   */
  private final long requestIdLimit;

  /** The local member. Replaced when its incarnation is raised. */
  Member self;

  /** Counter that the local member raises to refute a suspicion of itself. */
  long refutation;

  /** Time of the current step on the caller's monotonic clock. Never decreases. */
  long nowNanos;

  private long lastRequestId;
  private List<Action> pendingActions = new ArrayList<>();

  StepContext(
      MembershipSettings settings,
      Member self,
      DeterministicRandom random,
      long requestIdLimit,
      long nowNanos) {
    this.settings = settings;
    this.self = self;
    this.random = random;
    this.memberTable = new MemberTable(settings.maxMembers());
    this.gossipQueue = new GossipQueue();
    this.healthScore = new HealthScore(settings);
    this.sendRateLimiter = new SendRateLimiter(settings.maxBytesPerSecond(), nowNanos);
    this.requestIdLimit = requestIdLimit;
    this.periodNanos = settings.probePeriod().toNanos();
    this.nowNanos = nowNanos;
  }

  private StepContext(StepContext other) {
    settings = other.settings;
    self = other.self;
    random = other.random.copy();
    memberTable = other.memberTable.copy();
    gossipQueue = other.gossipQueue.copy();
    healthScore = other.healthScore.copy();
    sendRateLimiter = other.sendRateLimiter.copy();
    requestIdLimit = other.requestIdLimit;
    periodNanos = other.periodNanos;
    refutation = other.refutation;
    nowNanos = other.nowNanos;
    lastRequestId = other.lastRequestId;
  }

  /** Returns an independent copy without the collected actions. */
  StepContext copy() {
    return new StepContext(this);
  }

  /**
   * Returns the state that determines future behaviour, for a model checker. Omits the rate
   * limiter, which is refilled long before a small group exhausts it, and the last request id,
   * because other ids are given relative to it.
   */
  List<Object> stateKey(long atNanos) {
    return List.of(
        self,
        refutation,
        memberTable.stateKey(atNanos),
        gossipQueue.stateKey(),
        healthScore.stateKey());
  }

  /** Returns the number of request ids that were assigned after the given one. */
  long requestIdAge(long requestId) {
    return Math.floorMod(lastRequestId - requestId, requestIdLimit);
  }

  /** Assigns and returns a new request id, from 1 to the limit. */
  long nextRequestId() {
    lastRequestId = lastRequestId % requestIdLimit + 1;
    return lastRequestId;
  }

  /** Adds an action to the result of the current step. */
  void emit(Action action) {
    pendingActions.add(action);
  }

  /** Adds the report of a member's new state to the result of the current step. */
  void emitStateChange(MemberEntry entry) {
    emit(new Action.StateChanged(entry.member, entry.state));
  }

  /** Returns the collected actions and starts a new list. */
  List<Action> drainActions() {
    List<Action> drained = List.copyOf(pendingActions);
    pendingActions = new ArrayList<>();
    return drained;
  }

  /** Returns an update that the local member is alive, with its current refutation number. */
  MembershipUpdate selfUpdate() {
    return new MembershipUpdate(self, MemberState.ALIVE, refutation, self.address());
  }

  boolean isSelf(Address address) {
    return address.equals(self.address());
  }
}
