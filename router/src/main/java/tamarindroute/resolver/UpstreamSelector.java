package tamarindroute.resolver;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import java.util.zip.CRC32;

/**
 * Selects the upstream to ask next by its expected time to an answer, with the cost of failures. No
 * upstream gets more than a number of questions at once, and none is given up for good.
 */
public final class UpstreamSelector {

  /** Time constant in seconds with which outcomes are forgotten. */
  private static final double DECAY_SECONDS = 20;

  /**
   * Expected response time in seconds of an upstream without outcomes; short, so that it is tried.
   */
  private static final double INITIAL_RESPONSE_SECONDS = 0.02;

  /** One question in this many goes to an upstream that was not asked recently. */
  private static final int EXPLORE_EVERY = 20;

  private static final double EXPLORE_AFTER_SECONDS = 5;

  /** Bounds of the timeout of an attempt. */
  private static final double MIN_TIMEOUT_SECONDS = 0.1;

  private static final double MAX_TIMEOUT_SECONDS = 1.5;

  /** Timeout of an attempt as a multiple of the usual response time. */
  private static final double TIMEOUT_FACTOR = 4;

  /** Weight of a response time in the mean: a fast one shows that an upstream has recovered. */
  private static final double FASTER_WEIGHT = 0.5;

  private static final double SLOWER_WEIGHT = 0.2;

  private static final double TIMEOUT_GROWTH = 1.5;
  private static final double MIN_SUCCESS_RATE = 0.05;
  private static final double NEVER_SECONDS = -1e9;
  private static final double NANOS_PER_SECOND = 1e9;

  /** An upstream and what its outcomes say. */
  public static final class Upstream {

    private final InetSocketAddress address;
    private double responseSeconds = INITIAL_RESPONSE_SECONDS;
    private double successes;
    private double failures;
    private double decayedAtSeconds;
    private double queriedAtSeconds = NEVER_SECONDS;
    private int inFlight;

    Upstream(InetSocketAddress address) {
      this.address = address;
    }

    /** Returns the address of the upstream. */
    public InetSocketAddress address() {
      return address;
    }

    private void decay(double now) {
      double remaining = Math.exp((decayedAtSeconds - now) / DECAY_SECONDS);
      successes *= remaining;
      failures *= remaining;
      decayedAtSeconds = now;
    }

    /** Returns the expected time to an answer, in which each failure costs a timeout. */
    private double expectedSeconds(double now) {
      decay(now);
      double failing = failures / (successes + failures + 1);
      return responseSeconds
          + failing / Math.max(MIN_SUCCESS_RATE, 1 - failing) * MAX_TIMEOUT_SECONDS;
    }
  }

  private final List<Upstream> upstreams;
  private final int maxInFlight;
  private final long seed;
  private long drawCount;

  /** Creates a selector for upstreams without outcomes. */
  public UpstreamSelector(List<InetSocketAddress> addresses, int maxInFlight, long seed) {
    this.upstreams = addresses.stream().map(Upstream::new).toList();
    this.maxInFlight = maxInFlight;
    this.seed = seed;
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() * 1e-9;
  }

  /**
   * Returns the upstream to ask next among those not yet tried; empty if all have the most
   * questions in flight.
   */
  public Optional<Upstream> next(Set<Upstream> tried, Duration at) {
    double now = seconds(at);
    List<Upstream> free =
        upstreams.stream()
            .filter(u -> !tried.contains(u) && u.inFlight < maxInFlight)
            .sorted(Comparator.comparingDouble(u -> u.expectedSeconds(now)))
            .toList();
    if (free.isEmpty()) {
      return Optional.empty();
    }
    if (tried.isEmpty() && nextRandom() < 1.0 / EXPLORE_EVERY) {
      return Stream.concat(free.stream().skip(1), free.stream().limit(1))
          .filter(u -> now - u.queriedAtSeconds > EXPLORE_AFTER_SECONDS)
          .findFirst()
          .or(() -> Optional.of(free.get(0)));
    }
    return Optional.of(free.get(0));
  }

  private double nextRandom() {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(drawCount++).flip());
    return (crc.getValue() + 0.5) / 0x1p32;
  }

  /** Records that an attempt is sent and returns its timeout. */
  public Duration sent(Upstream upstream, Duration now) {
    upstream.inFlight++;
    upstream.queriedAtSeconds = seconds(now);
    double usual = TIMEOUT_FACTOR * upstream.responseSeconds;
    double timeout = Math.max(MIN_TIMEOUT_SECONDS, Math.min(MAX_TIMEOUT_SECONDS, usual));
    return Duration.ofNanos((long) (timeout * NANOS_PER_SECOND));
  }

  /** Records an answer and its response time. */
  public void answered(Upstream upstream, Duration responseTime, Duration now) {
    finished(upstream, now);
    upstream.successes++;
    double sample = Math.min(seconds(responseTime), MAX_TIMEOUT_SECONDS);
    double weight = sample < upstream.responseSeconds ? FASTER_WEIGHT : SLOWER_WEIGHT;
    upstream.responseSeconds += weight * (sample - upstream.responseSeconds);
  }

  /**
   * Records that there was no usable answer.
   *
   * @param silent whether the attempt timed out rather than was refused
   */
  public void failed(Upstream upstream, boolean silent, Duration now) {
    finished(upstream, now);
    upstream.failures++;
    if (silent) {
      // The timeout grows with it, so that an upstream that became slow does not seem dead.
      upstream.responseSeconds =
          Math.min(MAX_TIMEOUT_SECONDS, upstream.responseSeconds * TIMEOUT_GROWTH);
    }
  }

  /** Records that an attempt was cancelled, which says nothing about the upstream. */
  public void abandoned(Upstream upstream) {
    upstream.inFlight--;
  }

  private void finished(Upstream upstream, Duration now) {
    upstream.inFlight--;
    upstream.decay(seconds(now));
  }

  /** Returns all upstreams. */
  public List<Upstream> all() {
    return upstreams;
  }
}
