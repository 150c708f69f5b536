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
public final class RateLimit {

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
  public enum Sort {
    ANSWER,
    NOTHING,
    ERROR
  }

  /**
   * Networks as resolvers' address plans have them: of these bits, all addresses are one holder's.
   */
  private static final int BITS_OF_4 = 24;

  private static final int BITS_OF_6 = 56;

  /**
   * A network may save up two seconds' allowance: a resolver's restart asks for everything at once.
   */
  private static final double SECONDS_SAVED = 2;

  /**
   * Some megabyte of networks; a flood forged from more than these is bounded by each one's burst.
   */
  private static final int MOST = 10_000;

  private record Key(Subnet subnet, Sort sort) {}

  private static final class Allowance {
    double left;
    Duration at;
    int heldBack;
  }

  private final double perSecond;
  private final int slip;
  private final Map<Key, Allowance> allowances =
      new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Allowance> eldest) {
          return size() > MOST;
        }
      };

  /** No more than so many answers a second of each sort; 0 for no bound. */
  public RateLimit(double perSecond, int slip) {
    this.perSecond = perSecond;
    this.slip = slip;
  }

  public Verdict check(InetAddress client, Sort sort, Duration now) {
    if (perSecond <= 0) {
      return Verdict.SEND;
    }
    Allowance of =
        allowances.computeIfAbsent(
            new Key(Subnet.of(client, BITS_OF_4, BITS_OF_6), sort),
            key -> {
              Allowance full = new Allowance();
              full.left = perSecond * SECONDS_SAVED;
              full.at = now;
              return full;
            });
    double passed = Math.max(0, now.minus(of.at).toNanos() * 1e-9);
    of.left = Math.min(perSecond * SECONDS_SAVED, of.left + passed * perSecond);
    of.at = now;
    if (of.left >= 1) {
      of.left--;
      of.heldBack = 0;
      return Verdict.SEND;
    }
    return slip > 0 && ++of.heldBack % slip == 0 ? Verdict.SLIP : Verdict.DROP;
  }

  /** The networks it knows of; for tests of its bound. */
  int size() {
    return allowances.size();
  }
}
