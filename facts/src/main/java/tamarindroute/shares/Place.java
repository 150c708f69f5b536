package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Owns what a dealer counts for one told address: what whoever lives there may use at most.
 * Immutable.
 *
 * @param birth the latest life that was heard; 0 for none
 * @param heardAt when that one was first heard
 * @param over whether that one is proven to have ended
 * @param emptyAt whoever lives here and was not heard has begun after this, or null; it is quiet
 *     until well past it
 * @param gone an agreed word of an operator says that nothing runs here
 * @param reliedUntil until when leases of others rely on nobody being here
 * @param askedAt when it last asked, also while nothing was dealt yet: those that asked of late are
 *     dealt equal parts. With the holders of leases alone the first that asked a new dealer was
 *     dealt all, and the rest waited for its end
 * @param dealt the leases that may be in use; of two the one that is neither larger nor longer is
 *     left out
 */
record Place(
    long birth,
    Duration heardAt,
    boolean over,
    Duration emptyAt,
    boolean gone,
    Duration reliedUntil,
    Duration askedAt,
    List<Dealt> dealt) {

  /**
   * A holder asks every third of a length, so that sound ones have three or four; more are refused.
   */
  private static final int MOST_DEALT = 6;

  static final Place UNHEARD =
      new Place(0, Duration.ZERO, true, null, false, Duration.ZERO, Duration.ZERO, List.of());

  record Dealt(long number, long part, Duration at, Duration until) {}

  /**
   * Whoever speaks lives, if it is no former life; what a former one had is free, for that life is
   * over. It may speak against an operator's word: then its fixed share is kept back again, but it
   * gets no lease until the word is taken back.
   */
  Place heard(long from, Duration now) {
    if (from > birth) {
      return new Place(from, now, false, emptyAt, gone, reliedUntil, askedAt, List.of());
    }
    return from == birth && gone ? ended(false, emptyAt) : this;
  }

  /**
   * Nobody lived here at this time. That ends the life that was heard before then; one that was
   * first heard since, or at the same reading of the clock, may have begun since: its lease was
   * dropped here while it used it.
   */
  Place empty(Duration at) {
    Duration latest = emptyAt != null && emptyAt.compareTo(at) > 0 ? emptyAt : at;
    return heardAt.compareTo(at) < 0
        ? ended(true, latest)
        : new Place(birth, heardAt, over, latest, gone, reliedUntil, askedAt, dealt);
  }

  /**
   * That life is over. It lived when its asking was answered, so that whoever follows has begun
   * since.
   */
  Place left(long life, long number) {
    if (life != birth || over) {
      return this;
    }
    return ended(
        true,
        dealt.stream()
            .filter(one -> one.number == number)
            .map(Dealt::at)
            .findFirst()
            .orElse(emptyAt));
  }

  Place gaveBack(long life, long number) {
    return life != birth ? this : with(dealt.stream().filter(one -> one.number > number).toList());
  }

  Place gone(boolean agreed) {
    return new Place(
        birth,
        heardAt,
        over || agreed,
        emptyAt,
        agreed,
        reliedUntil,
        askedAt,
        agreed ? List.of() : dealt);
  }

  /** Whatever was dealt before is waited out by whoever calls this. */
  Place nothingDealt() {
    return new Place(birth, heardAt, over, emptyAt, gone, Duration.ZERO, askedAt, List.of());
  }

  /** Somebody else's lease until then counts on nobody being here, if that is so. */
  Place relied(Duration until, Bound bound) {
    return surelyEmpty(until, bound)
        ? new Place(birth, heardAt, over, emptyAt, gone, until, askedAt, dealt)
        : this;
  }

  boolean lives() {
    return !over && !gone;
  }

  boolean full() {
    return dealt.size() >= MOST_DEALT;
  }

  Place dealt(Dealt next, Duration now) {
    List<Dealt> kept =
        new ArrayList<>(
            dealt.stream()
                .filter(one -> now.compareTo(one.until) < 0 && one.part > next.part)
                .toList());
    kept.add(next);
    return with(kept);
  }

  Place asked(Duration now) {
    return new Place(birth, heardAt, over, emptyAt, gone, reliedUntil, now, dealt);
  }

  /** Whether it is one of those among whom is dealt. */
  boolean shares(Duration now, Bound bound) {
    return lives() && (holds(now) || askedAt.plus(bound.length()).compareTo(now) > 0);
  }

  boolean holds(Duration now) {
    return dealt.stream().anyMatch(one -> now.compareTo(one.until) < 0);
  }

  /**
   * Whether nobody uses anything here until then: nobody lives, and whoever starts is quiet until
   * then.
   */
  boolean surelyEmpty(Duration until, Bound bound) {
    return over
        && (gone
            || emptyAt != null && emptyAt.plus(Bound.early(bound.quiet())).compareTo(until) >= 0);
  }

  /** Whether the fixed share is kept back for whoever is here, in all that was dealt to others. */
  boolean ownsFixed(Duration now) {
    return reliedUntil.compareTo(now) <= 0;
  }

  /** The most that may be in use here until then. */
  long claim(Duration now, Duration until, Bound bound) {
    long leased =
        dealt.stream()
            .filter(one -> now.compareTo(one.until) < 0)
            .mapToLong(Dealt::part)
            .max()
            .orElse(0);
    return surelyEmpty(until, bound) ? 0 : Math.max(leased, bound.fixed());
  }

  private Place ended(boolean proven, Duration empty) {
    return new Place(birth, heardAt, proven, empty, gone, reliedUntil, askedAt, List.of());
  }

  private Place with(List<Dealt> other) {
    return new Place(birth, heardAt, over, emptyAt, gone, reliedUntil, askedAt, List.copyOf(other));
  }
}
