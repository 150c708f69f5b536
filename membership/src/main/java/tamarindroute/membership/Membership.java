package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns one member's whole state and the order of a step: first whether it ran when it should have,
 * then the event, then what is due, then its own condition. It must never read a clock; equal
 * events at equal times give equal actions.
 *
 * <p>Not for several threads. Whoever acts on what is held here asks touch first, at the moment of
 * acting: a process that was stopped knows so by it before any timer has run.
 */
public final class Membership {

  /**
   * Rumours go out so many times a period, to so many others. Five were too few: one of 100,000
   * missed a refutation.
   */
  private static final int GOSSIP_ROUNDS_PER_PERIOD = 8;

  private static final int GOSSIP_FANOUT = 3;

  /** Whoever goes says so to so many; they pass it on. */
  private static final int LEAVE_FANOUT = 8;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final SuspicionTracker suspicions;
  private final FailureDetector failureDetector;
  private final StateExchange stateExchange;
  private final JoinProtocol joinProtocol;
  private final UpdatePrecedence updatePrecedence;
  private long nextGossipNanos;
  private long nextPeriodNanos;

  /**
   * Begins at this moment of the monotonic clock; the birth is only a proposal
   * (docs/membership-design.md).
   */
  public Membership(MembershipSettings settings, Member self, List<Address> seeds, Duration now) {
    this(
        settings,
        self,
        seeds,
        now,
        new DeterministicRandom(DeterministicRandom.seedFor(self)),
        Long.MAX_VALUE / 2);
  }

  Membership(
      MembershipSettings settings,
      Member self,
      List<Address> seeds,
      Duration now,
      DeterministicRandom random,
      long requestIdLimit) {
    if (self.incarnation() <= 0 || self.incarnation() > UpdatePrecedence.MAX_COUNTER) {
      throw new IllegalArgumentException("birth out of bounds: " + self);
    }
    context = new StepContext(settings, self, random, requestIdLimit, now.toNanos());
    outbound = new OutboundMessages(context);
    localHealth = new LocalHealthMonitor(context);
    suspicions = new SuspicionTracker(context, localHealth);
    failureDetector = new FailureDetector(context, outbound, localHealth, suspicions);
    stateExchange = new StateExchange(context, outbound);
    joinProtocol = new JoinProtocol(context, outbound, localHealth, seeds);
    updatePrecedence = new UpdatePrecedence(context, outbound, localHealth, suspicions);
    nextGossipNanos = context.nowNanos;
    nextPeriodNanos = context.nowNanos + random.nextInt(1_000) * context.periodNanos / 1_000;
    localHealth.nextStepNanos(context.nowNanos);
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
    nextGossipNanos = other.nextGossipNanos;
    nextPeriodNanos = other.nextPeriodNanos;
  }

  /** The same state, on its own from here on. */
  Membership copy() {
    return new Membership(this);
  }

  /**
   * Nothing is left to be passed on or asked for; simulations begin so, as if all had been said
   * long ago.
   */
  void clearPending() {
    context.gossipQueue.clear();
    stateExchange.requestNothing();
  }

  long requestIdAge(long requestId) {
    return context.requestIdAge(requestId);
  }

  /** All that decides what it will do, its times relative to now: equal keys have equal futures. */
  Object stateKey(Duration now) {
    long nowNanos = now.toNanos();
    return List.of(
        context.stateKey(nowNanos),
        outbound.attachSelfUpdate,
        localHealth.stateKey(nowNanos),
        failureDetector.stateKey(nowNanos),
        stateExchange.stateKey(),
        joinProtocol.stateKey(nowNanos),
        nextGossipNanos - nowNanos,
        nextPeriodNanos - nowNanos);
  }

  /** A message that was read whole and proven to be a peer's. */
  public List<Action> onMessage(Message message, Duration now) {
    beginStep(now);
    // What is meant for another life of this address is not heard by this one.
    boolean addressedToSelf =
        message.targetIncarnation() == context.self.incarnation()
            || message.targetIncarnation() == 0 && message.kind() == Message.Kind.JOIN;
    if (!localHealth.isLeft() && addressedToSelf && updatePrecedence.isValid(message)) {
      accept(message);
    }
    return endStep();
  }

  /** Time has passed: at the latest when wake told. */
  public List<Action> tick(Duration now) {
    beginStep(now);
    return endStep();
  }

  /** It goes in order; nothing it is told counts any more. */
  public List<Action> leave(Duration now) {
    beginStep(now);
    if (!localHealth.isLeft()) {
      MembershipUpdate selfUpdate =
          new MembershipUpdate(
              context.self, MemberState.LEFT, context.refutation, context.self.address());
      for (MemberEntry entry :
          context.memberTable.randomAlive(LEAVE_FANOUT, null, context.random)) {
        outbound.send(Message.Kind.LEAVE, entry.member, 0, context.self, List.of(selfUpdate), true);
      }
      failureDetector.clear();
      localHealth.left();
    }
    return endStep();
  }

  /** The span until the next tick is due; zero where it is overdue. */
  public Duration untilNextTick(Duration now) {
    return Duration.ofNanos(Math.max(0, nextDueNanos() - now.toNanos()));
  }

  private long nextDueNanos() {
    if (localHealth.isLeft()) {
      return Long.MAX_VALUE / 2;
    }
    return Math.min(
        Math.min(nextGossipNanos, nextPeriodNanos),
        Math.min(failureDetector.nextDueNanos(), joinProtocol.nextDueNanos()));
  }

  private void beginStep(Duration now) {
    context.nowNanos = Math.max(context.nowNanos, now.toNanos());
    long overdueNanos = localHealth.overdueNanos(context.nowNanos);
    if (localHealth.isPaused(context.nowNanos)) {
      localHealth.recordPause(overdueNanos);
      failureDetector.clear();
      context.gossipQueue.dropReports(context.self.address());
      localHealth.reportChange();
      suspicions.restartTimeouts();
      context
          .memberTable
          .randomAlive(GOSSIP_FANOUT, null, context.random)
          .forEach(failureDetector::probe);
      nextPeriodNanos = context.nowNanos + context.periodNanos;
    } else {
      failureDetector.postpone(overdueNanos);
    }
    outbound.attachSelfUpdate = localHealth.isAccused(context.nowNanos);
  }

  private List<Action> endStep() {
    if (!localHealth.isLeft()) {
      runDueTasks();
    }
    localHealth.nextStepNanos(nextDueNanos());
    if (localHealth.reportChange()) {
      suspicions.restartTimeouts();
    }
    return context.drainActions();
  }

  private void runDueTasks() {
    joinProtocol.runIfDue();
    failureDetector.advanceDueProbes();
    if (context.nowNanos >= nextPeriodNanos) {
      nextPeriodNanos = context.nowNanos + context.periodNanos;
      runPeriod();
    }
    if (context.nowNanos >= nextGossipNanos) {
      nextGossipNanos = context.nowNanos + context.periodNanos / GOSSIP_ROUNDS_PER_PERIOD;
      runGossipRound();
    }
  }

  private void runPeriod() {
    probeIfLive(context.memberTable.nextToProbe(context.random));
    probeIfLive(
        context.memberTable.successor(
            (int) DeterministicRandom.memberHash(context.self), context.self.address()));
    probeIfLive(
        localHealth.oldestAccuser() == null
            ? null
            : context.memberTable.find(localHealth.oldestAccuser()));
    MemberEntry faulty = context.memberTable.randomFaulty(context.random);
    if (faulty != null) {
      // It may be there again, or may hear this one and not be heard: then it learns so by this.
      outbound.send(Message.Kind.PROBE, faulty.member, 0, context.self);
    }
    suspicions.selectedForProbing().forEach(failureDetector::probe);
    stateExchange.exchangeRandomPart();
    updatePrecedence.expireJoining();
    if (localHealth.isAlone() && localHealth.isJoined()) {
      // Nobody to ask whether this one is in touch.
      localHealth.recordAnswer();
    }
  }

  private void probeIfLive(MemberEntry entry) {
    if (entry != null && entry.isLive()) {
      failureDetector.probe(entry);
    }
  }

  private void runGossipRound() {
    suspicions.evaluate();
    stateExchange.requestMissing();
    if (!context.gossipQueue.isEmpty()) {
      for (MemberEntry entry :
          context.memberTable.randomAlive(GOSSIP_FANOUT, null, context.random)) {
        outbound.send(Message.Kind.GOSSIP, entry.member, 0, context.self);
      }
    }
  }

  private void accept(Message message) {
    if (message.kind() == Message.Kind.SUPERSEDED) {
      onSuperseded(message.subject());
      return;
    }
    MemberEntry senderEntry = updatePrecedence.resolveSender(message);
    if (senderEntry == null) {
      return;
    }
    List<MembershipUpdate> selfUpdates =
        updatePrecedence.applyAll(message) ? List.of(context.selfUpdate()) : List.of();
    if (updatePrecedence.laterIncarnation() != null) {
      onSuperseded(updatePrecedence.laterIncarnation());
      return;
    }
    dispatch(message, senderEntry, selfUpdates);
  }

  private void dispatch(
      Message message, MemberEntry senderEntry, List<MembershipUpdate> selfUpdate) {
    Member sender = message.from();
    switch (message.kind()) {
      case PROBE ->
          outbound.send(
              Message.Kind.ACK, sender, message.requestId(), context.self, selfUpdate, true);
      case ACK -> failureDetector.onAck(message);
      case PROBE_FOR ->
          failureDetector.probeOnBehalf(message.subject(), sender, message.requestId());
      case NACK -> failureDetector.onNack(message);
      case JOIN -> onJoin(message);
      case WELCOME -> onWelcome(message);
      case EXCHANGE -> stateExchange.onRequest(message);
      case EXCHANGE_BACK -> stateExchange.onReply(message);
      case LEAVE -> {
        if (senderEntry.state != MemberState.LEFT) {
          updatePrecedence.markLeft(senderEntry, senderEntry.refutation);
        }
      }
      case GOSSIP, SUPERSEDED -> {}
    }
  }

  private void onJoin(Message message) {
    if (localHealth.statusAt(context.nowNanos).connectivity() != Action.Connectivity.PAUSED) {
      outbound.send(
          Message.Kind.WELCOME,
          message.from(),
          stateExchange.partCount(),
          context.self,
          updatePrecedence.welcomeUpdates(),
          false);
    }
  }

  private void onWelcome(Message message) {
    if (!localHealth.isJoined()) {
      localHealth.joined();
      stateExchange.requestAll(message.requestId());
      context.gossipQueue.enqueue(context.selfUpdate());
    }
  }

  /** A later life than this one was here, as a clock was set back: past it, and in anew. */
  private void onSuperseded(Member laterMember) {
    if (!context.isSelf(laterMember.address())
        || laterMember.incarnation() < context.self.incarnation()
        || laterMember.incarnation() >= UpdatePrecedence.MAX_COUNTER) {
      return;
    }
    context.self = new Member(context.self.address(), laterMember.incarnation() + 1);
    context.refutation = 0;
    failureDetector.clear();
    localHealth.onNewIncarnation();
    joinProtocol.restart();
    context.emit(new Action.IncarnationRaised(context.self));
  }

  /** All others that are remembered, with their standing. */
  public Map<Member, MemberState> members() {
    Map<Member, MemberState> members = new LinkedHashMap<>();
    context.memberTable.entries().forEach(entry -> members.put(entry.member, entry.state));
    return members;
  }

  /** Those held alive or suspect, and oneself. */
  public List<Member> liveMembers() {
    List<Member> live = new ArrayList<>(List.of(context.self));
    context.memberTable.liveEntries().forEach(entry -> live.add(entry.member));
    return live;
  }

  public Member self() {
    return context.self;
  }

  /** One's own condition at this very moment, whatever timers ran: asked before acting. */
  public Action.LocalStatus localStatus(Duration now) {
    return localHealth.statusAt(Math.max(context.nowNanos, now.toNanos()));
  }
}
