package tamarindroute.facts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Owns all that one member holds of what members share, and what it sends to whom. Joining is by
 * the greatest, so that order, doubling and loss of words change nothing in the end. Used by one
 * owner; holds no clock.
 */
public final class Facts {

  /**
   * What a way may take at most; a word that waited longer comes to one that was stopped, which
   * finds out by itself.
   */
  static final Duration WAY = Duration.ofSeconds(1);

  /**
   * An opinion of this age is worth a twentieth of what it was; an origin tells it anew well
   * before, if it still holds.
   */
  static final Duration KEPT = Duration.ofSeconds(60);

  /** Longer times are no times. */
  static final Duration LONGEST = Duration.ofDays(3650);

  /** The members that are to be borne; their lists are not cut below that. */
  static final int MOST_LIVES = 5000;

  /** All opinions and work in hand: about 3 MB. */
  static final int MOST_FACTS = 20_000;

  /** Of whom it is remembered what they have; others are sent all anew. */
  private static final int MOST_PEERS = 256;

  private record Known(Map<Member, Long> has, long generation, long whole) {}

  private final Member self;
  private final EventLog log;
  private final TreeMap<Address, Life> lives = new TreeMap<>();
  private final Map<Address, Known> peers = new LinkedHashMap<>();
  private long sequence;
  private Address next;

  public Facts(Member self, String feed) {
    this.self = self;
    this.log = new EventLog(feed);
    lives.put(self.address(), new Life(self, Duration.ZERO));
  }

  /** What this member found out itself; the fact as it is told to others. */
  public Fact own(Fact.Body body, Duration now) {
    if (body instanceof Fact.Event event) {
      log.told(event, now);
      return new Fact(self, event.number(), Duration.ZERO, event);
    }
    Life own = lives.get(self.address());
    sequence++;
    Fact fact = new Fact(self, sequence, Duration.ZERO, body);
    own.told(fact, now, now);
    own.whole = sequence;
    bounded();
    return fact;
  }

  /**
   * What was told by others. What comes back is new and urgent, to be passed on at once: the feed's
   * events.
   */
  public List<Fact> told(List<Fact> facts, Duration now) {
    List<Fact> urgent = new ArrayList<>();
    for (Fact fact : facts) {
      Duration age = fact.age().plus(WAY);
      if (!fact.sound()) {
        continue;
      }
      if (fact.body() instanceof Fact.Event event) {
        if (log.told(event, now.minus(age))) {
          urgent.add(new Fact(fact.origin(), fact.sequence(), age, event));
        }
      } else if (age.compareTo(KEPT) < 0) {
        Life life = life(fact.origin(), now);
        if (life != null) {
          life.told(fact, now.minus(age), now);
        }
      }
    }
    bounded();
    return urgent;
  }

  /**
   * The life that this word is of, or null: a former one's, or one's own, which nobody else knows
   * better.
   */
  private Life life(Member origin, Duration now) {
    if (origin.address().equals(self.address())) {
      return null;
    }
    Life life = lives.get(origin.address());
    if (life == null && lives.size() >= MOST_LIVES
        || life != null && life.member.birth() > origin.birth()) {
      return null;
    }
    if (life == null || life.member.birth() < origin.birth()) {
      life = new Life(origin, now);
      lives.put(origin.address(), life);
    }
    return life;
  }

  /** Who is there tells of this life: what a former one said counts no more. */
  public void began(Member member, Duration now) {
    life(member, now);
  }

  /** What another sent; what comes back is to be passed on at once. */
  public List<Fact> told(Address from, Parcel parcel, Duration now) {
    know(from, new Known(parcel.has(), parcel.generation(), parcel.whole()));
    List<Fact> urgent = told(parcel.events(), now);
    for (Parcel.Part part : parcel.parts()) {
      told(part.facts().stream().filter(one -> one.origin().equals(part.origin())).toList(), now);
      Life life = life(part.origin(), now);
      // What came after a hole says nothing of the hole.
      if (life != null && part.after() <= life.whole) {
        life.whole = Math.max(life.whole, part.upTo());
      }
    }
    return urgent;
  }

  private void know(Address peer, Known known) {
    peers.remove(peer);
    peers.put(peer, known);
    if (peers.size() > MOST_PEERS) {
      peers.remove(peers.keySet().iterator().next());
    }
  }

  /**
   * At most so many facts for that one: what it is not known to have. Lost ones are sent again once
   * it told what it has.
   */
  public Parcel toSend(Address to, Duration now, int most) {
    forget(now);
    Known known = peers.getOrDefault(to, new Known(Map.of(), 0, 0));
    List<Fact> events =
        log.since(known.generation, known.whole, most).stream()
            .map(
                one ->
                    new Fact(self, one.getKey().number(), now.minus(one.getValue()), one.getKey()))
            .toList();
    Map<Member, Long> theirs = new HashMap<>(known.has);
    List<Parcel.Part> parts = new ArrayList<>();
    int left = most - events.size();
    List<Life> turn = new ArrayList<>();
    if (next != null) {
      turn.addAll(lives.tailMap(next, true).values());
      turn.addAll(lives.headMap(next, false).values());
    } else {
      turn.addAll(lives.values());
    }
    for (Life life : turn) {
      long after = theirs.getOrDefault(life.member, 0L);
      if (left <= 0 || life.member.address().equals(to) || after >= life.whole) {
        continue;
      }
      List<Life.Held> held = life.since(after);
      List<Life.Held> sent = held.subList(0, Math.min(left, held.size()));
      long upTo = sent.size() < held.size() ? sent.get(sent.size() - 1).sequence() : life.whole;
      parts.add(
          new Parcel.Part(
              life.member,
              after,
              upTo,
              sent.stream().map(one -> one.fact(life.member, now)).toList()));
      theirs.put(life.member, upTo);
      left -= sent.size();
      next = life.member.address();
    }
    if (peers.containsKey(to)) {
      know(to, new Known(theirs, known.generation, known.whole));
    }
    Map<Member, Long> has = new HashMap<>();
    lives.values().forEach(life -> has.put(life.member, life.whole));
    return new Parcel(has, log.generation(), log.whole(), parts, events);
  }

  /** Words that are too old, and members of whom there are none left. */
  private void forget(Duration now) {
    lives.values().forEach(life -> life.forget(now.minus(KEPT)));
    lives
        .values()
        .removeIf(
            life ->
                life.size() == 0
                    && !life.member.equals(self)
                    && life.heardAt.compareTo(now.minus(KEPT)) < 0);
  }

  private void bounded() {
    int all = lives.values().stream().mapToInt(Life::size).sum();
    while (all > MOST_FACTS) {
      Life largest =
          lives.values().stream().max((a, b) -> Integer.compare(a.size(), b.size())).orElseThrow();
      int many = Math.min(largest.size(), Math.max(all - MOST_FACTS, MOST_FACTS / 64));
      largest.drop(many);
      all -= many;
    }
  }

  /**
   * What others say of a cache, joined; to be joined with what is known here by {@link Regard#and}.
   */
  public Regard others(long cache, Duration now) {
    Regard all = Regard.NOTHING;
    for (Life life : lives.values()) {
      all = life.member.equals(self) ? all : all.and(life.regard(cache, now));
    }
    return all;
  }

  /** What all others have out on a cold cache, as far as it was told of late. */
  public double inHand(long cache) {
    return lives.values().stream()
        .filter(life -> !life.member.equals(self))
        .mapToDouble(life -> life.inHand(cache))
        .sum();
  }

  public EventLog events() {
    return log;
  }

  @Override
  public String toString() {
    return lives.values() + " " + log;
  }
}
