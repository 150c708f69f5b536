package tamarindroute.endings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import tamarindroute.endings.Journal.Event;

/**
 * No attempt begins more than 0.1 s after its client closed, reset or cancelled, nor after the
 * final answer.
 */
final class GoneClients implements Check {

  private static final long SLACK = 100 * Journal.MS;

  @Override
  public List<Breach> breaches(Journal journal) {
    List<Breach> breaches = new ArrayList<>();
    long allowance = journal.allowance();
    for (Story story : Story.of(journal)) {
      Event end =
          Stream.concat(Stream.of(story.cancelled, story.left), story.answers.stream())
              .filter(e -> e != null)
              .min(java.util.Comparator.comparingLong(Event::at))
              .orElse(null);
      for (Story.Attempt attempt : story.attempts) {
        if (end != null && story.begun(attempt) > end.at() + SLACK + allowance) {
          breaches.add(
              breach(
                  story.rid,
                  "an attempt began %.0f ms after %s %s",
                  (story.begun(attempt) - end.at()) / 1e6,
                  end.kind(),
                  end.field("how")));
        }
      }
    }
    return breaches;
  }
}
