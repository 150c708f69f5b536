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
final class SelfWatch {

  /**
   * A gap of a quarter of a period: longer than a collection of a small heap, shorter than a probe.
   */
  private static final int PAUSED_AFTER = 4;

  /**
   * One that holds on to an old word may be at odds itself; two observers make a cut of the
   * smallest memberships.
   */
  private static final int TELLERS = 2;

  private static final int MOST_TELLERS = 8;

  /**
   * Those on the far side of a cut ask each other every few periods; a teller counts for so many
   * patiences.
   */
  private static final int HELD = 4;

  /**
   * A refutation gets around in little more than a period at 1,000 members; two, and it was not
   * heard.
   */
  private static final int REFUTED_IN = 2;

  private final Own own;
  private boolean joined;
  private boolean left;

  /** How long it did not run, until a question put afterwards is answered; -1 for none. */
  private long pausedFor = -1;

  private long answeredAt;
  private long refutedAt = -1;

  /** Who still held an old accusation long after it was refuted, and when it was last heard. */
  private final Map<Address, Long> tellers = new LinkedHashMap<>();

  private long dueAt;
  private Action.State told = Action.State.of(Action.Condition.JOINING);

  SelfWatch(Own own) {
    this.own = own;
    this.answeredAt = own.now;
  }

  SelfWatch copy(Own other) {
    SelfWatch copy = new SelfWatch(other);
    copy.joined = joined;
    copy.left = left;
    copy.pausedFor = pausedFor;
    copy.answeredAt = answeredAt;
    copy.refutedAt = refutedAt;
    copy.tellers.putAll(tellers);
    copy.dueAt = dueAt;
    copy.told = told;
    return copy;
  }

  /** Long past is long past. */
  List<Object> key(long now) {
    long far = HELD * patience();
    long past = patience() + 1;
    List<Object> key =
        new ArrayList<>(
            List.of(
                joined,
                left,
                Math.min(pausedFor, far),
                Math.min(past, now - answeredAt),
                refutedAt < 0 ? past : Math.min(past, now - refutedAt),
                told.condition(),
                dueAt - now));
    tellers.forEach(
        (who, at) -> {
          if (now - at <= far) {
            key.add(List.of(who, now - at));
          }
        });
    return key;
  }

  /** How long it should have run by now and did not. */
  long late(long now) {
    return Math.max(0, now - dueAt);
  }

  void dueAt(long at) {
    dueAt = at;
  }

  boolean paused(long now) {
    return own.settings.guards().pauses() && late(now) > own.period / PAUSED_AFTER;
  }

  /**
   * Who is not in yet holds nothing that could be old: its stop must not keep others at the door,
   * nor theirs it.
   */
  void didNotRun(long span) {
    if (joined) {
      pausedFor = Math.max(pausedFor, span);
    }
  }

  void answered() {
    answeredAt = own.now;
    pausedFor = -1;
  }

  void joined() {
    joined = true;
    answered();
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

  void reborn() {
    joined = false;
    refutedAt = -1;
    tellers.clear();
  }

  void refuted() {
    refutedAt = own.now;
  }

  /**
   * Another still holds what was refuted; it counts once the refutation has had time to get around.
   */
  void stillAccusedBy(Address teller) {
    if (refutedAt >= 0 && own.now - refutedAt > REFUTED_IN * own.period) {
      tellers.remove(teller);
      tellers.put(teller, own.now);
      if (tellers.size() > MOST_TELLERS) {
        tellers.remove(tellers.keySet().iterator().next());
      }
    }
  }

  /**
   * Whoever holds one to be suspect or away says so with every message: this one no longer does.
   */
  void notAccusedBy(Address sender) {
    tellers.remove(sender);
  }

  /**
   * One that held on to an old word, longest unheard: it is asked whether it still does. Null for
   * none.
   */
  Address teller() {
    return tellers.isEmpty() ? null : tellers.keySet().iterator().next();
  }

  /** While somebody holds an old word, one's own is said with every message. */
  boolean accused(long now) {
    return tellers.values().stream().anyMatch(at -> now - at <= HELD * patience())
        || refutedAt >= 0 && now - refutedAt <= patience();
  }

  /** Whether something that was asked within so many periods has been answered. */
  boolean answeredWithin(long span) {
    return own.now - answeredAt <= span;
  }

  /** Whether nobody is there to be asked: then silence says nothing. */
  boolean alone() {
    return own.roll.live().isEmpty();
  }

  Action.State at(long now) {
    if (left) {
      return Action.State.of(Action.Condition.LEFT);
    }
    if (paused(now) || pausedFor >= 0) {
      long span = paused(now) ? late(now) : pausedFor;
      return new Action.State(Action.Condition.PAUSED, Duration.ofNanos(span));
    }
    if (!joined) {
      return Action.State.of(Action.Condition.JOINING);
    }
    return Action.State.of(cutOff(now) ? Action.Condition.CUT_OFF : Action.Condition.IN_TOUCH);
  }

  private boolean cutOff(long now) {
    if (alone()) {
      return false;
    }
    long holding = tellers.values().stream().filter(at -> now - at <= HELD * patience()).count();
    return now - answeredAt > patience() || holding >= TELLERS;
  }

  /**
   * The others wait so long at the least before they hold a silent one to be away: it knows before
   * them.
   */
  private long patience() {
    return own.settings.pause().toNanos() + own.period;
  }

  /** Tells its condition where that is a new one; whether it has come back in touch. */
  boolean announce() {
    Action.State state = at(own.now);
    if (state.condition() == told.condition()) {
      return false;
    }
    told = state;
    own.act(new Action.Touch(state));
    return state.inTouch();
  }
}
