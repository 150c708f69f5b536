package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * State shared by all parts of one {@link Membership}: its identity, the time of the current step,
 * the member table and the actions collected so far.
 */
final class StepContext {

  final MembershipSettings settings;
  final DeterministicRandom random;
  final MemberTable memberTable;
  final GossipQueue gossipQueue;
  final HealthScore healthScore;
  final SendRateLimiter sendRateLimiter;
  final long periodNanos;

  /** Request ids start again after this; small in a model checker, to bound its states. */
  private final long requestIdLimit;

  /** This member; its incarnation may be raised. */
  Member self;

  /** Counter that this member raises to refute a suspicion of itself. */
  long refutation;

  /** Time of the current step. */
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

  /** Independent copy without the collected actions. */
  StepContext copy() {
    return new StepContext(this);
  }

  /**
   * State that decides the future, for a model checker. Leaves out the rate limiter, which is never
   * exhausted there, and the last request id, which keys compare others to.
   */
  List<Object> stateKey(long atNanos) {
    return List.of(
        self,
        refutation,
        memberTable.stateKey(atNanos),
        gossipQueue.stateKey(),
        healthScore.stateKey());
  }

  /** How many request ids were given out since this one. */
  long requestIdAge(long requestId) {
    return Math.floorMod(lastRequestId - requestId, requestIdLimit);
  }

  long nextRequestId() {
    lastRequestId = lastRequestId % requestIdLimit + 1;
    return lastRequestId;
  }

  /** Adds an action to the result of the current step. */
  void emit(Action action) {
    pendingActions.add(action);
  }

  void emitStateChange(MemberEntry entry) {
    emit(new Action.StateChanged(entry.member, entry.state));
  }

  /** Returns the collected actions and starts a new list. */
  List<Action> drainActions() {
    List<Action> drained = List.copyOf(pendingActions);
    pendingActions = new ArrayList<>();
    return drained;
  }

  /** This member's statement that it is alive. */
  MembershipUpdate selfUpdate() {
    return new MembershipUpdate(self, MemberState.ALIVE, refutation, self.address());
  }

  boolean isSelf(Address address) {
    return address.equals(self.address());
  }
}
