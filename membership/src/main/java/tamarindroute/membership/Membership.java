package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * State machine of the local member in the SWIM membership protocol. Each step first checks whether
 * the local process ran when the step was due, then handles the event, then runs the tasks that are
 * due, then reports a change of the local connectivity.
 *
 * <p>Reads no clock: equal events at equal times give equal actions. Not thread-safe.
 *
 * <p>Callers have to check {@link #localStatus} before they act on the states of other members. It
 * reports a pause of the process even before any timer has run.
 */
public final class Membership {

  /** Number of members that a leaving member notifies. They disseminate it to the others. */
  private static final int LEAVE_FANOUT = 8;

  /** Time of an event that never occurs. Half the maximum, so that additions do not overflow. */
  private static final long NEVER_NANOS = Long.MAX_VALUE / 2;

  /** Request id limit that is never reached. */
  private static final long UNLIMITED_REQUEST_IDS = Long.MAX_VALUE / 2;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final SuspicionTracker suspicions;
  private final FailureDetector failureDetector;
  private final StateExchange stateExchange;
  private final JoinProtocol joinProtocol;
  private final UpdatePrecedence updatePrecedence;
  private final MessageHandler messageHandler;
  private final PeriodicTasks periodicTasks;

  /**
   * Starts the local member. It joins through the seeds in its first steps.
   *
   * @param settings settings, which have to be the same at all members
   * @param self the local member; its incarnation is only a proposal and may be raised
   * @param seeds addresses from which to request admission; may contain the local one. The local
   *     member founds a new group if there is no other seed.
   * @param now time of the monotonic clock
   * @throws IllegalArgumentException if the incarnation is not from 1 to {@link
   *     MessageValidator#MAX_COUNTER}
   */
  public Membership(MembershipSettings settings, Member self, List<Address> seeds, Duration now) {
    this(
        settings,
        self,
        seeds,
        now,
        new DeterministicRandom(DeterministicRandom.seedFor(self)),
        UNLIMITED_REQUEST_IDS);
  }

  Membership(
      MembershipSettings settings,
      Member self,
      List<Address> seeds,
      Duration now,
      DeterministicRandom random,
      long requestIdLimit) {
    if (!MessageValidator.isValidIncarnation(self.incarnation())) {
      throw new IllegalArgumentException(
          "incarnation of member "
              + self.address()
              + " is "
              + self.incarnation()
              + ", allowed: 1 to "
              + MessageValidator.MAX_COUNTER);
    }
    context = new StepContext(settings, self, random, requestIdLimit, now.toNanos());
    outbound = new OutboundMessages(context);
    localHealth = new LocalHealthMonitor(context);
    suspicions = new SuspicionTracker(context, localHealth);
    failureDetector = new FailureDetector(context, outbound, localHealth, suspicions);
    stateExchange = new StateExchange(context, outbound);
    joinProtocol = new JoinProtocol(context, outbound, localHealth, seeds);
    updatePrecedence = new UpdatePrecedence(context, outbound, localHealth, suspicions);
    messageHandler = newMessageHandler();
    periodicTasks = newPeriodicTasks();
    periodicTasks.start();
    localHealth.setNextStepNanos(context.nowNanos);
  }

  private Membership(Membership other) {
    context = other.context.copy();
    outbound = other.outbound.copy(context);
    localHealth = other.localHealth.copy(context);
    suspicions = new SuspicionTracker(context, localHealth);
    failureDetector = other.failureDetector.copy(context, outbound, localHealth, suspicions);
    stateExchange = other.stateExchange.copy(context, outbound);
    joinProtocol = other.joinProtocol.copy(context, outbound, localHealth);
    updatePrecedence = new UpdatePrecedence(context, outbound, localHealth, suspicions);
    messageHandler = newMessageHandler();
    periodicTasks = newPeriodicTasks();
    periodicTasks.copySchedule(other.periodicTasks);
  }

  private MessageHandler newMessageHandler() {
    return new MessageHandler(
        context,
        outbound,
        localHealth,
        failureDetector,
        stateExchange,
        joinProtocol,
        updatePrecedence);
  }

  private PeriodicTasks newPeriodicTasks() {
    return new PeriodicTasks(
        context,
        outbound,
        localHealth,
        suspicions,
        failureDetector,
        stateExchange,
        updatePrecedence);
  }

  /** Returns an independent copy, for a model checker. */
  Membership copy() {
    return new Membership(this);
  }

  /**
   * Drops queued updates and requests, so that a simulation starts as if all members had received
   * them long ago.
   */
  void clearPending() {
    context.gossipQueue.clear();
    stateExchange.cancelRequests();
  }

  /** Returns the number of request ids that were assigned after the given one. */
  long requestIdAge(long requestId) {
    return context.requestIdAge(requestId);
  }

  /**
   * Returns the state that determines future behaviour, with times relative to now. Two members
   * with equal keys give equal actions for equal events from then on.
   */
  Object stateKey(Duration now) {
    long nowNanos = now.toNanos();
    return List.of(
        context.stateKey(nowNanos),
        outbound.attachesSelfUpdate(),
        localHealth.stateKey(nowNanos),
        failureDetector.stateKey(nowNanos),
        stateExchange.stateKey(),
        joinProtocol.stateKey(nowNanos),
        periodicTasks.stateKey(nowNanos));
  }

  /**
   * Handles a received message. Ignores it after the local member has left, or if it is invalid.
   *
   * @param message message that was decoded completely and authenticated as sent by a member
   * @param now time of the monotonic clock
   * @return actions to perform in this order
   */
  public List<Action> onMessage(Message message, Duration now) {
    beginStep(now);
    if (!localHealth.isLeft()) {
      messageHandler.onMessage(message);
    }
    return endStep();
  }

  /**
   * Runs the tasks that are due. Has to be called after {@link #untilNextTick} at the latest. A
   * later call counts as a pause of the process.
   *
   * @param now time of the monotonic clock
   * @return actions to perform in this order
   */
  public List<Action> tick(Duration now) {
    beginStep(now);
    return endStep();
  }

  /**
   * Announces to other members that the local member leaves. Messages are ignored from then on.
   *
   * @param now time of the monotonic clock
   * @return actions to perform in this order
   */
  public List<Action> leave(Duration now) {
    beginStep(now);
    if (!localHealth.isLeft()) {
      sendLeave();
      failureDetector.clear();
      localHealth.onLeft();
    }
    return endStep();
  }

  private void sendLeave() {
    MembershipUpdate left =
        new MembershipUpdate(
            context.self, MemberState.LEFT, context.refutation, context.self.address());
    for (MemberEntry entry : context.memberTable.randomAlive(LEAVE_FANOUT, null, context.random)) {
      outbound.sendFilledUp(Message.Kind.LEAVE, entry.member, 0, context.self, List.of(left));
    }
  }

  /** Returns the time until the next {@link #tick} is due; zero if it is overdue. */
  public Duration untilNextTick(Duration now) {
    return Duration.ofNanos(Math.max(0, nextDueNanos() - now.toNanos()));
  }

  private long nextDueNanos() {
    if (localHealth.isLeft()) {
      return NEVER_NANOS;
    }
    long tasksDueNanos = Math.min(periodicTasks.nextDueNanos(), joinProtocol.nextDueNanos());
    return Math.min(tasksDueNanos, failureDetector.nextDueNanos());
  }

  private void beginStep(Duration now) {
    context.nowNanos = Math.max(context.nowNanos, now.toNanos());
    long overdueNanos = localHealth.overdueNanos(context.nowNanos);
    if (localHealth.isPaused(context.nowNanos)) {
      resumeAfterPause(overdueNanos);
    } else {
      failureDetector.postpone(overdueNanos);
    }
    outbound.setAttachSelfUpdate(localHealth.isAccused(context.nowNanos));
  }

  /**
   * Drops open probes and queued reports, which may be wrong after a pause. Restarts the timeouts
   * of suspects and probes other members to update the member table.
   */
  private void resumeAfterPause(long pauseNanos) {
    localHealth.recordPause(pauseNanos);
    failureDetector.clear();
    context.gossipQueue.dropReports(context.self.address());
    localHealth.reportChange();
    suspicions.restartTimeouts();
    periodicTasks.probeAfterPause();
  }

  private List<Action> endStep() {
    if (!localHealth.isLeft()) {
      runDueTasks();
    }
    localHealth.setNextStepNanos(nextDueNanos());
    if (localHealth.reportChange()) {
      suspicions.restartTimeouts();
    }
    return context.drainActions();
  }

  private void runDueTasks() {
    joinProtocol.runIfDue();
    failureDetector.advanceDueProbes();
    periodicTasks.runIfDue();
  }

  /**
   * Returns a copy of the table: all other known members, including gone ones, with their states.
   */
  public Map<Member, MemberState> members() {
    Map<Member, MemberState> members = new LinkedHashMap<>();
    context.memberTable.entries().forEach(entry -> members.put(entry.member, entry.state));
    return members;
  }

  /** Returns the members that are alive or suspect; the first one is the local member. */
  public List<Member> liveMembers() {
    List<Member> live = new ArrayList<>(List.of(context.self));
    context.memberTable.liveEntries().forEach(entry -> live.add(entry.member));
    return live;
  }

  /** Returns the local member with its current incarnation. */
  public Member self() {
    return context.self;
  }

  /**
   * Returns the status of the local member at the given time, even if no step has run since a
   * pause. Has to be checked before acting on the states of other members.
   *
   * @param now time of the monotonic clock
   */
  public LocalStatus localStatus(Duration now) {
    return localHealth.statusAt(Math.max(context.nowNanos, now.toNanos()));
  }
}
