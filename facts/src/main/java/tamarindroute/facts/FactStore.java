package tamarindroute.facts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * All facts that one member holds, and what it sends to whom. Copies are merged by maximum, so that
 * order, duplication and loss of messages do not affect the final state. Not thread-safe; times are
 * passed in, on the local monotonic clock.
 */
public final class FactStore {

  /** Bound of a message's transit time. A member that was stopped for longer notices it itself. */
  static final Duration MAX_TRANSIT_TIME = Duration.ofSeconds(1);

  /**
   * Facts older than this are discarded. An opinion has decayed to a twentieth by then, and its
   * origin repeats it well before if it still holds.
   */
  static final Duration RETENTION = Duration.ofSeconds(60);

  /** Longer durations in a fact are invalid. */
  static final Duration MAX_DURATION = Duration.ofDays(3650);

  /** Bound of the incarnations held: the largest fleet. */
  static final int MAX_INCARNATIONS = 5000;

  /** Bound of all facts about caches; about 3 MB. */
  static final int MAX_FACTS = 20_000;

  /** Fewest facts that are evicted at once. */
  private static final int MIN_EVICTED_FACTS = MAX_FACTS / 64;

  private final Member self;
  private final EventLog eventLog;
  private final TreeMap<Address, IncarnationFacts> incarnations = new TreeMap<>();
  private final PeerStates peerStates = new PeerStates();
  private long lastSequence;

  /** Origin that the next delta starts from, so that small deltas cover all origins in turn. */
  private Address nextOrigin;

  /** Creates the store of a member for the events of one feed. */
  public FactStore(Member self, String feed) {
    this.self = self;
    this.eventLog = new EventLog(feed);
    incarnations.put(self.address(), new IncarnationFacts(self, Duration.ZERO));
  }

  /** Adds what this member observed itself. Returns the fact to be sent to others. */
  public Fact recordOwn(Fact.Body body, Duration now) {
    if (body instanceof Fact.Event event) {
      eventLog.add(event, now);
      return new Fact(self, event.number(), Duration.ZERO, event);
    }
    lastSequence++;
    Fact fact = new Fact(self, lastSequence, Duration.ZERO, body);
    IncarnationFacts own = incarnations.get(self.address());
    own.add(fact, now, now);
    own.advanceTo(lastSequence);
    enforceLimit();
    return fact;
  }

  /**
   * Adds facts received from others.
   *
   * @return events that were new, to be pushed on at once
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
        addCacheFact(fact, age, now);
      }
    }
    enforceLimit();
    return urgent;
  }

  private void addCacheFact(Fact fact, Duration age, Duration now) {
    IncarnationFacts incarnation = incarnationOf(fact.origin(), now);
    if (incarnation != null) {
      incarnation.add(fact, now.minus(age), now);
    }
  }

  /**
   * Returns the facts of an incarnation, which replaces an earlier one at its address. Null if a
   * later one is known, if the address is this member's own, or if there are too many.
   */
  private IncarnationFacts incarnationOf(Member origin, Duration now) {
    if (origin.address().equals(self.address())) {
      return null;
    }
    IncarnationFacts current = incarnations.get(origin.address());
    if (current == null && incarnations.size() >= MAX_INCARNATIONS) {
      return null;
    }
    if (current != null && current.member().incarnation() > origin.incarnation()) {
      return null;
    }
    if (current != null && current.member().incarnation() == origin.incarnation()) {
      return current;
    }
    IncarnationFacts added = new IncarnationFacts(origin, now);
    incarnations.put(origin.address(), added);
    return added;
  }

  /** Records that an incarnation exists. Facts of earlier ones at its address are discarded. */
  public void onIncarnation(Member member, Duration now) {
    incarnationOf(member, now);
  }

  /**
   * Adds a delta received from another member.
   *
   * @return events that were new, to be pushed on at once
   */
  public List<Fact> receive(Address from, FactDelta delta, Duration now) {
    peerStates.put(
        from,
        new PeerStates.PeerState(delta.knownUpTo(), delta.eventGeneration(), delta.eventsUpTo()));
    List<Fact> urgent = receive(delta.events(), now);
    for (FactDelta.FactRange range : delta.ranges()) {
      receive(range, now);
    }
    return urgent;
  }

  private void receive(FactDelta.FactRange range, Duration now) {
    List<Fact> facts =
        range.facts().stream().filter(fact -> fact.origin().equals(range.origin())).toList();
    receive(facts, now);
    IncarnationFacts incarnation = incarnationOf(range.origin(), now);
    boolean leavesNoGap = incarnation != null && range.after() <= incarnation.contiguousUpTo();
    if (leavesNoGap) {
      incarnation.advanceTo(range.upTo());
    }
  }

  /**
   * Returns the next delta for a peer: at most so many facts that it is not known to have. Facts of
   * a lost delta are sent again once the peer has reported what it has.
   */
  public FactDelta deltaFor(Address to, Duration now, int maxFacts) {
    expire(now);
    PeerStates.PeerState peerState = peerStates.get(to);
    List<Fact> events = eventsFor(peerState, now, maxFacts);
    Map<Member, Long> peerKnownUpTo = new HashMap<>(peerState.knownUpTo());
    List<FactDelta.FactRange> ranges = rangesFor(to, peerKnownUpTo, now, maxFacts - events.size());
    peerStates.onDeltaSent(to, peerKnownUpTo);
    return new FactDelta(
        knownUpTo(), eventLog.generation(), eventLog.contiguousUpTo(), ranges, events);
  }

  private List<Fact> eventsFor(PeerStates.PeerState peerState, Duration now, int maxFacts) {
    return eventLog
        .eventsSince(peerState.eventGeneration(), peerState.eventsUpTo(), maxFacts)
        .stream()
        .map(
            event ->
                new Fact(
                    self, event.getKey().number(), now.minus(event.getValue()), event.getKey()))
        .toList();
  }

  /** Selects facts for a peer, and advances what the peer is taken to know by them. */
  private List<FactDelta.FactRange> rangesFor(
      Address to, Map<Member, Long> peerKnownUpTo, Duration now, int maxFacts) {
    List<FactDelta.FactRange> ranges = new ArrayList<>();
    int remaining = maxFacts;
    for (IncarnationFacts incarnation : rotation()) {
      Member origin = incarnation.member();
      long after = peerKnownUpTo.getOrDefault(origin, 0L);
      boolean isUnknown = after < incarnation.contiguousUpTo();
      if (remaining > 0 && isUnknown && !origin.address().equals(to)) {
        FactDelta.FactRange range = incarnation.rangeAfter(after, remaining, now);
        ranges.add(range);
        peerKnownUpTo.put(origin, range.upTo());
        remaining -= range.facts().size();
        nextOrigin = origin.address();
      }
    }
    return ranges;
  }

  /** Returns all incarnations, beginning with the origin that the last delta ended with. */
  private List<IncarnationFacts> rotation() {
    if (nextOrigin == null) {
      return new ArrayList<>(incarnations.values());
    }
    List<IncarnationFacts> rotation =
        new ArrayList<>(incarnations.tailMap(nextOrigin, true).values());
    rotation.addAll(incarnations.headMap(nextOrigin, false).values());
    return rotation;
  }

  private Map<Member, Long> knownUpTo() {
    Map<Member, Long> knownUpTo = new HashMap<>();
    incarnations
        .values()
        .forEach(incarnation -> knownUpTo.put(incarnation.member(), incarnation.contiguousUpTo()));
    return knownUpTo;
  }

  /** Discards facts beyond their retention, and incarnations without facts. */
  private void expire(Duration now) {
    Duration before = now.minus(RETENTION);
    incarnations.values().forEach(incarnation -> incarnation.expire(before));
    incarnations
        .values()
        .removeIf(
            incarnation ->
                incarnation.size() == 0
                    && isPeer(incarnation)
                    && incarnation.firstSeenAt().compareTo(before) < 0);
  }

  private boolean isPeer(IncarnationFacts incarnation) {
    return !incarnation.member().equals(self);
  }

  /** Evicts facts of the incarnations that hold the most. */
  private void enforceLimit() {
    int total = incarnations.values().stream().mapToInt(IncarnationFacts::size).sum();
    while (total > MAX_FACTS) {
      IncarnationFacts largest =
          incarnations.values().stream()
              .max(Comparator.comparingInt(IncarnationFacts::size))
              .orElseThrow();
      int count = Math.min(largest.size(), Math.max(total - MAX_FACTS, MIN_EVICTED_FACTS));
      largest.evict(count);
      total -= count;
    }
  }

  /**
   * Returns the merged opinion of all other members of a cache, to be merged with what is known
   * here.
   */
  public CacheOpinion peerOpinion(long cacheId, Duration now) {
    CacheOpinion merged = CacheOpinion.NEUTRAL;
    for (IncarnationFacts incarnation : incarnations.values()) {
      if (isPeer(incarnation)) {
        merged = merged.merge(incarnation.opinion(cacheId, now));
      }
    }
    return merged;
  }

  /**
   * Returns the work that all others have in flight on a cold cache, in seconds, as last reported.
   */
  public double peerWorkInFlight(long cacheId) {
    return incarnations.values().stream()
        .filter(this::isPeer)
        .mapToDouble(incarnation -> incarnation.workInFlight(cacheId))
        .sum();
  }

  /** Returns the events of the control feed. */
  public EventLog events() {
    return eventLog;
  }

  @Override
  public String toString() {
    return incarnations.values() + " " + eventLog;
  }
}
