package tamarindroute.membership;

import java.util.List;

/**
 * Periodic tasks: probes, a state exchange and cleanup once per probe period, and gossip rounds
 * several times per period.
 */
final class PeriodicTasks {

  /**
   * Number of gossip rounds in a period. Five were too few: in one of 100,000 cases a member missed
   * a refutation.
   */
  private static final int GOSSIP_ROUNDS_PER_PERIOD = 8;

  /** Number of members that receive queued updates in each gossip round. */
  private static final int GOSSIP_FANOUT = 3;

  /**
   * Number of equally spaced offsets within a period, one of which is selected at random for the
   * start of the first period.
   */
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

  /** Schedules the first gossip round for now and the first period at a random offset from now. */
  void start() {
    long offset = context.random.nextInt(PERIOD_OFFSETS);
    nextGossipNanos = context.nowNanos;
    nextPeriodNanos = context.nowNanos + offset * context.periodNanos / PERIOD_OFFSETS;
  }

  /** Takes over the scheduled times of another instance. */
  void copySchedule(PeriodicTasks other) {
    nextGossipNanos = other.nextGossipNanos;
    nextPeriodNanos = other.nextPeriodNanos;
  }

  List<Object> stateKey(long nowNanos) {
    return List.of(nextGossipNanos - nowNanos, nextPeriodNanos - nowNanos);
  }

  long nextDueNanos() {
    return Math.min(nextGossipNanos, nextPeriodNanos);
  }

  /**
   * Probes random members immediately, to update the member table after a pause, and postpones the
   * next period.
   */
  void probeAfterPause() {
    randomGossipTargets().forEach(failureDetector::probe);
    nextPeriodNanos = context.nowNanos + context.periodNanos;
  }

  /** Runs the tasks of a period and of a gossip round if their times have come. */
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
      // Without other members, missing answers do not indicate isolation.
      localHealth.recordAnswer();
    }
  }

  /**
   * Probes the next member in round-robin order, the successor on the hash ring, so that each
   * member has a fixed observer, and the accuser with the oldest accusation.
   */
  private void probeRegularTargets() {
    context.memberTable.nextToProbe(context.random).ifPresent(failureDetector::probe);
    int localHash = (int) DeterministicRandom.memberHash(context.self);
    Address self = context.self.address();
    context.memberTable.successor(localHash, self).ifPresent(failureDetector::probe);
    localHealth
        .oldestAccuser()
        .map(context.memberTable::find)
        .filter(MemberEntry::isLive)
        .ifPresent(failureDetector::probe);
  }

  /**
   * Probes a faulty member. It may be reachable again, or it may receive messages without being
   * received, and then learns from this message that it is regarded as faulty.
   */
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
