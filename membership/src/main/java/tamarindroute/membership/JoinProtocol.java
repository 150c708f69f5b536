package tamarindroute.membership;

import java.util.List;

/**
 * Owns the way in: seeds, back-off, jitter and a budget of tries. It must never ask faster than the
 * budget has it.
 */
final class JoinProtocol {

  /**
   * The first try's wait, doubled with each: half a period, as a seed that is there answers within
   * one.
   */
  private static final int FIRST_BACKOFF_DIVISOR = 2;

  /**
   * The longest wait: thirty periods, so that a thousand that wait for a seed put 33 questions a
   * period to it.
   */
  private static final int MAX_BACKOFF_PERIODS = 30;

  /**
   * Tries that may be had at once; one comes back every longest wait, whatever back-off would
   * allow.
   */
  private static final int MAX_ATTEMPT_TOKENS = 12;

  /**
   * Once in, a seed that is not known is asked every so many periods: islands that began apart
   * meet.
   */
  private static final int SEED_CONTACT_PERIODS = 10;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final List<Address> seeds;
  private int attempts;
  private int attemptTokens = MAX_ATTEMPT_TOKENS;
  private long nextRefillNanos;
  private long nextAttemptNanos;
  private int seedIndex;

  JoinProtocol(
      StepContext context,
      OutboundMessages outbound,
      LocalHealthMonitor localHealth,
      List<Address> seeds) {
    this.context = context;
    this.outbound = outbound;
    this.localHealth = localHealth;
    this.seeds = List.copyOf(seeds);
    this.nextAttemptNanos = context.nowNanos;
    this.nextRefillNanos = context.nowNanos + MAX_BACKOFF_PERIODS * context.periodNanos;
    this.seedIndex = context.random.nextInt(seeds.size());
  }

  JoinProtocol copy(
      StepContext other, OutboundMessages otherOutbound, LocalHealthMonitor otherLocalHealth) {
    JoinProtocol copy = new JoinProtocol(other, otherOutbound, otherLocalHealth, seeds);
    copy.attempts = attempts;
    copy.attemptTokens = attemptTokens;
    copy.nextRefillNanos = nextRefillNanos;
    copy.nextAttemptNanos = nextAttemptNanos;
    copy.seedIndex = seedIndex;
    return copy;
  }

  List<Object> stateKey(long nowNanos) {
    return List.of(
        attempts,
        attemptTokens,
        attemptTokens == MAX_ATTEMPT_TOKENS ? 0 : nextRefillNanos - nowNanos,
        Math.max(0, nextAttemptNanos - nowNanos),
        seedIndex);
  }

  long nextDueNanos() {
    return seeds.isEmpty() ? Long.MAX_VALUE : nextAttemptNanos;
  }

  /** The way in begins anew, within the same budget. */
  void restart() {
    attempts = 0;
    nextAttemptNanos = context.nowNanos;
  }

  void runIfDue() {
    if (!localHealth.isJoined() && (seeds.isEmpty() || seeds.stream().allMatch(context::isSelf))) {
      // Nobody to ask: it is the first.
      localHealth.joined();
    }
    if (context.nowNanos < nextAttemptNanos || seeds.isEmpty()) {
      return;
    }
    if (context.nowNanos >= nextRefillNanos) {
      attemptTokens = Math.min(MAX_ATTEMPT_TOKENS, attemptTokens + 1);
      nextRefillNanos = context.nowNanos + MAX_BACKOFF_PERIODS * context.periodNanos;
    }
    if (localHealth.isJoined()) {
      contactUnknownSeed();
      nextAttemptNanos = context.nowNanos + withJitter(SEED_CONTACT_PERIODS * context.periodNanos);
    } else if (attemptTokens > 0) {
      attemptTokens--;
      contactNextSeed();
      nextAttemptNanos =
          context.nowNanos
              + withJitter(
                  Math.min(
                      MAX_BACKOFF_PERIODS * context.periodNanos,
                      context.periodNanos / FIRST_BACKOFF_DIVISOR << Math.min(attempts, 10)));
      attempts++;
    } else {
      nextAttemptNanos = nextRefillNanos;
    }
  }

  private void contactNextSeed() {
    for (int i = 0; i < seeds.size(); i++) {
      seedIndex = (seedIndex + 1) % seeds.size();
      if (!context.isSelf(seeds.get(seedIndex))) {
        outbound.sendJoin(seeds.get(seedIndex), context.nextRequestId());
        return;
      }
    }
  }

  private void contactUnknownSeed() {
    for (int i = 0; i < seeds.size(); i++) {
      seedIndex = (seedIndex + 1) % seeds.size();
      MemberEntry entry = context.memberTable.find(seeds.get(seedIndex));
      if (!context.isSelf(seeds.get(seedIndex)) && (entry == null || !entry.isLive())) {
        outbound.sendJoin(seeds.get(seedIndex), context.nextRequestId());
        return;
      }
    }
  }

  /** From a half to the whole of it. */
  private long withJitter(long spanNanos) {
    return spanNanos / 2 + spanNanos / 2 * context.random.nextInt(1_000) / 1_000;
  }
}
