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
final class IncarnationFacts {

  /** A thousand caches, each with an opinion and work in hand. */
  static final int MAX_FACTS = 2048;

  /** About what a word is. */
  private record Subject(boolean health, long cacheId) {}

  /** A word; times by the own clock. Of two copies the tighter bounds hold: both are true. */
  record StoredFact(long sequence, Duration observedAt, Duration upSince, Fact.Body body) {

    StoredFact merge(StoredFact other) {
      if (other.sequence != sequence) {
        return other.sequence > sequence ? other : this;
      }
      return new StoredFact(
          sequence,
          observedAt.compareTo(other.observedAt) > 0 ? observedAt : other.observedAt,
          upSince == null
              ? null
              : other.upSince != null && other.upSince.compareTo(upSince) < 0
                  ? other.upSince
                  : upSince,
          body);
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

  final Member member;

  /**
   * When it was first heard of here. While its former life's words may still be told as young, it
   * is remembered.
   */
  final Duration firstHeardAt;

  /** Up to here all of its words came, but those that later ones made old. */
  long contiguousUpTo;

  private final Map<Subject, StoredFact> facts = new HashMap<>();

  IncarnationFacts(Member member, Duration firstHeardAt) {
    this.member = member;
    this.firstHeardAt = firstHeardAt;
  }

  void add(Fact fact, Duration observedAt, Duration now) {
    Subject subject;
    Duration upSince = null;
    Fact.Body body = fact.body();
    if (fact.body() instanceof Fact.CacheHealth health) {
      subject = new Subject(true, health.cacheId());
      upSince = health.uptime() == null ? null : now.minus(health.uptime());
      body = new Fact.CacheHealth(health.cacheId(), health.failureEvidence(), health.up(), null);
    } else {
      subject = new Subject(false, ((Fact.WorkInFlight) fact.body()).cacheId());
    }
    facts.merge(
        subject, new StoredFact(fact.sequence(), observedAt, upSince, body), StoredFact::merge);
    if (facts.size() > MAX_FACTS) {
      // Some at once, for each time all are put in order.
      evict(MAX_FACTS / 16);
    }
  }

  int size() {
    return facts.size();
  }

  /** Work in hand first, then opinions, the oldest first. */
  void evict(int count) {
    List<Map.Entry<Subject, StoredFact>> all = new ArrayList<>(facts.entrySet());
    Function<Map.Entry<Subject, StoredFact>, Boolean> opinion = one -> one.getKey().health;
    all.sort(
        Comparator.comparing(opinion)
            .thenComparing(one -> one.getValue().observedAt)
            .thenComparing(one -> one.getKey().cacheId));
    all.stream().limit(count).forEach(one -> facts.remove(one.getKey()));
  }

  /** What was found out before then says nothing any more. */
  void expire(Duration before) {
    facts.values().removeIf(one -> one.observedAt.compareTo(before) < 0);
  }

  /** By sequence. */
  List<StoredFact> factsSince(long after) {
    return facts.values().stream()
        .filter(one -> one.sequence > after && one.sequence <= contiguousUpTo)
        .sorted(Comparator.comparingLong(StoredFact::sequence))
        .toList();
  }

  CacheOpinion opinion(long cacheId, Duration now) {
    StoredFact one = facts.get(new Subject(true, cacheId));
    return one == null
        ? CacheOpinion.NEUTRAL
        : CacheOpinion.of((Fact.CacheHealth) one.body, now.minus(one.observedAt), one.uptime(now));
  }

  double workInFlight(long cacheId) {
    StoredFact one = facts.get(new Subject(false, cacheId));
    return one == null ? 0 : ((Fact.WorkInFlight) one.body).workSeconds();
  }

  @Override
  public String toString() {
    return member + " " + facts.entrySet().stream().map(Object::toString).sorted().toList();
  }
}
