package tamarindroute.endings;

import java.util.ArrayList;
import java.util.List;
import tamarindroute.endings.Journal.Event;
import tamarindroute.endings.Journal.Kind;

/**
 * Nothing goes to a cache, nor names it as the source, past the grace after its drain or end was
 * told.
 */
final class Drains implements Check {

  private static final long GRACE = World.DRAIN_GRACE_MS * Journal.MS;
  private static final long SLACK = 50 * Journal.MS;

  /** What the feed has to tell counts as told then, whether or not it arrived. */
  static final long TOLD_AT_LAST = 7000 * Journal.MS;

  @Override
  public List<Breach> breaches(Journal journal) {
    List<Breach> breaches = new ArrayList<>();
    for (Event made : journal.of(Kind.MADE)) {
      String cache = made.field("drain");
      if (cache.isEmpty()) {
        continue;
      }
      long until = told(journal, made) + GRACE + SLACK + journal.allowance();
      for (Event asked : journal.of(Kind.ASKED)) {
        if (asked.from() > until
            && (asked.where().equals(cache) || asked.field("parent").equals(cache))) {
          breaches.add(
              breach(
                  asked.rid(),
                  "sent %.0f ms after %s was told to be %s%s",
                  (asked.from() - told(journal, made)) / 1e6,
                  cache,
                  made.field("state"),
                  asked.where().equals(cache) ? "" : ", which it names as the source"));
        }
      }
    }
    return breaches;
  }

  /** When an event was told: the feed's answer had it, or it counts as told. */
  static long told(Journal journal, Event made) {
    long last = made.at() + TOLD_AT_LAST;
    return journal.of(Kind.FED).stream()
        .filter(e -> e.field("n").equals(made.field("n")))
        .mapToLong(Event::at)
        .map(at -> Math.min(at, last))
        .min()
        .orElse(last);
  }
}
