package tamarindroute.dns;

import java.net.InetAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Owns how many answers a network gets a second, so that forged questions can't turn this server on
 * whoever they name. It counts networks, not clients, for a forger can name any address of one; its
 * table is bounded, and a network pushed out starts with a full allowance, which costs one burst.
 */
public final class ResponseRateLimiter {

  /** What becomes of an answer. */
  public enum Verdict {
    SEND,
    /**
     * Only an empty one, cut, so that a true client asks again by TCP, where its address is proven.
     */
    SLIP,
    DROP
  }

  /**
   * What an answer is, each with an allowance of its own: a flood of wrong names must not silence
   * right ones.
   */
  public enum ResponseKind {
    ANSWER,
    NXDOMAIN,
    ERROR
  }

  /**
   * Networks as resolvers' address plans have them: of these bits, all addresses are one holder's.
   */
  private static final int IPV4_PREFIX_BITS = 24;

  private static final int IPV6_PREFIX_BITS = 56;

  /**
   * A network may save up two seconds' allowance: a resolver's restart asks for everything at once.
   */
  private static final double BURST_SECONDS = 2;

  /**
   * Some megabyte of networks; a flood forged from more than these is bounded by each one's burst.
   */
  private static final int MAX_ENTRIES = 10_000;

  private record Key(Subnet subnet, ResponseKind sort) {}

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

  /** No more than so many answers a second of each sort; 0 for no bound. */
  public ResponseRateLimiter(double perSecond, int slip) {
    this.perSecond = perSecond;
    this.slip = slip;
  }

  public Verdict check(InetAddress client, ResponseKind sort, Duration now) {
    if (perSecond <= 0) {
      return Verdict.SEND;
    }
    TokenBucket of =
        buckets.computeIfAbsent(
            new Key(Subnet.of(client, IPV4_PREFIX_BITS, IPV6_PREFIX_BITS), sort),
            key -> {
              TokenBucket full = new TokenBucket();
              full.tokens = perSecond * BURST_SECONDS;
              full.refilledAt = now;
              return full;
            });
    double passed = Math.max(0, now.minus(of.refilledAt).toNanos() * 1e-9);
    of.tokens = Math.min(perSecond * BURST_SECONDS, of.tokens + passed * perSecond);
    of.refilledAt = now;
    if (of.tokens >= 1) {
      of.tokens--;
      of.limitedCount = 0;
      return Verdict.SEND;
    }
    return slip > 0 && ++of.limitedCount % slip == 0 ? Verdict.SLIP : Verdict.DROP;
  }

  /** The networks it knows of; for tests of its bound. */
  int size() {
    return buckets.size();
  }
}
