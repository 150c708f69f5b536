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
public final class FactStore {

  /**
   * What a way may take at most; a word that waited longer comes to one that was stopped, which
   * finds out by itself.
   */
  static final Duration MAX_TRANSIT_TIME = Duration.ofSeconds(1);

  /**
   * An opinion of this age is worth a twentieth of what it was; an origin tells it anew well
   * before, if it still holds.
   */
  static final Duration RETENTION = Duration.ofSeconds(60);

  /** Longer times are no times. */
  static final Duration MAX_DURATION = Duration.ofDays(3650);

  /** The members that are to be borne; their lists are not cut below that. */
  static final int MAX_INCARNATIONS = 5000;

  /** All opinions and work in hand: about 3 MB. */
  static final int MAX_FACTS = 20_000;

  /** Of whom it is remembered what they have; others are sent all anew. */
  private static final int MAX_TRACKED_PEERS = 256;

  private record PeerState(Map<Member, Long> knownUpTo, long eventGeneration, long eventsUpTo) {}

  private final Member self;
  private final EventLog eventLog;
  private final TreeMap<Address, IncarnationFacts> incarnations = new TreeMap<>();
  private final Map<Address, PeerState> peerStates = new LinkedHashMap<>();
  private long lastSequence;
  private Address nextOrigin;

  public FactStore(Member self, String feed) {
    this.self = self;
    this.eventLog = new EventLog(feed);
    incarnations.put(self.address(), new IncarnationFacts(self, Duration.ZERO));
  }

  /** What this member found out itself; the fact as it is told to others. */
  public Fact recordOwn(Fact.Body body, Duration now) {
    if (body instanceof Fact.Event event) {
      eventLog.add(event, now);
      return new Fact(self, event.number(), Duration.ZERO, event);
    }
    IncarnationFacts own = incarnations.get(self.address());
    lastSequence++;
    Fact fact = new Fact(self, lastSequence, Duration.ZERO, body);
    own.add(fact, now, now);
    own.contiguousUpTo = lastSequence;
    enforceLimit();
    return fact;
  }

  /**
   * What was told by others. What comes back is new and urgent, to be passed on at once: the feed's
   * events.
   */
  public List<Fact> receive(List<Fact> facts, Duration now) {
    List<Fact> urgent = new ArrayList<>();
    for (Fact fact : facts) {
      Duration age = fact.age().plus(MAX_TRANSIT_TIME);
      if (!fact.isValid()) {
        continue;
      }
      if (fact.body() instanceof Fact.Event event) {
        if (eventLog.add(event, now.minus(age))) {
          urgent.add(new Fact(fact.origin(), fact.sequence(), age, event));
        }
      } else if (age.compareTo(RETENTION) < 0) {
        IncarnationFacts incarnation = incarnationOf(fact.origin(), now);
        if (incarnation != null) {
          incarnation.add(fact, now.minus(age), now);
        }
      }
    }
    enforceLimit();
    return urgent;
  }

  /**
   * The life that this word is of, or null: a former one's, or one's own, which nobody else knows
   * better.
   */
  private IncarnationFacts incarnationOf(Member origin, Duration now) {
    if (origin.address().equals(self.address())) {
      return null;
    }
    IncarnationFacts incarnation = incarnations.get(origin.address());
    if (incarnation == null && incarnations.size() >= MAX_INCARNATIONS
        || incarnation != null && incarnation.member.incarnation() > origin.incarnation()) {
      return null;
    }
    if (incarnation == null || incarnation.member.incarnation() < origin.incarnation()) {
      incarnation = new IncarnationFacts(origin, now);
      incarnations.put(origin.address(), incarnation);
    }
    return incarnation;
  }

  /** Who is there tells of this life: what a former one said counts no more. */
  public void onIncarnation(Member member, Duration now) {
    incarnationOf(member, now);
  }

  /** What another sent; what comes back is to be passed on at once. */
  public List<Fact> receive(Address from, FactDelta delta, Duration now) {
    rememberPeer(
        from, new PeerState(delta.knownUpTo(), delta.eventGeneration(), delta.eventsUpTo()));
    List<Fact> urgent = receive(delta.events(), now);
    for (FactDelta.FactRange range : delta.ranges()) {
      receive(
          range.facts().stream().filter(one -> one.origin().equals(range.origin())).toList(), now);
      IncarnationFacts incarnation = incarnationOf(range.origin(), now);
      // What came after a hole says nothing of the hole.
      if (incarnation != null && range.after() <= incarnation.contiguousUpTo) {
        incarnation.contiguousUpTo = Math.max(incarnation.contiguousUpTo, range.upTo());
      }
    }
    return urgent;
  }

  private void rememberPeer(Address peer, PeerState peerState) {
    peerStates.remove(peer);
    peerStates.put(peer, peerState);
    if (peerStates.size() > MAX_TRACKED_PEERS) {
      peerStates.remove(peerStates.keySet().iterator().next());
    }
  }

  /**
   * At most so many facts for that one: what it is not known to have. Lost ones are sent again once
   * it told what it has.
   */
  public FactDelta deltaFor(Address to, Duration now, int maxFacts) {
    expire(now);
    PeerState peerState = peerStates.getOrDefault(to, new PeerState(Map.of(), 0, 0));
    List<Fact> events =
        eventLog.eventsSince(peerState.eventGeneration, peerState.eventsUpTo, maxFacts).stream()
            .map(
                one ->
                    new Fact(self, one.getKey().number(), now.minus(one.getValue()), one.getKey()))
            .toList();
    Map<Member, Long> peerKnownUpTo = new HashMap<>(peerState.knownUpTo);
    List<FactDelta.FactRange> ranges = new ArrayList<>();
    int remaining = maxFacts - events.size();
    List<IncarnationFacts> rotation = new ArrayList<>();
    if (nextOrigin != null) {
      rotation.addAll(incarnations.tailMap(nextOrigin, true).values());
      rotation.addAll(incarnations.headMap(nextOrigin, false).values());
    } else {
      rotation.addAll(incarnations.values());
    }
    for (IncarnationFacts incarnation : rotation) {
      long after = peerKnownUpTo.getOrDefault(incarnation.member, 0L);
      if (remaining <= 0
          || incarnation.member.address().equals(to)
          || after >= incarnation.contiguousUpTo) {
        continue;
      }
      List<IncarnationFacts.StoredFact> candidates = incarnation.factsSince(after);
      List<IncarnationFacts.StoredFact> sent =
          candidates.subList(0, Math.min(remaining, candidates.size()));
      long upTo =
          sent.size() < candidates.size()
              ? sent.get(sent.size() - 1).sequence()
              : incarnation.contiguousUpTo;
      ranges.add(
          new FactDelta.FactRange(
              incarnation.member,
              after,
              upTo,
              sent.stream().map(one -> one.toFact(incarnation.member, now)).toList()));
      peerKnownUpTo.put(incarnation.member, upTo);
      remaining -= sent.size();
      nextOrigin = incarnation.member.address();
    }
    if (peerStates.containsKey(to)) {
      rememberPeer(
          to, new PeerState(peerKnownUpTo, peerState.eventGeneration, peerState.eventsUpTo));
    }
    Map<Member, Long> knownUpTo = new HashMap<>();
    incarnations
        .values()
        .forEach(incarnation -> knownUpTo.put(incarnation.member, incarnation.contiguousUpTo));
    return new FactDelta(
        knownUpTo, eventLog.generation(), eventLog.contiguousUpTo(), ranges, events);
  }

  /** Words that are too old, and members of whom there are none left. */
  private void expire(Duration now) {
    incarnations.values().forEach(incarnation -> incarnation.expire(now.minus(RETENTION)));
    incarnations
        .values()
        .removeIf(
            incarnation ->
                incarnation.size() == 0
                    && !incarnation.member.equals(self)
                    && incarnation.firstHeardAt.compareTo(now.minus(RETENTION)) < 0);
  }

  private void enforceLimit() {
    int all = incarnations.values().stream().mapToInt(IncarnationFacts::size).sum();
    while (all > MAX_FACTS) {
      IncarnationFacts largest =
          incarnations.values().stream()
              .max((a, b) -> Integer.compare(a.size(), b.size()))
              .orElseThrow();
      int many = Math.min(largest.size(), Math.max(all - MAX_FACTS, MAX_FACTS / 64));
      largest.evict(many);
      all -= many;
    }
  }

  /**
   * What others say of a cache, joined; to be joined with what is known here by {@link
   * CacheOpinion#merge}.
   */
  public CacheOpinion peerOpinion(long cache, Duration now) {
    CacheOpinion all = CacheOpinion.NEUTRAL;
    for (IncarnationFacts incarnation : incarnations.values()) {
      all = incarnation.member.equals(self) ? all : all.merge(incarnation.opinion(cache, now));
    }
    return all;
  }

  /** What all others have out on a cold cache, as far as it was told of late. */
  public double peerWorkInFlight(long cache) {
    return incarnations.values().stream()
        .filter(incarnation -> !incarnation.member.equals(self))
        .mapToDouble(incarnation -> incarnation.workInFlight(cache))
        .sum();
  }

  public EventLog events() {
    return eventLog;
  }

  @Override
  public String toString() {
    return incarnations.values() + " " + eventLog;
  }
}
