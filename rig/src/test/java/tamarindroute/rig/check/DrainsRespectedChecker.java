package tamarindroute.rig.check;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import tamarindroute.rig.journal.JournalEntry;

/**
 * drains-respected [fleet-wide]: no request reaches a cache, or names it as fill source, later than
 * the grace period after its drain was announced to the gateway; fleet-wide: to any gateway, where
 * gateways inform each other.
 */
final class DrainsRespectedChecker implements Checker {

  /** The settings' DrainGraceNs. */
  private static final Duration GRACE = Duration.ofMillis(500);

  private static final Set<String> UNUSABLE_STATES = Set.of("draining", "gone");

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    return new Run(journal, arguments.equals(List.of("fleet-wide"))).verdict();
  }

  private static final class Run {
    private final Verdict verdict = new Verdict();
    private final boolean fleetWide;
    private final ProcessTimeline timeline;
    private final Map<String, Duration> drainedSince = new HashMap<>();
    private boolean anyDrain;

    Run(List<JournalEntry> journal, boolean fleetWide) {
      this.fleetWide = fleetWide;
      timeline = new ProcessTimeline(journal);
      for (JournalEntry entry : journal) {
        if (entry.isFrom("feed")) {
          onAnnouncement(entry);
        } else if (anyDrain && entry.text().startsWith("ASK ")) {
          onAttempt(entry);
        }
      }
    }

    Verdict verdict() {
      return verdict;
    }

    private String key(String cache, String gateway) {
      return fleetWide ? cache : cache + " " + gateway;
    }

    private void onAnnouncement(JournalEntry entry) {
      String key = key(entry.require("cache"), entry.require("gateway"));
      if (UNUSABLE_STATES.contains(entry.require("state"))) {
        drainedSince.putIfAbsent(key, entry.at());
        anyDrain = true;
      } else {
        drainedSince.remove(key);
      }
    }

    private void onAttempt(JournalEntry entry) {
      verdict.countJudged();
      Stream.of(Optional.of(entry.source()), entry.value("source"))
          .flatMap(Optional::stream)
          .forEach(cache -> checkUse(cache, entry));
    }

    private void checkUse(String cache, JournalEntry entry) {
      String gateway = entry.require("from");
      Duration since = drainedSince.get(key(cache, gateway));
      if (since == null) {
        return;
      }
      Duration latest =
          since
              .plus(GRACE)
              .plus(Tolerance.RIG_LATENESS)
              .plus(timeline.pausedWithin(gateway, since, entry.at()));
      if (entry.at().compareTo(latest) > 0) {
        verdict.addBreach(
            entry.at(),
            "%s used by %s, %d ms after its drain: %s"
                .formatted(cache, gateway, entry.at().minus(since).toMillis(), entry.text()));
      }
    }
  }
}
