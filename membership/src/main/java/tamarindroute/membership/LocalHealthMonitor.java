package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Determines the connectivity of the local member: whether its process ran when a step was due,
 * whether other members answer it, and whether they regard it as alive.
 *
 * <p>A member that gets no answers has no information about the others, so it must not declare them
 * faulty because they are silent.
 */
final class LocalHealthMonitor {

  /**
   * A step that is late by more than this part of a period counts as a pause. A quarter of a period
   * is longer than a garbage collection of a small heap and shorter than a probe.
   */
  private static final int PAUSE_THRESHOLD_DIVISOR = 4;

  /**
   * Number of accusers that make the local member isolated. A single one may itself be in error,
   * and in the smallest groups two observers declare a member faulty.
   */
  private static final int ISOLATING_ACCUSERS = 2;

  /**
   * An accusation expires after this many silence timeouts. It has to last several, because members
   * on different sides of a partition contact each other only every few periods.
   */
  private static final int ACCUSATION_TIMEOUTS = 4;

  /**
   * Periods after which a refutation has reached all members, unless it was not received at all. It
   * takes little more than one period with 1,000 members.
   */
  private static final int REFUTATION_PERIODS = 2;

  /** Value of a time or duration that is not set. */
  private static final long NONE = -1;

  private final StepContext context;
  private final Accusers accusers;
  private boolean joined;
  private boolean left;

  /** Longest pause since the last answer of another member, or {@link #NONE}. */
  private long pausedForNanos = NONE;

  private long lastAnswerNanos;

  /** Time of the last refutation in this incarnation, or {@link #NONE}. */
  private long lastRefutedNanos = NONE;

  /** Time at which the next step is due; a later step shows that the process did not run. */
  private long nextStepNanos;

  private LocalStatus lastReported = LocalStatus.of(Connectivity.JOINING);

  LocalHealthMonitor(StepContext context) {
    this.context = context;
    this.accusers = new Accusers();
    this.lastAnswerNanos = context.nowNanos;
  }

  private LocalHealthMonitor(StepContext context, LocalHealthMonitor other) {
    this.context = context;
    accusers = other.accusers.copy();
    joined = other.joined;
    left = other.left;
    pausedForNanos = other.pausedForNanos;
    lastAnswerNanos = other.lastAnswerNanos;
    lastRefutedNanos = other.lastRefutedNanos;
    nextStepNanos = other.nextStepNanos;
    lastReported = other.lastReported;
  }

  LocalHealthMonitor copy(StepContext otherContext) {
    return new LocalHealthMonitor(otherContext, this);
  }

  /**
   * Returns the state that determines future behaviour, for a model checker. Durations are capped
   * at the value above which they make no difference, so that equivalent states have equal keys.
   */
  List<Object> stateKey(long nowNanos) {
    long cappedNanos = silenceTimeoutNanos() + 1;
    long refutedAgeNanos =
        lastRefutedNanos == NONE ? cappedNanos : Math.min(cappedNanos, nowNanos - lastRefutedNanos);
    List<Object> key = new ArrayList<>();
    key.add(joined);
    key.add(left);
    key.add(Math.min(pausedForNanos, accusationTimeoutNanos()));
    key.add(Math.min(cappedNanos, nowNanos - lastAnswerNanos));
    key.add(refutedAgeNanos);
    key.add(lastReported.connectivity());
    key.add(nextStepNanos - nowNanos);
    key.addAll(accusers.stateKey(accusationTimeoutNanos(), nowNanos));
    return key;
  }

  /** Returns by how much the next step is late, or 0. */
  long overdueNanos(long nowNanos) {
    return Math.max(0, nowNanos - nextStepNanos);
  }

  void setNextStepNanos(long dueNanos) {
    nextStepNanos = dueNanos;
  }

  /** Whether the next step is so late that the process must have been paused. */
  boolean isPaused(long nowNanos) {
    return context.settings.guards().pauseDetection()
        && overdueNanos(nowNanos) > context.periodNanos / PAUSE_THRESHOLD_DIVISOR;
  }

  /**
   * Records a pause. Pauses before admission are ignored, because there is no state yet that could
   * be outdated. A paused seed admits no one, so seeds that start together on a busy machine would
   * otherwise never admit each other.
   */
  void recordPause(long lengthNanos) {
    if (joined) {
      pausedForNanos = Math.max(pausedForNanos, lengthNanos);
    }
  }

  /** Records that another member has answered a request of the local member. */
  void recordAnswer() {
    lastAnswerNanos = context.nowNanos;
    pausedForNanos = NONE;
  }

  void onJoined() {
    joined = true;
    recordAnswer();
  }

  boolean isJoined() {
    return joined;
  }

  void onLeft() {
    left = true;
  }

  boolean isLeft() {
    return left;
  }

  /** Resets what depends on the incarnation; the local member has to join again. */
  void onNewIncarnation() {
    joined = false;
    lastRefutedNanos = NONE;
    accusers.clear();
  }

  void recordRefutation() {
    lastRefutedNanos = context.nowNanos;
  }

  /**
   * Records that another member accuses the local member of a suspicion it has refuted. Has no
   * effect until the refutation has had time to reach all members.
   */
  void recordAccusation(Address accuser) {
    if (lastRefutedNanos != NONE
        && context.nowNanos - lastRefutedNanos > REFUTATION_PERIODS * context.periodNanos) {
      accusers.add(accuser, context.nowNanos);
    }
  }

  /**
   * Records a message that does not accuse the local member. A member that regards the receiver as
   * suspect or faulty says so in each message to it, so this sender no longer does.
   */
  void clearAccusation(Address sender) {
    accusers.remove(sender);
  }

  /** Returns the accuser with the oldest accusation, which has to be probed again. */
  Optional<Address> oldestAccuser() {
    return accusers.oldest();
  }

  /**
   * Whether another member may still regard the local member as suspect or faulty, so that each
   * message has to repeat the refutation.
   */
  boolean isAccused(long nowNanos) {
    boolean refutedRecently =
        lastRefutedNanos != NONE && nowNanos - lastRefutedNanos <= silenceTimeoutNanos();
    return refutedRecently || accusers.countWithin(accusationTimeoutNanos(), nowNanos) > 0;
  }

  /** Whether another member has answered the local one within the given time. */
  boolean answeredWithin(long maxAgeNanos) {
    return context.nowNanos - lastAnswerNanos <= maxAgeNanos;
  }

  /** Whether there are no live members that could answer. */
  boolean isAlone() {
    return context.memberTable.liveEntries().isEmpty();
  }

  /** Returns the status at a time that may be later than the current step. */
  LocalStatus statusAt(long nowNanos) {
    if (left) {
      return LocalStatus.of(Connectivity.LEFT);
    }
    if (isPaused(nowNanos)) {
      return paused(overdueNanos(nowNanos));
    }
    if (pausedForNanos != NONE) {
      return paused(pausedForNanos);
    }
    if (!joined) {
      return LocalStatus.of(Connectivity.JOINING);
    }
    return LocalStatus.of(isIsolated(nowNanos) ? Connectivity.ISOLATED : Connectivity.CONNECTED);
  }

  private static LocalStatus paused(long lengthNanos) {
    return new LocalStatus(Connectivity.PAUSED, Duration.ofNanos(lengthNanos));
  }

  private boolean isIsolated(long nowNanos) {
    if (isAlone()) {
      return false;
    }
    return nowNanos - lastAnswerNanos > silenceTimeoutNanos()
        || accusers.countWithin(accusationTimeoutNanos(), nowNanos) >= ISOLATING_ACCUSERS;
  }

  /**
   * Returns the time without an answer after which the local member is isolated. No other member
   * declares a silent member faulty earlier, so the local member detects its isolation first.
   */
  private long silenceTimeoutNanos() {
    return context.settings.toleratedPause().toNanos() + context.periodNanos;
  }

  private long accusationTimeoutNanos() {
    return ACCUSATION_TIMEOUTS * silenceTimeoutNanos();
  }

  /**
   * Emits the status if the connectivity has changed since the last report.
   *
   * @return whether the connectivity has changed to {@link Connectivity#CONNECTED}
   */
  boolean reportChange() {
    LocalStatus status = statusAt(context.nowNanos);
    if (status.connectivity() == lastReported.connectivity()) {
      return false;
    }
    lastReported = status;
    context.emit(new Action.StatusChanged(status));
    return status.isConnected();
  }
}
