package tamarindroute.dns;

import java.net.InetAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits responses per second to each network, so that queries with forged senders cannot flood the
 * network they name. Counts networks, as a forger can name any address of one. The table is
 * bounded; a network that was evicted starts with a full bucket.
 */
public final class ResponseRateLimiter {

  /** What becomes of a response. */
  public enum Verdict {
    /** Send it. */
    SEND,
    /** Send a truncated one without records, which genuine clients repeat over TCP. */
    SLIP,
    /** Send nothing. */
    DROP
  }

  /**
   * Kinds of responses with a bucket each, so that a flood of one kind does not affect the others.
   */
  public enum ResponseKind {
    ANSWER,
    NXDOMAIN,
    ERROR
  }

  /** Prefixes that networks are usually assigned in. */
  private static final int IPV4_PREFIX_BITS = 24;

  private static final int IPV6_PREFIX_BITS = 56;

  /** Capacity of a bucket, as a resolver that restarts asks for everything at once. */
  private static final double BURST_SECONDS = 2;

  /** Most networks and kinds; about a megabyte. */
  private static final int MAX_ENTRIES = 10_000;

  private static final double SECONDS_PER_NANO = 1e-9;

  private record Key(Subnet subnet, ResponseKind kind) {}

  private static final class TokenBucket {
    double tokens;
    Duration refilledAt;
    int limitedCount;
  }

  private final double perSecond;
  private final int slip;
  private final Map<Key, TokenBucket> buckets =
      new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, TokenBucket> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /**
   * Creates a limiter.
   *
   * @param perSecond responses per second to one network and of one kind; 0 for no limit
   * @param slip one in this many responses over the limit is answered truncated; 0 for none
   */
  public ResponseRateLimiter(double perSecond, int slip) {
    this.perSecond = perSecond;
    this.slip = slip;
  }

  /** Decides on a response and counts it. */
  public Verdict check(InetAddress client, ResponseKind kind, Duration now) {
    if (perSecond <= 0) {
      return Verdict.SEND;
    }
    TokenBucket bucket =
        buckets.computeIfAbsent(
            new Key(Subnet.of(client, IPV4_PREFIX_BITS, IPV6_PREFIX_BITS), kind),
            key -> {
              TokenBucket full = new TokenBucket();
              full.tokens = perSecond * BURST_SECONDS;
              full.refilledAt = now;
              return full;
            });
    double passedSeconds = Math.max(0, now.minus(bucket.refilledAt).toNanos() * SECONDS_PER_NANO);
    bucket.tokens = Math.min(perSecond * BURST_SECONDS, bucket.tokens + passedSeconds * perSecond);
    bucket.refilledAt = now;
    if (bucket.tokens >= 1) {
      bucket.tokens--;
      bucket.limitedCount = 0;
      return Verdict.SEND;
    }
    bucket.limitedCount++;
    return slip > 0 && bucket.limitedCount % slip == 0 ? Verdict.SLIP : Verdict.DROP;
  }

  /** Returns the number of buckets; for tests of the limit. */
  int size() {
    return buckets.size();
  }
}
