package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.rig.journal.JournalEntry;

/**
 * slow-start-respected: the work that all gateways together send to a cold cache in any time window
 * stays below what overloads it.
 */
final class SlowStartChecker implements Checker {

  /** The settings' ColdFrom: the part of its capacity that a cache has when it starts. */
  private static final double COLD_CAPACITY = 0.22;

  /** The settings' ColdNs: the time after which it has all of it. */
  private static final double COLD_SECONDS = 17;

  /** The settings' FallMultiple: the multiple of its capacity that overloads it. */
  private static final double OVERLOAD_MULTIPLE = 3;

  /** The settings' FallNs. */
  private static final Duration WINDOW = Duration.ofSeconds(2);

  /** The sending time of one of the clients' requests. */
  private static final double SECONDS_PER_REQUEST = 0.1;

  private static final double MILLIS_PER_SECOND = 1000;

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    Verdict verdict = new Verdict();
    Map<String, JournalEntry> coldStarts = new HashMap<>();
    Map<String, List<Duration>> recentByCache = new HashMap<>();
    for (JournalEntry entry : journal) {
      if (entry.isFrom("feed") && entry.has("state", "cold")) {
        coldStarts.putIfAbsent(entry.require("cache"), entry);
      }
      JournalEntry start = coldStarts.get(entry.source());
      if (start != null && entry.text().startsWith("ASK ") && isJudged(start, entry)) {
        List<Duration> recent =
            recentByCache.computeIfAbsent(entry.source(), cache -> new ArrayList<>());
        verdict.countJudged();
        recent.add(entry.at());
        recent.removeIf(at -> at.compareTo(entry.at().minus(WINDOW)) < 0);
        checkWindow(start, entry, recent.size(), verdict);
      }
    }
    return verdict;
  }

  /** Requests that were under way at the announcement come from gateways that didn't know of it. */
  private static boolean isJudged(JournalEntry start, JournalEntry entry) {
    return ageSeconds(start, entry) < COLD_SECONDS
        && entry.at().compareTo(start.at().plus(Tolerance.RIG_LATENESS)) >= 0;
  }

  private static double ageSeconds(JournalEntry start, JournalEntry entry) {
    return entry.at().minus(start.at()).toMillis() / MILLIS_PER_SECOND;
  }

  private static void checkWindow(
      JournalEntry start, JournalEntry entry, int requests, Verdict verdict) {
    double ageSeconds = ageSeconds(start, entry);
    double warmth = COLD_CAPACITY + (1 - COLD_CAPACITY) * ageSeconds / COLD_SECONDS;
    double capacity = Double.parseDouble(start.require("weight")) * warmth;
    double overload = OVERLOAD_MULTIPLE * capacity * WINDOW.toSeconds();
    double work = requests * SECONDS_PER_REQUEST;
    if (work > overload) {
      verdict.addBreach(
          entry.at(),
          "%s got work of %.1f s in %d s, cold since %.1f s; %.1f overload it"
              .formatted(entry.source(), work, WINDOW.toSeconds(), ageSeconds, overload));
    }
  }
}
