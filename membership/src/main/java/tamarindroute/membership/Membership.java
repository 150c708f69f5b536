package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One member's state machine. Each step checks first whether this process ran when it should have,
 * then handles the event, then what is due, then reports the own connectivity.
 *
 * <p>Reads no clock: equal events at equal times give equal actions. Not thread-safe. Before acting
 * on the states of others, ask {@link #localStatus}: it tells of a pause before any timer has run.
 */
public final class Membership {

  /** How many others a leaving member notifies; they pass it on. */
  private static final int LEAVE_FANOUT = 8;

  /** Stands for never; leaves room for adding to it. */
  private static final long NEVER_NANOS = Long.MAX_VALUE / 2;

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
   * Starts a member.
   *
   * @param settings the same at all members
   * @param self this member; its incarnation is only a proposal and may be raised
   * @param seeds whom to ask for admission; may be empty, and may contain this member
   * @param now the monotonic time
   * @throws IllegalArgumentException if the incarnation is out of its bounds
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
          "incarnation of " + self + " is out of bounds: 1 to " + MessageValidator.MAX_COUNTER);
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
    periodicTasks.startLike(other.periodicTasks);
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

  /** Independent copy of the state, for a model checker. */
  Membership copy() {
    return new Membership(this);
  }

  /** Drops queued updates and requests, so that a simulation starts with nothing under way. */
  void clearPending() {
    context.gossipQueue.clear();
    stateExchange.requestNothing();
  }

  /** How many request ids were given out since this one. */
  long requestIdAge(long requestId) {
    return context.requestIdAge(requestId);
  }

  /**
   * The state that decides the future, with times relative to now. Members with equal keys behave
   * alike from then on.
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
   * Handles a message.
   *
   * @param message decoded completely and authenticated as a member's
   * @param now the monotonic time
   * @return what to do, in this order
   */
  public List<Action> onMessage(Message message, Duration now) {
    beginStep(now);
    if (!localHealth.isLeft()) {
      messageHandler.onMessage(message);
    }
    return endStep();
  }

  /**
   * Handles the passage of time; due after {@link #untilNextTick} at the latest.
   *
   * @return what to do, in this order
   */
  public List<Action> tick(Duration now) {
    beginStep(now);
    return endStep();
  }

  /**
   * Leaves in order. Messages are ignored from then on.
   *
   * @return what to do, in this order
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

  /** Time until the next {@link #tick} is due; zero if it is overdue. */
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

  /** Voids what the pause has made doubtful, and probes others to hear of the present. */
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

  /** All other members in the table with their states. */
  public Map<Member, MemberState> members() {
    Map<Member, MemberState> members = new LinkedHashMap<>();
    context.memberTable.entries().forEach(entry -> members.put(entry.member, entry.state));
    return members;
  }

  /** The members that are alive or suspect, this one included. */
  public List<Member> liveMembers() {
    List<Member> live = new ArrayList<>(List.of(context.self));
    context.memberTable.liveEntries().forEach(entry -> live.add(entry.member));
    return live;
  }

  /** This member with its current incarnation. */
  public Member self() {
    return context.self;
  }

  /** The own status at this moment, whatever timers have run; to be asked before acting. */
  public LocalStatus localStatus(Duration now) {
    return localHealth.statusAt(Math.max(context.nowNanos, now.toNanos()));
  }
}
