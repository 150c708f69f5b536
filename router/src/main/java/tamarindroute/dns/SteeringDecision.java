package tamarindroute.dns;

import java.time.Duration;
import java.util.List;

/**
 * Who is answered, for how long, and why; nobody where the places are empty, and the reason says
 * whose fault it is.
 */
public record SteeringDecision(
    List<DnsSettings.CacheAddress> addresses, Duration ttl, Reason reason) {

  /**
   * Every way in which an answer comes about; the last resorts and refusals are told in answer and
   * log.
   */
  public enum Reason {
    /**
     * By the design's ordinary path: the hashed home, or the least busy of those that serve alike.
     */
    ORDINARY(Kind.NORMAL, "ordinary"),
    /**
     * The hashed home can't be used, is not warm enough or is crowded: the next one by the same
     * hashing.
     */
    NEXT_HOME(Kind.NORMAL, "the hashed home can't take more"),
    /** Nobody of the location can take more; a neighbour stands in. */
    NEIGHBOUR(Kind.LAST_RESORT, "no cache of the location can take more, a neighbour stands in"),
    /** All that are left are judged bad: the one least so is better than none. */
    LEAST_BAD(Kind.LAST_RESORT, "only caches that are judged bad are left"),
    /** The feed is silent: the last known list, with what probes prove. */
    LAST_KNOWN(Kind.LAST_RESORT, "the feed is silent, the last known list holds"),
    /** No list has come yet. */
    NO_LIST(Kind.UNANSWERED, "no list of caches yet"),
    /** The list has no cache there that may be sent work. */
    NONE_READY(Kind.UNANSWERED, "no cache there is ready"),
    /** Those that are ready are cold and have all that they bear. */
    COLD(Kind.UNANSWERED, "the caches there are cold and bear no more"),
    /** The feed is silent for too long and no probe proves a cache. */
    FEED_LOST(Kind.UNANSWERED, "the feed is silent too long"),
    /** No cache has an address of the family asked for; the name is there all the same. */
    NO_SUCH_FAMILY(Kind.NORMAL, "no cache has such an address"),
    /** The cache of this id is not on the list, or draining. */
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

    public boolean isLastResort() {
      return kind == Kind.LAST_RESORT;
    }

    public boolean isUnanswered() {
      return kind == Kind.UNANSWERED;
    }

    public String text() {
      return text;
    }
  }

  public SteeringDecision {
    addresses = List.copyOf(addresses);
  }

  static SteeringDecision unanswered(Reason reason, Duration ttl) {
    return new SteeringDecision(List.of(), ttl, reason);
  }
}
