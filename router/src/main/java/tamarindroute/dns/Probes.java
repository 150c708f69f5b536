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
public final class Probes {

  /** What a probe came back with. */
  public enum Came {
    READY(Result.SERVED),
    AILING(Result.FAILED),
    SILENT(Result.TIMED_OUT),
    REFUSED(Result.CONNECT_FAILED),
    BROKEN(Result.CONNECTION_LOST),
    NOT_SENT(Result.NOT_SENT);

    private final Result result;

    Came(Result result) {
      this.result = result;
    }
  }

  /** What is to be told to the module of a cache. */
  public record Told(Cache cache, Result result) {}

  /** A probe that found a cache ready proves it for so many rounds: one may be lost on the way. */
  private static final int ROUNDS_PROVEN = 3;

  /** A lone cache has no others to compare with; its silence is its own from this many in a row. */
  private static final int SILENT_ALONE = 3;

  private static final class Of {
    Duration last;
    Duration ready;
    boolean out;
    int silent;
  }

  private final Duration every;
  private final double mostPerSecond;
  private final Map<Cache, Of> caches = new LinkedHashMap<>();
  private double allowance = 1;
  private Duration at = Duration.ZERO;
  private Duration answered = Duration.ofDays(-1);

  public Probes(DnsSettings.Probing settings) {
    this.every = settings.every();
    this.mostPerSecond = settings.mostPerSecond();
  }

  /** The caches on the list now. */
  public void listed(List<Cache> now) {
    Set<Cache> kept = new HashSet<>(now);
    caches.keySet().retainAll(kept);
    now.forEach(cache -> caches.computeIfAbsent(cache, c -> new Of()));
  }

  /**
   * The caches to probe now: those longest not probed first, as many as the budget has; they count
   * as probed.
   */
  public List<Cache> due(Duration now) {
    double passed = Math.max(0, now.minus(at).toNanos() * 1e-9);
    // A pause of ours must not be followed by a burst: a tenth of a second may be saved up, or one
    // probe.
    allowance = Math.min(Math.max(1, mostPerSecond / 10), allowance + passed * mostPerSecond);
    at = now;
    List<Cache> waiting = new ArrayList<>();
    caches.forEach(
        (cache, of) -> {
          if (!of.out && (of.last == null || now.minus(of.last).compareTo(every) >= 0)) {
            waiting.add(cache);
          }
        });
    waiting.sort(
        (a, b) -> {
          Duration one = caches.get(a).last;
          Duration other = caches.get(b).last;
          return one == null ? other == null ? 0 : -1 : other == null ? 1 : one.compareTo(other);
        });
    List<Cache> due = new ArrayList<>();
    for (Cache cache : waiting) {
      if (allowance < 1) {
        break;
      }
      allowance--;
      caches.get(cache).last = now;
      caches.get(cache).out = true;
      due.add(cache);
    }
    return due;
  }

  /** A probe is over; what follows is told to the module. */
  public List<Told> came(Cache cache, Came came, Duration now) {
    Of of = caches.get(cache);
    if (of == null) {
      return List.of();
    }
    of.out = false;
    List<Told> told = new ArrayList<>();
    switch (came) {
      case READY, AILING, REFUSED, BROKEN -> {
        // Whoever says anything, be it no, proves the way from here.
        answered = now;
        of.silent = 0;
        of.ready = came == Came.READY ? now : null;
        told.add(new Told(cache, came.result));
      }
      case SILENT -> {
        of.silent++;
        boolean others = now.minus(answered).compareTo(every) <= 0;
        boolean alone = caches.size() == 1 && of.silent >= SILENT_ALONE;
        if (others || alone) {
          told.add(new Told(cache, came.result));
        }
      }
      case NOT_SENT -> {}
      default -> throw new IllegalStateException("no such end of a probe: " + came);
    }
    return told;
  }

  /** Whether a probe has found this cache ready lately. */
  public boolean proven(Cache cache, Duration now) {
    Of of = caches.get(cache);
    return of != null
        && of.ready != null
        && now.minus(of.ready).compareTo(every.multipliedBy(ROUNDS_PROVEN)) <= 0;
  }
}
