package tamarindroute.facts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import tamarindroute.membership.Member;

/**
 * Owns what is held of one life of a member: the latest word about each thing, and up to where all
 * its words came.
 */
final class Life {

  /** A thousand caches, each with an opinion and work in hand. */
  static final int MOST = 2048;

  /** About what a word is. */
  private record Slot(boolean health, long cache) {}

  /** A word; times by the own clock. Of two copies the tighter bounds hold: both are true. */
  record Held(long sequence, Duration bornAt, Duration upSince, Fact.Body body) {

    Held or(Held other) {
      if (other.sequence != sequence) {
        return other.sequence > sequence ? other : this;
      }
      return new Held(
          sequence,
          bornAt.compareTo(other.bornAt) > 0 ? bornAt : other.bornAt,
          upSince == null
              ? null
              : other.upSince != null && other.upSince.compareTo(upSince) < 0
                  ? other.upSince
                  : upSince,
          body);
    }

    Fact fact(Member origin, Duration now) {
      Fact.Body told = body;
      if (body instanceof Fact.Health health) {
        told = new Fact.Health(health.cache(), health.doubt(), health.up(), upFor(now));
      }
      return new Fact(origin, sequence, now.minus(bornAt), told);
    }

    Duration upFor(Duration now) {
      return upSince == null ? null : now.minus(upSince);
    }
  }

  final Member member;

  /**
   * When it was first heard of here. While its former life's words may still be told as young, it
   * is remembered.
   */
  final Duration heardAt;

  /** Up to here all of its words came, but those that later ones made old. */
  long whole;

  private final Map<Slot, Held> held = new HashMap<>();

  Life(Member member, Duration heardAt) {
    this.member = member;
    this.heardAt = heardAt;
  }

  void told(Fact fact, Duration bornAt, Duration now) {
    Slot slot;
    Duration upSince = null;
    Fact.Body body = fact.body();
    if (fact.body() instanceof Fact.Health health) {
      slot = new Slot(true, health.cache());
      upSince = health.upFor() == null ? null : now.minus(health.upFor());
      body = new Fact.Health(health.cache(), health.doubt(), health.up(), null);
    } else {
      slot = new Slot(false, ((Fact.InHand) fact.body()).cache());
    }
    held.merge(slot, new Held(fact.sequence(), bornAt, upSince, body), Held::or);
    if (held.size() > MOST) {
      // Some at once, for each time all are put in order.
      drop(MOST / 16);
    }
  }

  int size() {
    return held.size();
  }

  /** Work in hand first, then opinions, the oldest first. */
  void drop(int many) {
    List<Map.Entry<Slot, Held>> all = new ArrayList<>(held.entrySet());
    Function<Map.Entry<Slot, Held>, Boolean> opinion = one -> one.getKey().health;
    all.sort(
        Comparator.comparing(opinion)
            .thenComparing(one -> one.getValue().bornAt)
            .thenComparing(one -> one.getKey().cache));
    all.stream().limit(many).forEach(one -> held.remove(one.getKey()));
  }

  /** What was found out before then says nothing any more. */
  void forget(Duration before) {
    held.values().removeIf(one -> one.bornAt.compareTo(before) < 0);
  }

  /** By sequence. */
  List<Held> since(long after) {
    return held.values().stream()
        .filter(one -> one.sequence > after && one.sequence <= whole)
        .sorted(Comparator.comparingLong(Held::sequence))
        .toList();
  }

  Regard regard(long cache, Duration now) {
    Held one = held.get(new Slot(true, cache));
    return one == null
        ? Regard.NOTHING
        : Regard.of((Fact.Health) one.body, now.minus(one.bornAt), one.upFor(now));
  }

  double inHand(long cache) {
    Held one = held.get(new Slot(false, cache));
    return one == null ? 0 : ((Fact.InHand) one.body).work();
  }

  @Override
  public String toString() {
    return member + " " + held.entrySet().stream().map(Object::toString).sorted().toList();
  }
}
