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
 * Facts of one incarnation of a member: the latest about each subject, and the sequence up to which
 * all of its facts were received.
 */
final class IncarnationFacts {

  /** Bound of the facts held: a thousand caches, each with an opinion and work in flight. */
  static final int MAX_FACTS = 2048;

  /** Share of the facts that is evicted at once, as each eviction sorts them all. */
  private static final int EVICTION_DIVISOR = 16;

  /** What a fact is about: a cache's health, or work in flight on it. */
  private record Subject(boolean health, long cacheId) {}

  /**
   * A fact with its times on the local clock. Both bounds of two copies of one fact hold, so
   * merging keeps the tighter ones.
   *
   * @param observedAt when it was observed, at the earliest
   * @param upSince since when the cache was up, at the latest; null if unknown
   */
  private record StoredFact(long sequence, Duration observedAt, Duration upSince, Fact.Body body) {

    StoredFact merge(StoredFact other) {
      if (other.sequence != sequence) {
        return other.sequence > sequence ? other : this;
      }
      Duration laterObserved =
          observedAt.compareTo(other.observedAt) > 0 ? observedAt : other.observedAt;
      return new StoredFact(sequence, laterObserved, earlierUpSince(other), body);
    }

    private Duration earlierUpSince(StoredFact other) {
      if (upSince == null) {
        return null;
      }
      boolean otherIsEarlier = other.upSince != null && other.upSince.compareTo(upSince) < 0;
      return otherIsEarlier ? other.upSince : upSince;
    }

    Fact toFact(Member origin, Duration now) {
      Fact.Body currentBody = body;
      if (body instanceof Fact.CacheHealth health) {
        currentBody =
            new Fact.CacheHealth(
                health.cacheId(), health.failureEvidence(), health.up(), uptime(now));
      }
      return new Fact(origin, sequence, now.minus(observedAt), currentBody);
    }

    Duration uptime(Duration now) {
      return upSince == null ? null : now.minus(upSince);
    }
  }

  private final Member member;
  private final Duration firstSeenAt;
  private long contiguousUpTo;
  private final Map<Subject, StoredFact> facts = new HashMap<>();

  IncarnationFacts(Member member, Duration firstSeenAt) {
    this.member = member;
    this.firstSeenAt = firstSeenAt;
  }

  Member member() {
    return member;
  }

  /**
   * Returns when this incarnation was first seen here. It is remembered while facts of an earlier
   * incarnation may still arrive.
   */
  Duration firstSeenAt() {
    return firstSeenAt;
  }

  /** Returns the sequence up to which all facts were received, except for superseded ones. */
  long contiguousUpTo() {
    return contiguousUpTo;
  }

  /** Records that all facts up to this sequence were received. */
  void advanceTo(long sequence) {
    contiguousUpTo = Math.max(contiguousUpTo, sequence);
  }

  void add(Fact fact, Duration observedAt, Duration now) {
    Subject subject;
    Duration upSince = null;
    Fact.Body body = fact.body();
    if (body instanceof Fact.CacheHealth health) {
      subject = new Subject(true, health.cacheId());
      upSince = health.uptime() == null ? null : now.minus(health.uptime());
      body = new Fact.CacheHealth(health.cacheId(), health.failureEvidence(), health.up(), null);
    } else {
      subject = new Subject(false, ((Fact.WorkInFlight) body).cacheId());
    }
    facts.merge(
        subject, new StoredFact(fact.sequence(), observedAt, upSince, body), StoredFact::merge);
    if (facts.size() > MAX_FACTS) {
      evict(MAX_FACTS / EVICTION_DIVISOR);
    }
  }

  int size() {
    return facts.size();
  }

  /** Evicts work in flight first, then opinions, the oldest first. */
  void evict(int count) {
    Function<Map.Entry<Subject, StoredFact>, Boolean> isHealth = fact -> fact.getKey().health;
    List<Map.Entry<Subject, StoredFact>> byPriority = new ArrayList<>(facts.entrySet());
    byPriority.sort(
        Comparator.comparing(isHealth)
            .thenComparing(fact -> fact.getValue().observedAt)
            .thenComparing(fact -> fact.getKey().cacheId));
    byPriority.stream().limit(count).forEach(fact -> facts.remove(fact.getKey()));
  }

  /** Discards facts that were observed before this time. */
  void expire(Duration before) {
    facts.values().removeIf(fact -> fact.observedAt.compareTo(before) < 0);
  }

  /** Returns at most so many facts after a sequence, in order. */
  FactDelta.FactRange rangeAfter(long after, int maxFacts, Duration now) {
    List<StoredFact> candidates = factsSince(after);
    List<StoredFact> selected = candidates.subList(0, Math.min(maxFacts, candidates.size()));
    long upTo =
        selected.size() < candidates.size()
            ? selected.get(selected.size() - 1).sequence
            : contiguousUpTo;
    List<Fact> copies = selected.stream().map(fact -> fact.toFact(member, now)).toList();
    return new FactDelta.FactRange(member, after, upTo, copies);
  }

  private List<StoredFact> factsSince(long after) {
    return facts.values().stream()
        .filter(fact -> fact.sequence > after && fact.sequence <= contiguousUpTo)
        .sorted(Comparator.comparingLong(StoredFact::sequence))
        .toList();
  }

  CacheOpinion opinion(long cacheId, Duration now) {
    StoredFact fact = facts.get(new Subject(true, cacheId));
    return fact == null
        ? CacheOpinion.NEUTRAL
        : CacheOpinion.of(
            (Fact.CacheHealth) fact.body, now.minus(fact.observedAt), fact.uptime(now));
  }

  /** Returns the work in flight on a cache, in seconds. */
  double workInFlight(long cacheId) {
    StoredFact fact = facts.get(new Subject(false, cacheId));
    return fact == null ? 0 : ((Fact.WorkInFlight) fact.body).workSeconds();
  }

  @Override
  public String toString() {
    return member + " " + facts.entrySet().stream().map(Object::toString).sorted().toList();
  }
}
