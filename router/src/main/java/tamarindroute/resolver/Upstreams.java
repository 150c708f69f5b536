package tamarindroute.resolver;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import java.util.zip.CRC32;

/**
 * Owns the order in which a zone's upstreams are asked, judged by their outcomes: the expected time
 * to an answer, counting what a failure costs. It must never ask one beyond its limit in flight,
 * nor give one up for good.
 */
public final class Upstreams {

  /** Outcomes fade in this time, so that an upstream that came back is noticed. */
  private static final double MEMORY = 20;

  /**
   * What an upstream of which nothing is known is taken to need: a little, so that each is tried
   * soon.
   */
  private static final double UNKNOWN = 0.02;

  /**
   * One question in so many goes first to another that was not asked lately, lest its judgement
   * never change.
   */
  private static final int EXPLORE = 20;

  private static final double EXPLORE_AFTER = 5;

  /**
   * The least and most that one attempt waits: a way round the world twice, and what a client waits
   * for.
   */
  private static final double SHORTEST_WAIT = 0.1;

  private static final double LONGEST_WAIT = 1.5;

  /** An answer this many usual times late is not coming; resolvers' common figure. */
  private static final double USUAL_TIMES = 4;

  /** One upstream, and what its outcomes say. */
  public static final class Upstream {

    public final InetSocketAddress address;
    private double took = UNKNOWN;
    private double good;
    private double bad;
    private double at;
    private double askedAt = -1e9;
    private int inFlight;

    Upstream(InetSocketAddress address) {
      this.address = address;
    }

    private void fade(double now) {
      double kept = Math.exp((at - now) / MEMORY);
      good *= kept;
      bad *= kept;
      at = now;
    }

    /** The expected time to an answer: its own, and a wait in vain as often as it fails. */
    private double cost(double now) {
      fade(now);
      double failing = bad / (good + bad + 1);
      return took + failing / Math.max(0.05, 1 - failing) * LONGEST_WAIT;
    }
  }

  private final List<Upstream> upstreams;
  private final int mostInFlight;
  private final long seed;
  private long draws;

  public Upstreams(List<InetSocketAddress> addresses, int mostInFlight, long seed) {
    this.upstreams = addresses.stream().map(Upstream::new).toList();
    this.mostInFlight = mostInFlight;
    this.seed = seed;
  }

  private static double seconds(Duration span) {
    return span.toNanos() * 1e-9;
  }

  /**
   * Whom to ask next of those not asked for this question; null where all others have their limit
   * in flight.
   */
  public Upstream next(Set<Upstream> asked, Duration at) {
    double now = seconds(at);
    List<Upstream> free =
        upstreams.stream()
            .filter(u -> !asked.contains(u) && u.inFlight < mostInFlight)
            .sorted(Comparator.comparingDouble(u -> u.cost(now)))
            .toList();
    if (free.isEmpty()) {
      return null;
    }
    if (asked.isEmpty() && draw() < 1.0 / EXPLORE) {
      Upstream forgotten =
          Stream.concat(free.stream().skip(1), free.stream().limit(1))
              .filter(u -> now - u.askedAt > EXPLORE_AFTER)
              .findFirst()
              .orElse(free.get(0));
      return forgotten;
    }
    return free.get(0);
  }

  private double draw() {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).flip());
    return (crc.getValue() + 0.5) / 0x1p32;
  }

  /** An attempt goes out; how long it waits. */
  public Duration sent(Upstream upstream, Duration now) {
    upstream.inFlight++;
    upstream.askedAt = seconds(now);
    double wait = Math.max(SHORTEST_WAIT, Math.min(LONGEST_WAIT, USUAL_TIMES * upstream.took));
    return Duration.ofNanos((long) (wait * 1e9));
  }

  /** It answered, after so long. */
  public void answered(Upstream upstream, Duration took, Duration now) {
    over(upstream, now);
    upstream.good++;
    double sample = Math.min(seconds(took), LONGEST_WAIT);
    // What silence had stretched comes down soon: with a fifth each, one that came back was shunned
    // for minutes.
    upstream.took += (sample < upstream.took ? 0.5 : 0.2) * (sample - upstream.took);
  }

  /** It did not answer, or with nothing that could be used; silence takes longer than a refusal. */
  public void failed(Upstream upstream, boolean silent, Duration now) {
    over(upstream, now);
    upstream.bad++;
    // A wait that was too short grows, for an upstream that became slow must not look dead.
    upstream.took = silent ? Math.min(LONGEST_WAIT, upstream.took * 1.5) : upstream.took;
  }

  /** It was given up for reasons of ours: nothing is known of it. */
  public void quit(Upstream upstream) {
    upstream.inFlight--;
  }

  private void over(Upstream upstream, Duration now) {
    upstream.inFlight--;
    upstream.fade(seconds(now));
  }

  public List<Upstream> all() {
    return upstreams;
  }
}
