package tamarindroute.shares;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Owns what one dealer has dealt. There is one at a time, by agreement; each gateway may become it.
 * It keeps back the fixed share of each told gateway that is not proven to be gone, for that is
 * what it uses when its lease ends or never comes; what is left is dealt in equal parts to those
 * that ask. Silence proves nothing. Immutable.
 *
 * @param from when it may begin: all that others dealt before is over by then
 * @param until when its leadership ends, unless told again; asked at the moment of dealing
 */
public record Dealer(
    Bound bound, long view, Duration from, Duration until, Map<Address, Place> places) {

  /** What follows, and the answer, or null. */
  public record Step(Dealer dealer, Word.Grant grant) {}

  public Dealer {
    places = Map.copyOf(places);
  }

  /** Of a process that has just started: it deals nothing. */
  public static Dealer started(Bound bound, Set<Address> told) {
    if (told.size() != bound.gateways()) {
      // The fixed share of one that is not told of would not be kept back.
      throw new IllegalArgumentException("told of " + told.size() + " of " + bound.gateways());
    }
    Map<Address, Place> places = new HashMap<>();
    told.forEach(one -> places.put(one, Place.UNHEARD));
    return new Dealer(bound, 0, Duration.ZERO, Duration.ZERO, places);
  }

  /**
   * Leads until then. Unless it did so without a break, another may have dealt meanwhile: it waits
   * for a whole length.
   */
  public Dealer leads(long number, Duration end, Duration now) {
    if (number == view && now.compareTo(until) < 0) {
      return new Dealer(bound, view, from, end.compareTo(until) > 0 ? end : until, places);
    }
    Map<Address, Place> fresh = new HashMap<>();
    places.forEach((address, place) -> fresh.put(address, place.nothingDealt()));
    return new Dealer(bound, number, now.plus(bound.length()), end, fresh);
  }

  public Dealer leadsNoMore(Duration now) {
    return new Dealer(bound, view, from, now, places);
  }

  public boolean deals(Duration now) {
    return now.compareTo(from) >= 0 && now.compareTo(until) < 0;
  }

  /** The machine refused, so that nobody listened there at some time after this asking was sent. */
  public Dealer refused(Address address, Duration sent) {
    Place place = places.get(address);
    return place == null ? this : with(address, place.empty(sent));
  }

  /** By agreed word of an operator nothing runs there, nor will until the word is taken back. */
  public Dealer gone(Address address, boolean agreed) {
    Place place = places.get(address);
    return place == null ? this : with(address, place.gone(agreed));
  }

  /** Any sign of a later life ends the former one. */
  public Dealer heard(Member member, Duration now) {
    Place place = places.get(member.address());
    return place == null ? this : with(member.address(), place.heard(member.birth(), now));
  }

  public Step told(Word word, Duration now) {
    Member member = word.holder();
    Dealer next = heard(member, now);
    Place place = next.places.get(member.address());
    if (place == null) {
      return new Step(this, null);
    }
    if (word instanceof Word.GiveBack back) {
      return new Step(
          next.with(member.address(), place.gaveBack(member.birth(), back.number())), null);
    }
    if (word instanceof Word.Leave leave) {
      return new Step(
          next.with(member.address(), place.left(member.birth(), leave.number())), null);
    }
    if (!(word instanceof Word.Ask) || !place.lives() || member.birth() != place.birth()) {
      return new Step(next, null);
    }
    next = next.with(member.address(), place.asked(now));
    return deals(now) && !place.full()
        ? next.dealing(member, word.number(), now)
        : new Step(next, null);
  }

  private Step dealing(Member member, long number, Duration now) {
    Place place = places.get(member.address());
    Duration end = now.plus(bound.length());
    long part = Math.min(target(now, end), bound.most() - claimed(member.address(), now, end));
    if (place.ownsFixed(now)) {
      part = Math.max(part, bound.fixed());
    }
    if (part <= 0) {
      return new Step(this, null);
    }
    Map<Address, Place> more = new HashMap<>();
    places.forEach((address, one) -> more.put(address, one.relied(end, bound)));
    more.put(member.address(), place.dealt(new Place.Dealt(number, part, now, end), now));
    return new Step(
        new Dealer(bound, view, from, until, more),
        new Word.Grant(member, number, part, bound.length()));
  }

  /** An equal part, of those that ask, of all that need not be kept back for others. */
  private long target(Duration now, Duration end) {
    long kept = 0;
    int holders = 0;
    for (Place one : places.values()) {
      if (one.shares(now, bound)) {
        holders++;
      } else {
        kept += one.claim(now, end, bound);
      }
    }
    return (bound.most() - kept) / holders;
  }

  /** What all others may use at most until then. */
  private long claimed(Address asking, Duration now, Duration end) {
    return places.entrySet().stream()
        .filter(one -> !one.getKey().equals(asking))
        .mapToLong(one -> one.getValue().claim(now, end, bound))
        .sum();
  }

  private Dealer with(Address address, Place place) {
    Map<Address, Place> more = new HashMap<>(places);
    more.put(address, place);
    return new Dealer(bound, view, from, until, more);
  }
}
