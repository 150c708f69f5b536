package tamarindroute.endings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import tamarindroute.endings.Journal.Event;
import tamarindroute.endings.Journal.Kind;
import tamarindroute.endings.Story.Attempt;

/** Two attempts of one request are out at once only where the settings allow second copies. */
final class OneAtATime implements Check {

  private static final long SLACK = 50 * Journal.MS;

  @Override
  public List<Breach> breaches(Journal journal) {
    List<Breach> breaches = new ArrayList<>();
    if (journal.of(Kind.NOTE).stream().anyMatch(e -> e.field("secondCopies").equals("true"))) {
      return breaches;
    }
    long allowance = journal.allowance();
    for (Story story : Story.of(journal)) {
      for (Attempt later : story.attempts) {
        for (Attempt earlier : story.attempts) {
          if (earlier.asked.at() < later.asked.from()
              && end(earlier) > later.asked.at() + SLACK + allowance) {
            breaches.add(
                breach(
                    story.rid,
                    "attempt %s came while attempt %s was out",
                    later.asked.field("attempt"),
                    earlier.asked.field("attempt")));
          }
        }
      }
    }
    return breaches;
  }

  /** The earliest moment at which it can have been over. */
  private static long end(Attempt attempt) {
    return Stream.of(attempt.told, attempt.quit, attempt.cut)
        .filter(e -> e != null)
        .mapToLong(Event::from)
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
