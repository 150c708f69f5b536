package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Judges the connectivity of this member: whether it ran when a step was due, is answered by
 * others, and is regarded as alive by them. A member that is not answered knows nothing of the
 * others and must not act on their silence.
 */
final class LocalHealthMonitor {

  /** A step that is late by more than this part of a period counts as a pause. */
  private static final int PAUSE_THRESHOLD_DIVISOR = 4;

  /** One accuser may be wrong itself; in the smallest groups two observers declare a fault. */
  private static final int ISOLATING_ACCUSERS = 2;

  /**
   * An accusation counts for this many silence timeouts: members on the far side of a partition ask
   * each other only every few periods.
   */
  private static final int ACCUSATION_TIMEOUTS = 4;

  /** Periods after which a refutation should have reached everybody. */
  private static final int REFUTATION_PERIODS = 2;

  private static final long NONE = -1;

  private final StepContext context;
  private final Accusers accusers;
  private boolean joined;
  private boolean left;

  /** Length of the pause until something asked after it has been answered, or {@link #NONE}. */
  private long pausedForNanos = NONE;

  private long lastAnswerNanos;
  private long lastRefutedNanos = NONE;
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

  /** Times are capped where more of them makes no difference, so that equal futures meet. */
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

  /** How late the next step is by now. */
  long overdueNanos(long nowNanos) {
    return Math.max(0, nowNanos - nextStepNanos);
  }

  void setNextStepNanos(long dueNanos) {
    nextStepNanos = dueNanos;
  }

  boolean isPaused(long nowNanos) {
    return context.settings.guards().pauseDetection()
        && overdueNanos(nowNanos) > context.periodNanos / PAUSE_THRESHOLD_DIVISOR;
  }

  /**
   * Notes a pause. Before admission there is no state that could be outdated, and a paused seed
   * would admit nobody, so that members which start together would keep each other out.
   */
  void recordPause(long lengthNanos) {
    if (joined) {
      pausedForNanos = Math.max(pausedForNanos, lengthNanos);
    }
  }

  /** Another member has answered a request of this one. */
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

  void onNewIncarnation() {
    joined = false;
    lastRefutedNanos = NONE;
    accusers.clear();
  }

  void recordRefutation() {
    lastRefutedNanos = context.nowNanos;
  }

  /** Another member still accuses this one of what it has refuted. */
  void recordAccusation(Address accuser) {
    if (lastRefutedNanos != NONE
        && context.nowNanos - lastRefutedNanos > REFUTATION_PERIODS * context.periodNanos) {
      accusers.add(accuser, context.nowNanos);
    }
  }

  /** A message of this member did not accuse this one; it would have if it still did. */
  void clearAccusation(Address sender) {
    accusers.remove(sender);
  }

  /** The accuser heard from least recently, to be asked again. */
  Optional<Address> oldestAccuser() {
    return accusers.oldest();
  }

  /** Whether somebody may still accuse this member, so that it has to repeat its refutation. */
  boolean isAccused(long nowNanos) {
    boolean refutedLately =
        lastRefutedNanos != NONE && nowNanos - lastRefutedNanos <= silenceTimeoutNanos();
    return refutedLately || accusers.countWithin(accusationTimeoutNanos(), nowNanos) > 0;
  }

  /** Whether another member has answered within this time. */
  boolean answeredWithin(long spanNanos) {
    return context.nowNanos - lastAnswerNanos <= spanNanos;
  }

  /** Whether there are no live members that could answer. */
  boolean isAlone() {
    return context.memberTable.liveEntries().isEmpty();
  }

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

  /** No other member declares a silent one faulty sooner, so this member knows it before them. */
  private long silenceTimeoutNanos() {
    return context.settings.toleratedPause().toNanos() + context.periodNanos;
  }

  private long accusationTimeoutNanos() {
    return ACCUSATION_TIMEOUTS * silenceTimeoutNanos();
  }

  /**
   * Emits the connectivity if it has changed.
   *
   * @return whether it has just become {@link Connectivity#CONNECTED}
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
