package tamarindroute.dns;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome.Result;

/**
 * Schedules health checks of the listed caches within a rate limit and decides what their results
 * say. A timeout counts against a cache only if another cache answered recently: when all fall
 * silent at once, the fault is likely on this side.
 */
public final class HealthCheckScheduler {

  /** How a health check ended. */
  public enum HealthCheckResult {
    READY(Result.SERVED),
    UNHEALTHY(Result.FAILED),
    TIMED_OUT(Result.TIMED_OUT),
    REFUSED(Result.CONNECT_FAILED),
    CONNECTION_LOST(Result.CONNECTION_LOST),
    NOT_SENT(Result.NOT_SENT);

    private final Result reported;

    HealthCheckResult(Result reported) {
      this.reported = reported;
    }
  }

  /** A result to report to the routing policies. */
  public record Report(Cache cache, Result result) {}

  /** Intervals for which a check that found a cache ready counts, so that one may be lost. */
  private static final int READY_INTERVALS = 3;

  /** Consecutive timeouts that count against a cache that has no others to compare with. */
  private static final int TIMEOUTS_OF_LONE_CACHE = 3;

  /** Unused allowance is saved for one part in this many of a second. */
  private static final int SAVED_PART_OF_SECOND = 10;

  private static final double SECONDS_PER_NANO = 1e-9;

  /** Health checks of one cache. Times are monotonic; null before the first. */
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

  /** Creates a scheduler without caches. */
  public HealthCheckScheduler(DnsSettings.HealthCheckSettings settings) {
    this.interval = settings.interval();
    this.maxPerSecond = settings.maxPerSecond();
  }

  /** Replaces the caches to check. */
  public void onCacheList(List<Cache> listed) {
    caches.keySet().retainAll(new HashSet<>(listed));
    listed.forEach(cache -> caches.computeIfAbsent(cache, added -> new CheckState()));
  }

  /** Returns the caches to check now, the longest unchecked first, and counts them as started. */
  public List<Cache> takeDue(Duration now) {
    refill(now);
    List<Cache> waiting = new ArrayList<>();
    caches.forEach(
        (cache, state) -> {
          if (isDue(state, now)) {
            waiting.add(cache);
          }
        });
    waiting.sort(
        Comparator.comparing(
            cache -> caches.get(cache).lastStartedAt,
            Comparator.nullsFirst(Comparator.naturalOrder())));
    List<Cache> due = new ArrayList<>();
    for (Cache cache : waiting) {
      if (allowance < 1) {
        break;
      }
      allowance--;
      CheckState state = caches.get(cache);
      state.lastStartedAt = now;
      state.inFlight = true;
      due.add(cache);
    }
    return due;
  }

  private void refill(Duration now) {
    double passedSeconds = Math.max(0, now.minus(refilledAt).toNanos() * SECONDS_PER_NANO);
    // Little can be saved, so that no burst follows a pause of this process.
    double maxAllowance = Math.max(1, maxPerSecond / SAVED_PART_OF_SECOND);
    allowance = Math.min(maxAllowance, allowance + passedSeconds * maxPerSecond);
    refilledAt = now;
  }

  private boolean isDue(CheckState state, Duration now) {
    return !state.inFlight
        && (state.lastStartedAt == null || now.minus(state.lastStartedAt).compareTo(interval) >= 0);
  }

  /** Records the end of a health check and returns what to report. */
  public List<Report> onResult(Cache cache, HealthCheckResult result, Duration now) {
    CheckState state = caches.get(cache);
    if (state == null) {
      return List.of();
    }
    state.inFlight = false;
    return switch (result) {
      case READY, UNHEALTHY, REFUSED, CONNECTION_LOST -> {
        // Any reaction of a cache, even a refusal, shows that the network works.
        lastAnswerAt = now;
        state.consecutiveTimeouts = 0;
        state.readyAt = result == HealthCheckResult.READY ? now : null;
        yield List.of(new Report(cache, result.reported));
      }
      case TIMED_OUT -> {
        state.consecutiveTimeouts++;
        yield isAttributable(state, now) ? List.of(new Report(cache, result.reported)) : List.of();
      }
      case NOT_SENT -> List.of();
    };
  }

  /** Returns whether a timeout is likely the cache's fault. */
  private boolean isAttributable(CheckState state, Duration now) {
    boolean othersAnswer = now.minus(lastAnswerAt).compareTo(interval) <= 0;
    boolean alone = caches.size() == 1 && state.consecutiveTimeouts >= TIMEOUTS_OF_LONE_CACHE;
    return othersAnswer || alone;
  }

  /** Returns whether a recent health check found the cache ready. */
  public boolean isRecentlyReady(Cache cache, Duration now) {
    CheckState state = caches.get(cache);
    return state != null
        && state.readyAt != null
        && now.minus(state.readyAt).compareTo(interval.multipliedBy(READY_INTERVALS)) <= 0;
  }
}
