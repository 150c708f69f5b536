package tamarindroute.membership;

import java.util.List;
import java.util.function.Predicate;

/**
 * Requests admission from seeds, with exponential backoff, jitter and a bounded number of attempts.
 *
 * <p>After admission it regularly contacts seeds that are not live in the member table, so that
 * groups that formed separately merge.
 */
final class JoinProtocol {

  /**
   * The first backoff is this part of a period, because a reachable seed answers well within it.
   * The backoff doubles with each attempt.
   */
  private static final int FIRST_BACKOFF_DIVISOR = 2;

  /** Longest backoff. A thousand members that wait for a seed send it 33 requests per period. */
  private static final int MAX_BACKOFF_PERIODS = 30;

  /** Keeps the doubled backoff from overflowing. The longest backoff is reached earlier. */
  private static final int MAX_DOUBLINGS = 10;

  /**
   * Attempts that may be made in a row. One attempt is added after each {@link
   * #MAX_BACKOFF_PERIODS}, even if the backoff would allow more.
   */
  private static final int MAX_ATTEMPT_TOKENS = 12;

  /** Interval in which an admitted member contacts a seed that is not live in its table. */
  private static final int SEED_CONTACT_PERIODS = 10;

  /** Resolution of the jitter: number of equally long steps in half of a duration. */
  private static final int JITTER_STEPS = 1_000;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final List<Address> seeds;

  /** Attempts since the last {@link #restart}, which determine the backoff. */
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
    this.nextRefillNanos = context.nowNanos + maxBackoffNanos();
    this.seedIndex = context.random.nextInt(seeds.size());
  }

  JoinProtocol copy(
      StepContext otherContext,
      OutboundMessages otherOutbound,
      LocalHealthMonitor otherLocalHealth) {
    JoinProtocol copy = new JoinProtocol(otherContext, otherOutbound, otherLocalHealth, seeds);
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

  /** Starts joining again with the shortest backoff, but only with the attempts that are left. */
  void restart() {
    attempts = 0;
    nextAttemptNanos = context.nowNanos;
  }

  /** Contacts a seed if the time of the next attempt has come. */
  void runIfDue() {
    if (!localHealth.isJoined() && seeds.stream().allMatch(context::isSelf)) {
      // There is no other seed to request admission from, so this member founds the group.
      localHealth.onJoined();
    }
    if (context.nowNanos < nextAttemptNanos || seeds.isEmpty()) {
      return;
    }
    refillAttempts();
    if (localHealth.isJoined()) {
      contactNextSeed(this::isNotLive);
      nextAttemptNanos = context.nowNanos + withJitter(SEED_CONTACT_PERIODS * context.periodNanos);
    } else if (attemptTokens > 0) {
      attemptTokens--;
      contactNextSeed(seed -> true);
      nextAttemptNanos = context.nowNanos + withJitter(backoffNanos());
      attempts++;
    } else {
      nextAttemptNanos = nextRefillNanos;
    }
  }

  private void refillAttempts() {
    if (context.nowNanos >= nextRefillNanos) {
      attemptTokens = Math.min(MAX_ATTEMPT_TOKENS, attemptTokens + 1);
      nextRefillNanos = context.nowNanos + maxBackoffNanos();
    }
  }

  private long backoffNanos() {
    long firstNanos = context.periodNanos / FIRST_BACKOFF_DIVISOR;
    return Math.min(maxBackoffNanos(), firstNanos << Math.min(attempts, MAX_DOUBLINGS));
  }

  private long maxBackoffNanos() {
    return MAX_BACKOFF_PERIODS * context.periodNanos;
  }

  /** Sends a join request to the next seed, round robin, that satisfies the condition, if any. */
  private void contactNextSeed(Predicate<Address> condition) {
    for (int i = 0; i < seeds.size(); i++) {
      seedIndex = (seedIndex + 1) % seeds.size();
      Address seed = seeds.get(seedIndex);
      if (!context.isSelf(seed) && condition.test(seed)) {
        outbound.sendJoin(seed);
        return;
      }
    }
  }

  private boolean isNotLive(Address seed) {
    MemberEntry entry = context.memberTable.find(seed);
    return entry == null || !entry.isLive();
  }

  /** Returns a random duration from half of the given one up to all of it. */
  private long withJitter(long maxNanos) {
    return maxNanos / 2 + maxNanos / 2 * context.random.nextInt(JITTER_STEPS) / JITTER_STEPS;
  }
}
