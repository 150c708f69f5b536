package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns how one stands to the others: whether it ran when it should have, is answered, and is held
 * for alive. It must never take silence for news: whoever is not answered knows nothing of the
 * others.
 */
final class LocalHealthMonitor {

  /**
   * A gap of a quarter of a period: longer than a collection of a small heap, shorter than a probe.
   */
  private static final int PAUSE_THRESHOLD_DIVISOR = 4;

  /**
   * One that holds on to an old word may be at odds itself; two observers make a cut of the
   * smallest memberships.
   */
  private static final int ISOLATION_ACCUSERS = 2;

  private static final int MAX_ACCUSERS = 8;

  /**
   * Those on the far side of a cut ask each other every few periods; a teller counts for so many
   * patiences.
   */
  private static final int ACCUSATION_TIMEOUTS = 4;

  /**
   * A refutation gets around in little more than a period at 1,000 members; two, and it was not
   * heard.
   */
  private static final int REFUTATION_PERIODS = 2;

  private final StepContext context;
  private boolean joined;
  private boolean left;

  /** How long it did not run, until a question put afterwards is answered; -1 for none. */
  private long pausedForNanos = -1;

  private long lastAnswerNanos;
  private long refutedNanos = -1;

  /** Who still held an old accusation long after it was refuted, and when it was last heard. */
  private final Map<Address, Long> accusers = new LinkedHashMap<>();

  private long nextStepNanos;
  private Action.LocalStatus lastReported = Action.LocalStatus.of(Action.Connectivity.JOINING);

  LocalHealthMonitor(StepContext context) {
    this.context = context;
    this.lastAnswerNanos = context.nowNanos;
  }

  LocalHealthMonitor copy(StepContext other) {
    LocalHealthMonitor copy = new LocalHealthMonitor(other);
    copy.joined = joined;
    copy.left = left;
    copy.pausedForNanos = pausedForNanos;
    copy.lastAnswerNanos = lastAnswerNanos;
    copy.refutedNanos = refutedNanos;
    copy.accusers.putAll(accusers);
    copy.nextStepNanos = nextStepNanos;
    copy.lastReported = lastReported;
    return copy;
  }

  /** Long past is long past. */
  List<Object> stateKey(long nowNanos) {
    long accusationTimeoutNanos = ACCUSATION_TIMEOUTS * silenceTimeoutNanos();
    long pastNanos = silenceTimeoutNanos() + 1;
    List<Object> key =
        new ArrayList<>(
            List.of(
                joined,
                left,
                Math.min(pausedForNanos, accusationTimeoutNanos),
                Math.min(pastNanos, nowNanos - lastAnswerNanos),
                refutedNanos < 0 ? pastNanos : Math.min(pastNanos, nowNanos - refutedNanos),
                lastReported.connectivity(),
                nextStepNanos - nowNanos));
    accusers.forEach(
        (accuser, atNanos) -> {
          if (nowNanos - atNanos <= accusationTimeoutNanos) {
            key.add(List.of(accuser, nowNanos - atNanos));
          }
        });
    return key;
  }

  /** How long it should have run by now and did not. */
  long overdueNanos(long nowNanos) {
    return Math.max(0, nowNanos - nextStepNanos);
  }

  void nextStepNanos(long atNanos) {
    nextStepNanos = atNanos;
  }

  boolean isPaused(long nowNanos) {
    return context.settings.guards().pauseDetection()
        && overdueNanos(nowNanos) > context.periodNanos / PAUSE_THRESHOLD_DIVISOR;
  }

  /**
   * Who is not in yet holds nothing that could be old: its stop must not keep others at the door,
   * nor theirs it.
   */
  void recordPause(long spanNanos) {
    if (joined) {
      pausedForNanos = Math.max(pausedForNanos, spanNanos);
    }
  }

  void recordAnswer() {
    lastAnswerNanos = context.nowNanos;
    pausedForNanos = -1;
  }

  void joined() {
    joined = true;
    recordAnswer();
  }

  boolean isJoined() {
    return joined;
  }

  void left() {
    left = true;
  }

  boolean isLeft() {
    return left;
  }

  void onNewIncarnation() {
    joined = false;
    refutedNanos = -1;
    accusers.clear();
  }

  void recordRefutation() {
    refutedNanos = context.nowNanos;
  }

  /**
   * Another still holds what was refuted; it counts once the refutation has had time to get around.
   */
  void recordAccusation(Address accuser) {
    if (refutedNanos >= 0
        && context.nowNanos - refutedNanos > REFUTATION_PERIODS * context.periodNanos) {
      accusers.remove(accuser);
      accusers.put(accuser, context.nowNanos);
      if (accusers.size() > MAX_ACCUSERS) {
        accusers.remove(accusers.keySet().iterator().next());
      }
    }
  }

  /**
   * Whoever holds one to be suspect or away says so with every message: this one no longer does.
   */
  void clearAccusation(Address sender) {
    accusers.remove(sender);
  }

  /**
   * One that held on to an old word, longest unheard: it is asked whether it still does. Null for
   * none.
   */
  Address oldestAccuser() {
    return accusers.isEmpty() ? null : accusers.keySet().iterator().next();
  }

  /** While somebody holds an old word, one's own is said with every message. */
  boolean isAccused(long nowNanos) {
    return accusers.values().stream()
            .anyMatch(atNanos -> nowNanos - atNanos <= ACCUSATION_TIMEOUTS * silenceTimeoutNanos())
        || refutedNanos >= 0 && nowNanos - refutedNanos <= silenceTimeoutNanos();
  }

  /** Whether something that was asked within so many periods has been answered. */
  boolean answeredWithin(long spanNanos) {
    return context.nowNanos - lastAnswerNanos <= spanNanos;
  }

  /** Whether nobody is there to be asked: then silence says nothing. */
  boolean isAlone() {
    return context.memberTable.liveEntries().isEmpty();
  }

  Action.LocalStatus statusAt(long nowNanos) {
    if (left) {
      return Action.LocalStatus.of(Action.Connectivity.LEFT);
    }
    if (isPaused(nowNanos) || pausedForNanos >= 0) {
      long spanNanos = isPaused(nowNanos) ? overdueNanos(nowNanos) : pausedForNanos;
      return new Action.LocalStatus(Action.Connectivity.PAUSED, Duration.ofNanos(spanNanos));
    }
    if (!joined) {
      return Action.LocalStatus.of(Action.Connectivity.JOINING);
    }
    return Action.LocalStatus.of(
        isIsolated(nowNanos) ? Action.Connectivity.CUT_OFF : Action.Connectivity.IN_TOUCH);
  }

  private boolean isIsolated(long nowNanos) {
    if (isAlone()) {
      return false;
    }
    long currentAccusers =
        accusers.values().stream()
            .filter(atNanos -> nowNanos - atNanos <= ACCUSATION_TIMEOUTS * silenceTimeoutNanos())
            .count();
    return nowNanos - lastAnswerNanos > silenceTimeoutNanos()
        || currentAccusers >= ISOLATION_ACCUSERS;
  }

  /**
   * The others wait so long at the least before they hold a silent one to be away: it knows before
   * them.
   */
  private long silenceTimeoutNanos() {
    return context.settings.toleratedPause().toNanos() + context.periodNanos;
  }

  /** Tells its condition where that is a new one; whether it has come back in touch. */
  boolean reportChange() {
    Action.LocalStatus status = statusAt(context.nowNanos);
    if (status.connectivity() == lastReported.connectivity()) {
      return false;
    }
    lastReported = status;
    context.emit(new Action.StatusChanged(status));
    return status.isConnected();
  }
}
