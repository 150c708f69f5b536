package tamarindroute.membership;

import java.util.List;

/**
 * Owns the way in: seeds, back-off, jitter and a budget of tries. It must never ask faster than the
 * budget has it.
 */
final class Joining {

  /**
   * The first try's wait, doubled with each: half a period, as a seed that is there answers within
   * one.
   */
  private static final int FIRST = 2;

  /**
   * The longest wait: thirty periods, so that a thousand that wait for a seed put 33 questions a
   * period to it.
   */
  private static final int LONGEST = 30;

  /**
   * Tries that may be had at once; one comes back every longest wait, whatever back-off would
   * allow.
   */
  private static final int BUDGET = 12;

  /**
   * Once in, a seed that is not known is asked every so many periods: islands that began apart
   * meet.
   */
  private static final int SEEDS_EVERY = 10;

  private final Own own;
  private final Sends sends;
  private final SelfWatch watch;
  private final List<Address> seeds;
  private int tries;
  private int budget = BUDGET;
  private long refillAt;
  private long nextAt;
  private int seed;

  Joining(Own own, Sends sends, SelfWatch watch, List<Address> seeds) {
    this.own = own;
    this.sends = sends;
    this.watch = watch;
    this.seeds = List.copyOf(seeds);
    this.nextAt = own.now;
    this.refillAt = own.now + LONGEST * own.period;
    this.seed = own.draws.below(seeds.size());
  }

  Joining copy(Own other, Sends itsSends, SelfWatch itsWatch) {
    Joining copy = new Joining(other, itsSends, itsWatch, seeds);
    copy.tries = tries;
    copy.budget = budget;
    copy.refillAt = refillAt;
    copy.nextAt = nextAt;
    copy.seed = seed;
    return copy;
  }

  List<Object> key(long now) {
    return List.of(
        tries, budget, budget == BUDGET ? 0 : refillAt - now, Math.max(0, nextAt - now), seed);
  }

  long dueAt() {
    return seeds.isEmpty() ? Long.MAX_VALUE : nextAt;
  }

  /** The way in begins anew, within the same budget. */
  void again() {
    tries = 0;
    nextAt = own.now;
  }

  void due() {
    if (!watch.isJoined() && (seeds.isEmpty() || seeds.stream().allMatch(own::isSelf))) {
      // Nobody to ask: it is the first.
      watch.joined();
    }
    if (own.now < nextAt || seeds.isEmpty()) {
      return;
    }
    if (own.now >= refillAt) {
      budget = Math.min(BUDGET, budget + 1);
      refillAt = own.now + LONGEST * own.period;
    }
    if (watch.isJoined()) {
      askUnknown();
      nextAt = own.now + jittered(SEEDS_EVERY * own.period);
    } else if (budget > 0) {
      budget--;
      ask();
      nextAt =
          own.now
              + jittered(Math.min(LONGEST * own.period, own.period / FIRST << Math.min(tries, 10)));
      tries++;
    } else {
      nextAt = refillAt;
    }
  }

  private void ask() {
    for (int i = 0; i < seeds.size(); i++) {
      seed = (seed + 1) % seeds.size();
      if (!own.isSelf(seeds.get(seed))) {
        sends.join(seeds.get(seed), own.number());
        return;
      }
    }
  }

  private void askUnknown() {
    for (int i = 0; i < seeds.size(); i++) {
      seed = (seed + 1) % seeds.size();
      Entry entry = own.roll.find(seeds.get(seed));
      if (!own.isSelf(seeds.get(seed)) && (entry == null || !entry.live())) {
        sends.join(seeds.get(seed), own.number());
        return;
      }
    }
  }

  /** From a half to the whole of it. */
  private long jittered(long span) {
    return span / 2 + span / 2 * own.draws.below(1_000) / 1_000;
  }
}
