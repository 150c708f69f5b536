package tamarindroute.dns;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome.Result;

/**
 * Owns which cache is probed when, within the budget told, and what a probe that came back speaks
 * for. Silence is told of a cache only where others answered lately: when all fall silent at once
 * the way from here is at fault, and no cache is blamed for it. It must never send anything, nor
 * judge.
 */
public final class HealthCheckScheduler {

  /** What a probe came back with. */
  public enum HealthCheckResult {
    READY(Result.SERVED),
    UNHEALTHY(Result.FAILED),
    TIMED_OUT(Result.TIMED_OUT),
    REFUSED(Result.CONNECT_FAILED),
    CONNECTION_LOST(Result.CONNECTION_LOST),
    NOT_SENT(Result.NOT_SENT);

    private final Result result;

    HealthCheckResult(Result result) {
      this.result = result;
    }
  }

  /** What is to be told to the module of a cache. */
  public record Report(Cache cache, Result result) {}

  /** A probe that found a cache ready proves it for so many rounds: one may be lost on the way. */
  private static final int READY_INTERVALS = 3;

  /** A lone cache has no others to compare with; its silence is its own from this many in a row. */
  private static final int TIMEOUTS_OF_LONE_CACHE = 3;

  private static final class CheckState {
    Duration lastStartedAt;
    Duration readyAt;
    boolean inFlight;
    int consecutiveTimeouts;
  }

  private final Duration interval;
  private final double maxPerSecond;
  private final Map<Cache, CheckState> caches = new LinkedHashMap<>();
  private double allowance = 1;
  private Duration refilledAt = Duration.ZERO;
  private Duration lastAnswerAt = Duration.ofDays(-1);

  public HealthCheckScheduler(DnsSettings.HealthCheckSettings settings) {
    this.interval = settings.interval();
    this.maxPerSecond = settings.maxPerSecond();
  }

  /** The caches on the list now. */
  public void onCacheList(List<Cache> now) {
    Set<Cache> kept = new HashSet<>(now);
    caches.keySet().retainAll(kept);
    now.forEach(cache -> caches.computeIfAbsent(cache, c -> new CheckState()));
  }

  /**
   * The caches to probe now: those longest not probed first, as many as the budget has; they count
   * as probed.
   */
  public List<Cache> takeDue(Duration now) {
    double passed = Math.max(0, now.minus(refilledAt).toNanos() * 1e-9);
    // A pause of ours must not be followed by a burst: a tenth of a second may be saved up, or one
    // probe.
    allowance = Math.min(Math.max(1, maxPerSecond / 10), allowance + passed * maxPerSecond);
    refilledAt = now;
    List<Cache> waiting = new ArrayList<>();
    caches.forEach(
        (cache, of) -> {
          if (!of.inFlight
              && (of.lastStartedAt == null
                  || now.minus(of.lastStartedAt).compareTo(interval) >= 0)) {
            waiting.add(cache);
          }
        });
    waiting.sort(
        (a, b) -> {
          Duration one = caches.get(a).lastStartedAt;
          Duration other = caches.get(b).lastStartedAt;
          return one == null ? other == null ? 0 : -1 : other == null ? 1 : one.compareTo(other);
        });
    List<Cache> due = new ArrayList<>();
    for (Cache cache : waiting) {
      if (allowance < 1) {
        break;
      }
      allowance--;
      caches.get(cache).lastStartedAt = now;
      caches.get(cache).inFlight = true;
      due.add(cache);
    }
    return due;
  }

  /** A probe is over; what follows is told to the module. */
  public List<Report> onResult(Cache cache, HealthCheckResult came, Duration now) {
    CheckState of = caches.get(cache);
    if (of == null) {
      return List.of();
    }
    of.inFlight = false;
    List<Report> told = new ArrayList<>();
    switch (came) {
      case READY, UNHEALTHY, REFUSED, CONNECTION_LOST -> {
        // Whoever says anything, be it no, proves the way from here.
        lastAnswerAt = now;
        of.consecutiveTimeouts = 0;
        of.readyAt = came == HealthCheckResult.READY ? now : null;
        told.add(new Report(cache, came.result));
      }
      case TIMED_OUT -> {
        of.consecutiveTimeouts++;
        boolean others = now.minus(lastAnswerAt).compareTo(interval) <= 0;
        boolean alone = caches.size() == 1 && of.consecutiveTimeouts >= TIMEOUTS_OF_LONE_CACHE;
        if (others || alone) {
          told.add(new Report(cache, came.result));
        }
      }
      case NOT_SENT -> {}
      default -> throw new IllegalStateException("no such end of a probe: " + came);
    }
    return told;
  }

  /** Whether a probe has found this cache ready lately. */
  public boolean isRecentlyReady(Cache cache, Duration now) {
    CheckState of = caches.get(cache);
    return of != null
        && of.readyAt != null
        && now.minus(of.readyAt).compareTo(interval.multipliedBy(READY_INTERVALS)) <= 0;
  }
}
