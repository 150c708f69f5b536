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
public final class UpstreamSelector {

  /** Outcomes fade in this time, so that an upstream that came back is noticed. */
  private static final double DECAY_SECONDS = 20;

  /**
   * What an upstream of which nothing is known is taken to need: a little, so that each is tried
   * soon.
   */
  private static final double INITIAL_RESPONSE_SECONDS = 0.02;

  /**
   * One question in so many goes first to another that was not asked lately, lest its judgement
   * never change.
   */
  private static final int EXPLORE_EVERY = 20;

  private static final double EXPLORE_AFTER_SECONDS = 5;

  /**
   * The least and most that one attempt waits: a way round the world twice, and what a client waits
   * for.
   */
  private static final double MIN_TIMEOUT_SECONDS = 0.1;

  private static final double MAX_TIMEOUT_SECONDS = 1.5;

  /** An answer this many usual times late is not coming; resolvers' common figure. */
  private static final double TIMEOUT_FACTOR = 4;

  /** One upstream, and what its outcomes say. */
  public static final class Upstream {

    public final InetSocketAddress address;
    private double responseSeconds = INITIAL_RESPONSE_SECONDS;
    private double successes;
    private double failures;
    private double decayedAtSeconds;
    private double queriedAtSeconds = -1e9;
    private int inFlight;

    Upstream(InetSocketAddress address) {
      this.address = address;
    }

    private void decay(double now) {
      double kept = Math.exp((decayedAtSeconds - now) / DECAY_SECONDS);
      successes *= kept;
      failures *= kept;
      decayedAtSeconds = now;
    }

    /** The expected time to an answer: its own, and a wait in vain as often as it fails. */
    private double expectedSeconds(double now) {
      decay(now);
      double failing = failures / (successes + failures + 1);
      return responseSeconds + failing / Math.max(0.05, 1 - failing) * MAX_TIMEOUT_SECONDS;
    }
  }

  private final List<Upstream> upstreams;
  private final int maxInFlight;
  private final long seed;
  private long drawCount;

  public UpstreamSelector(List<InetSocketAddress> addresses, int mostInFlight, long seed) {
    this.upstreams = addresses.stream().map(Upstream::new).toList();
    this.maxInFlight = mostInFlight;
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
            .filter(u -> !asked.contains(u) && u.inFlight < maxInFlight)
            .sorted(Comparator.comparingDouble(u -> u.expectedSeconds(now)))
            .toList();
    if (free.isEmpty()) {
      return null;
    }
    if (asked.isEmpty() && nextRandom() < 1.0 / EXPLORE_EVERY) {
      Upstream forgotten =
          Stream.concat(free.stream().skip(1), free.stream().limit(1))
              .filter(u -> now - u.queriedAtSeconds > EXPLORE_AFTER_SECONDS)
              .findFirst()
              .orElse(free.get(0));
      return forgotten;
    }
    return free.get(0);
  }

  private double nextRandom() {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(drawCount++).flip());
    return (crc.getValue() + 0.5) / 0x1p32;
  }

  /** An attempt goes out; how long it waits. */
  public Duration sent(Upstream upstream, Duration now) {
    upstream.inFlight++;
    upstream.queriedAtSeconds = seconds(now);
    double wait =
        Math.max(
            MIN_TIMEOUT_SECONDS,
            Math.min(MAX_TIMEOUT_SECONDS, TIMEOUT_FACTOR * upstream.responseSeconds));
    return Duration.ofNanos((long) (wait * 1e9));
  }

  /** It answered, after so long. */
  public void answered(Upstream upstream, Duration took, Duration now) {
    finished(upstream, now);
    upstream.successes++;
    double sample = Math.min(seconds(took), MAX_TIMEOUT_SECONDS);
    // What silence had stretched comes down soon: with a fifth each, one that came back was shunned
    // for minutes.
    upstream.responseSeconds +=
        (sample < upstream.responseSeconds ? 0.5 : 0.2) * (sample - upstream.responseSeconds);
  }

  /** It did not answer, or with nothing that could be used; silence takes longer than a refusal. */
  public void failed(Upstream upstream, boolean silent, Duration now) {
    finished(upstream, now);
    upstream.failures++;
    // A wait that was too short grows, for an upstream that became slow must not look dead.
    upstream.responseSeconds =
        silent
            ? Math.min(MAX_TIMEOUT_SECONDS, upstream.responseSeconds * 1.5)
            : upstream.responseSeconds;
  }

  /** It was given up for reasons of ours: nothing is known of it. */
  public void abandoned(Upstream upstream) {
    upstream.inFlight--;
  }

  private void finished(Upstream upstream, Duration now) {
    upstream.inFlight--;
    upstream.decay(seconds(now));
  }

  public List<Upstream> all() {
    return upstreams;
  }
}
