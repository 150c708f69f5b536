package tamarindroute.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's wish for one part of an object, held by the gateway until its final answer. */
public final class View {

  public final Profile profile;
  public final long object;
  public final int part;
  public final int group;

  /** 0 where sizes are not told. */
  public final double kilobytes;

  public final Duration arrived;

  /** When this try of the client is over. */
  public final Duration cutOff;

  public final List<Trip> trips = new ArrayList<>(2);

  public View(
      Profile profile,
      long object,
      int part,
      int group,
      double kilobytes,
      Duration arrived,
      Duration cutOff) {
    this.profile = profile;
    this.object = object;
    this.part = part;
    this.group = group;
    this.kilobytes = kilobytes;
    this.arrived = arrived;
    this.cutOff = cutOff;
  }

  /** The trip that has not come back yet; of two, the one that left first; null for none. */
  public Trip out() {
    return trips.stream().filter(trip -> trip.outcome == null).findFirst().orElse(null);
  }

  /** The first trip but this one that may have run, which proves nothing else; null for none. */
  public Trip mayHaveRun(Trip but) {
    return trips.stream()
        .filter(
            trip -> trip != but && (trip.outcome == null || !trip.outcome.result().provesNotRun))
        .findFirst()
        .orElse(null);
  }

  /**
   * Whether a cache is known to lack the object and, for another source than itself, that one too.
   */
  public boolean missedAt(Cache cache, Cache source) {
    return trips.stream()
        .anyMatch(
            trip ->
                trip.cache == cache
                    && trip.source == source
                    && trip.outcome != null
                    && trip.outcome.result() == Outcome.Result.MISSED);
  }

  /** When its answer is wanted, if its transfer alone takes this long. */
  public Duration wanted(Duration sending) {
    return arrived
        .plus(profile.agreedTime())
        .plusNanos(Math.round(profile.stretch() * sending.toNanos()));
  }

  /** How often it was tried: what follows a proven miss is the same try. */
  public long tries() {
    return trips.stream()
        .filter(trip -> trip.outcome == null || trip.outcome.result() != Outcome.Result.MISSED)
        .count();
  }

  /** How long until its first trip that is not late yet will be; null for none. */
  public Duration nextDue(Duration now) {
    return trips.stream()
        .filter(trip -> trip.outcome == null && trip.due != null && trip.due.compareTo(now) > 0)
        .map(trip -> trip.due.minus(now))
        .findFirst()
        .orElse(null);
  }
}
