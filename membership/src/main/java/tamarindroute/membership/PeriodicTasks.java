package tamarindroute.membership;

import java.util.List;

/** Runs what is due with time: probes once a period, gossip several times a period. */
final class PeriodicTasks {

  /** Queued updates are sent this often a period. */
  private static final int GOSSIP_ROUNDS_PER_PERIOD = 8;

  private static final int GOSSIP_FANOUT = 3;

  /** The first period starts at a random one of this many offsets. */
  private static final int PERIOD_OFFSETS = 1_000;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final SuspicionTracker suspicions;
  private final FailureDetector failureDetector;
  private final StateExchange stateExchange;
  private final UpdatePrecedence updatePrecedence;
  private long nextGossipNanos;
  private long nextPeriodNanos;

  PeriodicTasks(
      StepContext context,
      OutboundMessages outbound,
      LocalHealthMonitor localHealth,
      SuspicionTracker suspicions,
      FailureDetector failureDetector,
      StateExchange stateExchange,
      UpdatePrecedence updatePrecedence) {
    this.context = context;
    this.outbound = outbound;
    this.localHealth = localHealth;
    this.suspicions = suspicions;
    this.failureDetector = failureDetector;
    this.stateExchange = stateExchange;
    this.updatePrecedence = updatePrecedence;
  }

  /** Starts with a gossip round at once and the first period at a random offset. */
  void start() {
    long offset = context.random.nextInt(PERIOD_OFFSETS);
    nextGossipNanos = context.nowNanos;
    nextPeriodNanos = context.nowNanos + offset * context.periodNanos / PERIOD_OFFSETS;
  }

  /** Continues at the times of another instance. */
  void startLike(PeriodicTasks other) {
    nextGossipNanos = other.nextGossipNanos;
    nextPeriodNanos = other.nextPeriodNanos;
  }

  List<Object> stateKey(long nowNanos) {
    return List.of(nextGossipNanos - nowNanos, nextPeriodNanos - nowNanos);
  }

  long nextDueNanos() {
    return Math.min(nextGossipNanos, nextPeriodNanos);
  }

  /** Probes random members at once, to hear of the present after a pause; delays the period. */
  void probeAfterPause() {
    randomGossipTargets().forEach(failureDetector::probe);
    nextPeriodNanos = context.nowNanos + context.periodNanos;
  }

  void runIfDue() {
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
    probeRegularTargets();
    probeFaultyMember();
    suspicions.selectedForProbing().forEach(failureDetector::probe);
    stateExchange.exchangeRandomPart();
    updatePrecedence.expireJoining();
    if (localHealth.isAlone() && localHealth.isJoined()) {
      // There is nobody whose answers could be missing.
      localHealth.recordAnswer();
    }
  }

  /** Probes the next member round robin, the successor on the hash ring, and an accuser. */
  private void probeRegularTargets() {
    context.memberTable.nextToProbe(context.random).ifPresent(failureDetector::probe);
    int ownHash = (int) DeterministicRandom.memberHash(context.self);
    Address self = context.self.address();
    context.memberTable.successor(ownHash, self).ifPresent(failureDetector::probe);
    localHealth
        .oldestAccuser()
        .map(context.memberTable::find)
        .filter(MemberEntry::isLive)
        .ifPresent(failureDetector::probe);
  }

  /** A faulty member may be back, or not know that it is regarded as faulty. */
  private void probeFaultyMember() {
    context
        .memberTable
        .randomFaulty(context.random)
        .ifPresent(entry -> outbound.send(Message.Kind.PROBE, entry.member, 0));
  }

  private void runGossipRound() {
    suspicions.evaluate();
    stateExchange.requestMissing();
    if (context.gossipQueue.isEmpty()) {
      return;
    }
    for (MemberEntry entry : randomGossipTargets()) {
      outbound.send(Message.Kind.GOSSIP, entry.member, 0);
    }
  }

  private List<MemberEntry> randomGossipTargets() {
    return context.memberTable.randomAlive(GOSSIP_FANOUT, null, context.random);
  }
}
