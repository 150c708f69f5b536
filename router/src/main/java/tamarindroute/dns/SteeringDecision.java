package tamarindroute.dns;

import java.time.Duration;
import java.util.List;

/**
 * The caches that answer a steered name, for how long, and why.
 *
 * @param addresses empty if no cache can answer, for the given reason
 */
public record SteeringDecision(
    List<DnsSettings.CacheAddress> addresses, Duration ttl, Reason reason) {

  /**
   * Why an answer is as it is. The log shows the constants; answers carry the texts as extended
   * errors.
   */
  public enum Reason {
    /** The hashed home, or the least loaded of equal caches. */
    ORDINARY(Kind.NORMAL, "ordinary"),
    /** The next cache by the same hashing, as the home cannot be used or is full. */
    NEXT_HOME(Kind.NORMAL, "the hashed home can't take more"),
    /** A cache of a neighbour location, as none of the location can be used. */
    NEIGHBOUR(Kind.LAST_RESORT, "no cache of the location can take more, a neighbour stands in"),
    /** The cache with the least evidence of failure, as all are ejected. */
    LEAST_BAD(Kind.LAST_RESORT, "only caches that are judged bad are left"),
    /** A cache of the last list, as the feed is late. */
    LAST_KNOWN(Kind.LAST_RESORT, "the feed is silent, the last known list holds"),
    /** No list of caches has been received yet. */
    NO_LIST(Kind.UNANSWERED, "no list of caches yet"),
    /** No listed cache of the location is ready. */
    NONE_READY(Kind.UNANSWERED, "no cache there is ready"),
    /** The ready caches are cold and have no room. */
    COLD(Kind.UNANSWERED, "the caches there are cold and bear no more"),
    /** The feed has been silent for too long and no health check found a cache ready. */
    FEED_LOST(Kind.UNANSWERED, "the feed is silent too long"),
    /** No cache has an address of the family asked for, although the name exists. */
    NO_SUCH_FAMILY(Kind.NORMAL, "no cache has such an address"),
    /** No listed cache has this id, or it is draining. */
    NO_SUCH_CACHE(Kind.NORMAL, "no such cache, or it takes no more work");

    /** How an answer is marked. */
    enum Kind {
      NORMAL,
      LAST_RESORT,
      UNANSWERED
    }

    final Kind kind;
    final String text;

    Reason(Kind kind, String text) {
      this.kind = kind;
      this.text = text;
    }

    /** Returns whether the answer is marked as a last resort. */
    public boolean isLastResort() {
      return kind == Kind.LAST_RESORT;
    }

    /** Returns whether the query fails. */
    public boolean isUnanswered() {
      return kind == Kind.UNANSWERED;
    }

    /** Returns the text for extended errors. */
    public String text() {
      return text;
    }
  }

  /** Copies the list. */
  public SteeringDecision {
    addresses = List.copyOf(addresses);
  }

  /** Creates a decision that names no cache. */
  static SteeringDecision unanswered(Reason reason, Duration ttl) {
    return new SteeringDecision(List.of(), ttl, reason);
  }
}
