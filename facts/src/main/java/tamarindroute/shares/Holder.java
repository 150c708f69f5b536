package tamarindroute.shares;

import java.time.Duration;
import java.util.TreeMap;
import tamarindroute.membership.Member;

/**
 * Owns what one life of a gateway may use. A lease counts from its asking and is given up a
 * hundredth early, so that it is over here before it is over at its dealer, whatever the way took.
 * Past it the fixed share is used. What may be used is asked at the moment of acting, so that one
 * that was stopped finds its lease over first. Immutable.
 *
 * @param started once it listened where it is told to be found: a refusal proves that no life has
 *     begun before
 * @param asked when, by number; the latest few
 * @param lease the one in use or past, or null
 */
public record Holder(
    Member self,
    Bound bound,
    Duration started,
    long last,
    TreeMap<Long, Duration> asked,
    Lease lease) {

  /** An answer that is later than three askings comes when most of its lease is over. */
  private static final int MOST_ASKED = 4;

  /** That a share holds until something is heard. */
  public static final Duration FOREVER = Duration.ofSeconds(Long.MAX_VALUE);

  record Lease(long number, long part, Duration until) {}

  /**
   * What may be used now; the policy reads it as so many sharers until then, and as the fixed share
   * past it.
   */
  public record Share(long part, Duration until) {

    /** By how many the bound is divided for this one; without bound where it has no part. */
    public double sharers() {
      return part <= 0 ? Double.POSITIVE_INFINITY : (double) Bound.WHOLE / part;
    }
  }

  /** What follows, and what is to be sent to the dealer. */
  public record Step(Holder holder, Word word) {}

  public Holder {
    asked = new TreeMap<>(asked);
  }

  public static Holder started(Member self, Bound bound, Duration now) {
    return new Holder(self, bound, now, 0, new TreeMap<>(), null);
  }

  /** Asks anew; what was granted before goes on until its end. */
  public Step asking(Duration now) {
    TreeMap<Long, Duration> more = new TreeMap<>(asked);
    more.put(last + 1, now);
    while (more.size() > MOST_ASKED) {
      more.pollFirstEntry();
    }
    return new Step(
        new Holder(self, bound, started, last + 1, more, lease), new Word.Ask(self, last + 1));
  }

  /** When to ask next. */
  public Duration due() {
    return asked.isEmpty()
        ? started
        : asked.lastEntry().getValue().plus(bound.length().dividedBy(3));
  }

  /**
   * A grant that answers none of the latest askings of this life, or an earlier one than is held,
   * changes nothing.
   */
  public Holder granted(Word.Grant grant) {
    Duration from = asked.get(grant.number());
    boolean fits =
        grant.holder().equals(self)
            && from != null
            && grant.part() >= 0
            && grant.part() <= bound.most()
            && !grant.length().isNegative()
            && grant.length().compareTo(bound.length()) <= 0;
    if (!fits || lease != null && grant.number() < lease.number) {
      return this;
    }
    return new Holder(
        self,
        bound,
        started,
        last,
        asked,
        new Lease(grant.number(), grant.part(), from.plus(Bound.early(grant.length()))));
  }

  /** Uses the fixed share from now on; what was asked for and comes yet is not taken. */
  public Step givingBack() {
    return new Step(
        new Holder(self, bound, started, last, new TreeMap<>(), null),
        new Word.GiveBack(self, last));
  }

  /** Uses nothing from now on, for whoever calls it drops this. */
  public Word leaving() {
    return new Word.Leave(self, last);
  }

  /** What may be used at this moment. */
  public Share share(Duration now) {
    Duration quietUntil = started.plus(bound.quiet());
    boolean quiet = now.compareTo(quietUntil) < 0;
    long own = quiet ? 0 : bound.fixed();
    if (lease != null && now.compareTo(lease.until) < 0 && lease.part > own) {
      return new Share(lease.part, lease.until);
    }
    return new Share(own, quiet ? quietUntil : FOREVER);
  }
}
